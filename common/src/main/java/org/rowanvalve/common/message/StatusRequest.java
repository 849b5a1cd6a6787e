package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

@JsonTypeName("Report")
public record StatusRequest(@JsonProperty("what") String topic) implements Message {}
