package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/** Asks a node for its status. {@code topic} selects the part, for example {@code all} or one item. */
@JsonTypeName("Report")
public record StatusRequest(@JsonProperty("what") String topic) implements Message {}
