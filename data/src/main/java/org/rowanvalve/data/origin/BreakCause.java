package org.rowanvalve.data.origin;

import org.rowanvalve.common.model.CancelCause;
import org.rowanvalve.control.lease.FenceReason;

/** Why this node closed the connection to an origin that was at work on a request. */
enum BreakCause {
    LEASE_EXPIRED("lease-expired"),
    LEASE_REVOKED("lease-revoked"),
    /** The process was paused, or its clock is unreliable. */
    LEASE_DROPPED("lease-dropped"),
    CLIENT_LEFT("client-left"),
    /** The edge has responded to its client, or has stopped waiting for this shield. */
    EDGE_ANSWERED("edge-answered"),
    EDGE_DISCONNECTED("edge-disconnected"),
    /** Another attempt of the same request was answered first. */
    OTHER_ATTEMPT_ANSWERED("other-attempt-answered"),
    DEADLINE("deadline"),
    PROCESS_END("process-end"),
    OTHER("other");

    private final String code;

    BreakCause(final String code) {
        this.code = code;
    }

    static BreakCause of(final FenceReason reason) {
        return switch (reason) {
            case EXPIRED -> LEASE_EXPIRED;
            case REVOKED -> LEASE_REVOKED;
            case DROPPED -> LEASE_DROPPED;
        };
    }

    static BreakCause of(final CancelCause cause) {
        return switch (cause) {
            case CLIENT_LEFT -> CLIENT_LEFT;
            case ANSWERED -> EDGE_ANSWERED;
            case EDGE_DISCONNECTED -> EDGE_DISCONNECTED;
            case OTHER -> OTHER;
        };
    }

    /** The cause in events, which never changes. */
    String code() {
        return code;
    }
}
