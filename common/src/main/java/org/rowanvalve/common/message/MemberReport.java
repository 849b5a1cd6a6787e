package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.NodeStatus;

/** What a voter has heard of one member: when it was last heard from, in ms ago, and how it described itself. */
public record MemberReport(
        NodeId id,
        @JsonProperty("silence") long silenceMs,
        @JsonProperty("condition") NodeStatus status,
        Member member) {}
