package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * {@code reports}: all members, for a node that stated no list. Else what changed in {@code listId} up to {@code
 * lastChange}, and by place the silence of each member but edges in units of {@link #SILENCE_UNIT_MS} ms, rounded up,
 * {@link #LOST_UNITS} for one that is lost; of edges only those in {@code edgeSilences}: all others were heard from
 * within {@link #DEFAULT_EDGE_SILENCE_MS}.
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
