package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * One process of the network as its heartbeats describe it.
 *
 * @param messagingVersion the version of the message set that the process accepts; null for a process of a release that
 *     states none and accepts the first message set only
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
    /** The first version that supports the cancellation of requests by {@code CancelRequest}. */
    public static final int CANCEL_VERSION = 1;

    private static final int CURRENT_VERSION = CANCEL_VERSION;

    /** Creates a process of this release, with the current messaging version. */
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

    public Member withStatus(final NodeStatus newStatus) {
        return new Member(id, role, location, host, port, incarnation, newStatus, version, messagingVersion);
    }

    /** Whether the process accepts the messages introduced by this version. */
    public boolean supports(final int wantedVersion) {
        return messagingVersion != null && messagingVersion >= wantedVersion;
    }
}
