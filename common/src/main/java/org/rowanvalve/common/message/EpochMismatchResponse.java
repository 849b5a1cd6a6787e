package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/**
 * A refusal: this voter votes in another epoch. {@code votingSet}: the chosen set of that epoch, none for the founding
 * set.
 */
@JsonTypeName("OtherEpoch")
public record EpochMismatchResponse(
        long epoch, @JsonProperty("voters") ChosenItem votingSet) implements Message {}
