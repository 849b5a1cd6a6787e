package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/**
 * Rejects a request because this voter votes in another epoch.
 *
 * @param epoch the epoch of this voter
 * @param votingSet the chosen voting set of that epoch; null for the founding set
 */
@JsonTypeName("OtherEpoch")
public record EpochMismatchResponse(
        long epoch, @JsonProperty("voters") ChosenItem votingSet) implements Message {}
