package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * The response to a {@link HeartbeatRequest}. A node that states no member list receives all members in
 * {@code reports}. Any other node receives the changes and the times since the last heartbeats.
 *
 * @param changes the changes of the list {@code listId} up to {@code lastChange}
 * @param silences the time since the last heartbeat of each member other than an edge, by position in the list, in
 *     units of {@link #SILENCE_UNIT_MS} ms, rounded up; {@link #LOST_UNITS} for a lost member
 * @param edgeSilences the same for edges; an edge that is not included sent a heartbeat within the last {@link
 *     #DEFAULT_EDGE_SILENCE_MS} ms
 */
@JsonTypeName("Beaten")
public record HeartbeatResponse(
        @JsonProperty("members") List<MemberReport> reports,
        @JsonProperty("tick") long clockMs,
        @JsonProperty("list") String listId,
        @JsonProperty("last") long lastChange,
        @JsonProperty("changed") List<MembershipChange> changes,
        byte[] silences,
        @JsonProperty("late") List<EdgeSilence> edgeSilences)
        implements Message {
    public static final int SILENCE_UNIT_MS = 10;
    public static final int LOST_UNITS = 255;
    public static final int DEFAULT_EDGE_SILENCE_MS = 750;
}
