package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/** A checked call of an operator, in the product's own JSON, for the node that puts calls in order. */
@JsonTypeName("Order")
public record UpdateForwardRequest(@JsonProperty("call") byte[] update) implements Message {}
