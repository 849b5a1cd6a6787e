package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/** An operator's update, checked, in the product's own JSON, forwarded to the node that sequences updates. */
@JsonTypeName("Order")
public record UpdateForwardRequest(@JsonProperty("call") byte[] update) implements Message {}
