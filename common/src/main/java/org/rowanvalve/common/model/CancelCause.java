package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;

/** Why nobody waits for a request's response any more. */
public enum CancelCause {
    /** The client closed its connection. */
    CLIENT_LEFT("client-left"),
    /** The edge has answered its client, or has given up on this shield. */
    ANSWERED("answered"),
    /** The edge's connection to this shield ended, and with it the way back. */
    EDGE_DISCONNECTED("edge-disconnected"),
    /** A cause that this release does not know. */
    OTHER("other");

    private final String code;

    CancelCause(final String code) {
        this.code = code;
    }

    /** The name between processes and in the log; it never changes. */
    @JsonValue
    public String code() {
        return code;
    }

    /** Lenient, so that a later release may add causes. */
    @JsonCreator
    public static CancelCause ofCode(final String code) {
        return Arrays.stream(values())
                .filter(cause -> cause.code.equals(code))
                .findFirst()
                .orElse(OTHER);
    }

    @Override
    public String toString() {
        return code;
    }
}
