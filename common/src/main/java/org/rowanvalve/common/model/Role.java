package org.rowanvalve.common.model;

import java.util.Locale;

/** What a process does in the network. */
public enum Role {
    STORE,
    SHIELD,
    EDGE;

    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
