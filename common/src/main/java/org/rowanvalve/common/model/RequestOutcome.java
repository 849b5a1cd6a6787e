package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonValue;

/** What became of a client's request, as far as the node that answers can know. */
public enum RequestOutcome {
    /** An origin's own answer, or a copy of it. */
    DONE("done"),
    /** Not executed, and never will be under this attempt. */
    REFUSED("refused"),
    /** It may have been executed or not. */
    UNKNOWN("unknown");

    private final String code;

    RequestOutcome(final String code) {
        this.code = code;
    }

    /** The name between processes, in headers and in JSON; it never changes. */
    @JsonValue
    public String code() {
        return code;
    }

    @Override
    public String toString() {
        return code;
    }
}
