package org.rowanvalve.common;

import java.util.Locale;

/** What a process does in the network. */
public enum Role {
    STORE,
    SHIELD,
    EDGE;

    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
