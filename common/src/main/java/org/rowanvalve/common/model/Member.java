package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * One process of the network as its heartbeats describe it. {@code messagingVersion}: which messages it takes; a process of
 * a release that stated none takes those of the first.
 */
public record Member(
        NodeId id,
        Role role,
        @JsonProperty("cell") String location,
        String host,
        int port,
        @JsonProperty("boot") String incarnation,
        @JsonProperty("condition") NodeStatus status,
        String version,
        @JsonProperty("messages") Integer messagingVersion) {
    /** From this version on a member takes requests back, by {@code CancelRequest}. */
    public static final int CANCEL_VERSION = 1;

    private static final int CURRENT_VERSION = CANCEL_VERSION;

    /** A process of this release. */
    public Member(
            final NodeId id,
            final Role role,
            final String location,
            final String host,
            final int port,
            final String incarnation,
            final NodeStatus status,
            final String version) {
        this(id, role, location, host, port, incarnation, status, version, CURRENT_VERSION);
    }

    public Member with(final NodeStatus newStatus) {
        return new Member(id, role, location, host, port, incarnation, newStatus, version, messagingVersion);
    }

    /** Whether it takes messages that came with this version. */
    public boolean speaks(final int wantedVersion) {
        return messagingVersion != null && messagingVersion >= wantedVersion;
    }
}
