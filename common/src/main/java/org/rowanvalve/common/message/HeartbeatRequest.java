package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.rowanvalve.common.model.Member;

/**
 * A node reports that it is alive. {@code listId}, {@code sinceChange}: the member list of the asked voter that this
 * node has, and the last change in it; a node that states none is answered by {@code memberDigest}.
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
