package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/** One-way: items that were chosen, sent to nodes that serve by them. */
@JsonTypeName("Learn")
public record LearnNotification(@JsonProperty("list") List<ChosenItem> items) implements Message {}
