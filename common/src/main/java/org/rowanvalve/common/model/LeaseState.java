package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonValue;

/** The state of a shard's lease, as its holder reports it or its manager states it. */
public enum LeaseState {
    /** The manager grants it; at the holder it is uncertain until a renewal is answered. */
    GRANTED("GRANTED"),
    /** Renewed in time: fills may start. */
    HELD("HELD"),
    /** New, or a renewal went unanswered: what is cached is served, no fill starts. */
    UNCERTAIN("UNCERTAIN"),
    /** Its validity ended before a renewal was answered. */
    EXPIRED("EXPIRED"),
    /** The manager took it back. */
    REVOKED("REVOKED"),
    /** Its fills are being stopped and have not all ended. */
    FENCING("FENCING");

    private final String code;

    LeaseState(final String code) {
        this.code = code;
    }

    /** The name between processes and in the control interface; it never changes. */
    @JsonValue
    public String code() {
        return code;
    }
}
