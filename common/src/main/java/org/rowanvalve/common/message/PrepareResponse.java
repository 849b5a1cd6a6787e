package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;

/**
 * The response to a {@link PrepareRequest}.
 *
 * @param promised whether the promise was made and synced to disk
 * @param highestBallot the highest ballot promised
 * @param acceptedBallot the ballot of the value that this voter accepted last
 * @param item the value that this voter accepted last, which the proposer must adopt
 */
@JsonTypeName("Promise")
public record PrepareResponse(
        @JsonProperty("ok") boolean promised,
        @JsonProperty("high") Ballot highestBallot,
        @JsonProperty("at") Ballot acceptedBallot,
        Item item)
        implements Message {}
