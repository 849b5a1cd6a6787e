package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonValue;

/** The outcome of a client's request as far as the responding node can know it. */
public enum RequestOutcome {
    /** Answered with an origin's response or with a cached copy of one. */
    DONE("done"),
    /** Not executed, and never executed later under this attempt. */
    REFUSED("refused"),
    /** The request may or may not have been executed. */
    UNKNOWN("unknown");

    private final String code;

    RequestOutcome(final String code) {
        this.code = code;
    }

    /** Returns the name in messages, headers and JSON, which never changes. */
    @JsonValue
    public String code() {
        return code;
    }

    @Override
    public String toString() {
        return code;
    }
}
