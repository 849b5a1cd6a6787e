package org.rowanvalve.common;

import com.fasterxml.jackson.annotation.JsonValue;

/** How a member describes itself in its heartbeats. */
public enum Condition {
    READY("READY"),
    PARTIAL("PARTIAL"),
    UNREADY("UNREADY"),
    LEAVING("LEAVING");

    private final String code;

    Condition(final String code) {
        this.code = code;
    }

    /** The name between processes and in the control interface; it never changes. */
    @JsonValue
    public String code() {
        return code;
    }
}
