package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.NodeStatus;

/** What a voter knows about one member: the time since its last heartbeat in ms, and its description of itself. */
public record MemberReport(
        NodeId id,
        @JsonProperty("silence") long silenceMs,
        @JsonProperty("condition") NodeStatus status,
        Member member) {}
