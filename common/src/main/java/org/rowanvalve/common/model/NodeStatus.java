package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonValue;

/** The status that a member reports in its heartbeats. */
public enum NodeStatus {
    READY("READY"),
    PARTIAL("PARTIAL"),
    UNREADY("UNREADY"),
    DRAINING("LEAVING");

    private final String code;

    NodeStatus(final String code) {
        this.code = code;
    }

    /** Returns the name in messages and in the control interface, which never changes. */
    @JsonValue
    public String code() {
        return code;
    }
}
