package org.rowanvalve.control.lease;

/** Why a lease is fenced. */
public enum FenceReason {
    /** The leader has not answered a renewal in time. */
    EXPIRED("expired"),
    /** The leader has taken the lease back. */
    REVOKED("revoked"),
    /** The process was paused, or its clock is unreliable. */
    DROPPED("dropped");

    private final String code;

    FenceReason(final String code) {
        this.code = code;
    }

    /** The reason in events, which never changes. */
    public String code() {
        return code;
    }
}
