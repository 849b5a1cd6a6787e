package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/**
 * The response to a {@link LeaseHelloRequest}.
 *
 * @param accepted whether the responding node is the leader in the requested term
 * @param term the term in which the responding node is the leader, or the last term it knows
 */
@JsonTypeName("Welcome")
public record LeaseHelloResponse(@JsonProperty("mine") boolean accepted, long term) implements Message {}
