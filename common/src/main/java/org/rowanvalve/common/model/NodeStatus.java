package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonValue;

/** How a member describes itself in its heartbeats. */
public enum NodeStatus {
    READY("READY"),
    PARTIAL("PARTIAL"),
    UNREADY("UNREADY"),
    DRAINING("LEAVING");

    private final String code;

    NodeStatus(final String code) {
        this.code = code;
    }

    /** The name between processes and in the control interface; it never changes. */
    @JsonValue
    public String code() {
        return code;
    }
}
