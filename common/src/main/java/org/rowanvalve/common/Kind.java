package org.rowanvalve.common;

import java.util.Locale;
import java.util.Optional;

/** The kinds of replicated items. */
public enum Kind {
    ROUTE("ROUTE"),
    SERVICE("SERVICE"),
    PURGE("PURGE"),
    ORIGIN("ORIGIN"),
    PLAN("PLAN"),
    TENURE("TENURE"),
    SWEEP("SWEEP"),
    LIMIT("LIMIT"),
    /** Which number of each item was taken with which body; written by the order sequencer only. */
    LEDGER("LEDGER"),
    VOTERS("VOTERS");

    private final String code;

    Kind(final String code) {
        this.code = code;
    }

    /** The kind's name in stored data and between processes; it never changes. */
    public String code() {
        return code;
    }

    public static Kind ofCode(final String code) {
        for (final Kind kind : values()) {
            if (kind.code.equals(code)) {
                return kind;
            }
        }
        throw new IllegalArgumentException("no kind of item is named " + code);
    }

    public String word() {
        return code.toLowerCase(Locale.ROOT);
    }

    /** Versions of such a kind come from one count for all its items. */
    public boolean rising() {
        return this == PURGE || this == ORIGIN;
    }

    public boolean stated() {
        return this == ROUTE || this == SERVICE || this == PURGE || this == LIMIT;
    }

    public static Optional<Kind> of(final String word) {
        for (final Kind k : values()) {
            if (k.word().equals(word) || (k.word() + "s").equals(word)) {
                return Optional.of(k);
            }
        }
        return Optional.empty();
    }
}
