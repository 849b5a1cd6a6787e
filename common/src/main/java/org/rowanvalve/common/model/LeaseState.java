package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonValue;

/** The state of a shard's lease as the holder or the lease manager reports it. */
public enum LeaseState {
    /** Granted by the lease manager. For the holder the lease is uncertain until a renewal is answered. */
    GRANTED("GRANTED"),
    /** Renewed in time: the holder may start fills. */
    HELD("HELD"),
    /** New, or a renewal was not answered: the holder serves cached objects but starts no fill. */
    UNCERTAIN("UNCERTAIN"),
    /** The validity ended before a renewal was answered. */
    EXPIRED("EXPIRED"),
    /** Revoked by the lease manager. */
    REVOKED("REVOKED"),
    /** The holder is stopping its fills, and some of them have not ended. */
    FENCING("FENCING");

    private final String code;

    LeaseState(final String code) {
        this.code = code;
    }

    /** Returns the name in messages and in the control interface, which never changes. */
    @JsonValue
    public String code() {
        return code;
    }
}
