package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.rowanvalve.common.model.Ballot;

/**
 * The response to an {@link AcceptRequest}.
 *
 * @param accepted whether the value was accepted and synced to disk
 * @param highestBallot the highest ballot promised for this register, which a rejected proposer has to exceed
 */
@JsonTypeName("Accepted")
public record AcceptResponse(
        @JsonProperty("ok") boolean accepted,
        @JsonProperty("high") Ballot highestBallot) implements Message {}
