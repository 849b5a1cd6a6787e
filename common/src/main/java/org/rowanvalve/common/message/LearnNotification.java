package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/** One-way message with chosen items for the nodes that use them. */
@JsonTypeName("Learn")
public record LearnNotification(@JsonProperty("list") List<ChosenItem> items) implements Message {}
