package org.rowanvalve.common.model;

import java.util.Locale;
import java.util.Optional;

/** The kinds of replicated items. */
public enum ItemKind {
    ROUTE("ROUTE"),
    SERVICE("SERVICE"),
    PURGE("PURGE"),
    ORIGIN("ORIGIN"),
    PLAN("PLAN"),
    LEADERSHIP("TENURE"),
    COLLECTION("SWEEP"),
    LIMIT("LIMIT"),
    /** Which version of each item was taken with which body; written by the update sequencer only. */
    LEDGER("LEDGER"),
    VOTERS("VOTERS");

    private final String code;

    ItemKind(final String code) {
        this.code = code;
    }

    /** The kind's name in stored data and between processes; it never changes. */
    public String code() {
        return code;
    }

    public static ItemKind ofCode(final String code) {
        for (final ItemKind kind : values()) {
            if (kind.code.equals(code)) {
                return kind;
            }
        }
        throw new IllegalArgumentException("no kind of item is named " + code);
    }

    public String label() {
        return code.toLowerCase(Locale.ROOT);
    }

    /** Versions of such a kind come from one count for all its items. */
    public boolean sharesVersionCounter() {
        return this == PURGE || this == ORIGIN;
    }

    /** Whether operators declare items of this kind. */
    public boolean isOperatorDefined() {
        return this == ROUTE || this == SERVICE || this == PURGE || this == LIMIT;
    }

    /** Whether items of this kind make up the configuration, which stands until an operator changes it. */
    public boolean isConfiguration() {
        return this == ROUTE || this == SERVICE || this == LIMIT;
    }

    /** The kind of this name in the control interface, singular or plural. */
    public static Optional<ItemKind> of(final String word) {
        for (final ItemKind kind : values()) {
            if (kind.label().equals(word) || (kind.label() + "s").equals(word)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
