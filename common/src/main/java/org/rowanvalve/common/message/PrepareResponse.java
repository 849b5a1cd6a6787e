package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;

@JsonTypeName("Promise")
public record PrepareResponse(
        @JsonProperty("ok") boolean promised,
        @JsonProperty("high") Ballot highestBallot,
        @JsonProperty("at") Ballot acceptedBallot,
        Item item)
        implements Message {}
