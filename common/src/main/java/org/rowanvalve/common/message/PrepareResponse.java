package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;

/**
 * {@code promised}: whether the promise was made and synced; {@code highestBallot}: the highest one promised; {@code
 * acceptedBallot} and {@code item}: the value last accepted, which a proposer must take over.
 */
@JsonTypeName("Promise")
public record PrepareResponse(
        @JsonProperty("ok") boolean promised,
        @JsonProperty("high") Ballot highestBallot,
        @JsonProperty("at") Ballot acceptedBallot,
        Item item)
        implements Message {}
