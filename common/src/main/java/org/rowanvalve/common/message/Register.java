package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;

/**
 * What one voter remembers of one register: the highest ballot promised, and the value last accepted with its ballot.
 */
public record Register(
        @JsonProperty("promised") Ballot promisedBallot,
        @JsonProperty("at") Ballot acceptedBallot,
        Item item) {}
