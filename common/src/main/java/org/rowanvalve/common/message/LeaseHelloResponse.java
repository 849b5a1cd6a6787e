package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/**
 * {@code accepted}: whether the asked node leads in the reported term; {@code term}: the one it leads in or last knew.
 */
@JsonTypeName("Welcome")
public record LeaseHelloResponse(@JsonProperty("mine") boolean accepted, long term) implements Message {}
