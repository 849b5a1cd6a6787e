package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/** Forwards an operator's validated update, in the product's JSON format, to the node that sequences updates. */
@JsonTypeName("Order")
public record UpdateForwardRequest(@JsonProperty("call") byte[] update) implements Message {}
