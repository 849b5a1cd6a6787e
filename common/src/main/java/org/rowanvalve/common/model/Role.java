package org.rowanvalve.common.model;

import java.util.Locale;

/** The role of a process in the network. */
public enum Role {
    STORE,
    SHIELD,
    EDGE;

    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
