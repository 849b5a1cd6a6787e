package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.rowanvalve.common.model.Member;

/**
 * {@code listId}, {@code sinceChange}: the seed's member list that this node has, and the last change in it; a node that states
 * none is told by {@code memberDigest}.
 */
@JsonTypeName("Beat")
public record HeartbeatRequest(
        @JsonProperty("self") Member member,
        @JsonProperty("tick") long clockMs,
        @JsonProperty("seen") int itemCount,
        @JsonProperty("roll") long memberDigest,
        @JsonProperty("list") String listId,
        @JsonProperty("since") long sinceChange)
        implements Message {}
