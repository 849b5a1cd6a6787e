package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;

/**
 * The state of one register at one voter: the highest promised ballot, and the last accepted value with its ballot.
 */
public record Register(
        @JsonProperty("promised") Ballot promisedBallot,
        @JsonProperty("at") Ballot acceptedBallot,
        Item item) {}
