package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/**
 * A voter that lost its state asks the others of its epoch for theirs. {@code incarnation}: names this start of it;
 * {@code raiseFloor}: whether the asked voter is to raise its ballot floor and send all registers; {@code onlyCopy}: an
 * operator has declared that no other copy is left.
 */
@JsonTypeName("Reread")
public record StateTransferRequest(
        long epoch,
        @JsonProperty("boot") String incarnation,
        @JsonProperty("bar") boolean raiseFloor,
        @JsonProperty("sole") boolean onlyCopy)
        implements Message {}
