package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;

public record Register(
        @JsonProperty("promised") Ballot promisedBallot,
        @JsonProperty("at") Ballot acceptedBallot,
        Item item) {}
