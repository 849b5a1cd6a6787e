package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;

/**
 * Phase two of a write: asks a voter to accept {@code item} under {@code ballot}.
 *
 * @param nextBallot a ballot that the voter promises at the same time, so that the next write needs no prepare phase;
 *     null if there is none
 */
@JsonTypeName("Accept")
public record AcceptRequest(
        long epoch,
        Ballot ballot,
        Item item,
        @JsonProperty("next") Ballot nextBallot) implements Message {}
