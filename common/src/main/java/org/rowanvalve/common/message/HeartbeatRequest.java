package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.rowanvalve.common.model.Member;

/**
 * A node reports that it is alive.
 *
 * @param memberDigest the digest over the members that this node knows, if it states no {@code listId}; if it equals
 * the
 *     digest of the receiving voter, the response omits the descriptions of the members
 * @param listId the id of the receiving voter's member list that this node has
 * @param sinceChange the last change of that list that this node has
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
