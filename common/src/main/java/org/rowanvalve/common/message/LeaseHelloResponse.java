package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

@JsonTypeName("Welcome")
public record LeaseHelloResponse(@JsonProperty("mine") boolean accepted, long term) implements Message {}
