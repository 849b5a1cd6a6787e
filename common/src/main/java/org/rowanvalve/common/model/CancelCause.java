package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;

/** The reason why the response to a request is no longer needed. */
public enum CancelCause {
    /** The client closed its connection. */
    CLIENT_LEFT("client-left"),
    /** The edge has responded to its client, or has stopped waiting for this shield. */
    ANSWERED("answered"),
    /** The edge's connection to this shield was closed, so the response cannot be delivered. */
    EDGE_DISCONNECTED("edge-disconnected"),
    /** A cause that this release does not define. */
    OTHER("other");

    private final String code;

    CancelCause(final String code) {
        this.code = code;
    }

    /** Returns the name in messages and in the log, which never changes. */
    @JsonValue
    public String code() {
        return code;
    }

    /**
     * Returns the cause of this name, or {@link #OTHER} for an unknown name, so that a later release can add causes.
     */
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
