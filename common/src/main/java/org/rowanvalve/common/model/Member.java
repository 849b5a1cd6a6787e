package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/** One process of the network as its heartbeats describe it. */
public record Member(
        NodeId id,
        Role role,
        @JsonProperty("cell") String location,
        String host,
        int port,
        @JsonProperty("boot") String incarnation,
        @JsonProperty("condition") NodeStatus status,
        String version) {
    public Member with(final NodeStatus newStatus) {
        return new Member(id, role, location, host, port, incarnation, newStatus, version);
    }
}
