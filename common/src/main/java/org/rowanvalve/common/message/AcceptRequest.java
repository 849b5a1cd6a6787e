package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;

/** {@code nextBallot}: the ballot that whoever accepts promises at the same time, or none. */
@JsonTypeName("Accept")
public record AcceptRequest(
        long epoch,
        Ballot ballot,
        Item item,
        @JsonProperty("next") Ballot nextBallot) implements Message {}
