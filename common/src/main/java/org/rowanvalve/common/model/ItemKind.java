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
    /** The accepted versions of items with the bodies accepted for them; written by the update sequencer only. */
    LEDGER("LEDGER"),
    VOTERS("VOTERS");

    private final String code;

    ItemKind(final String code) {
        this.code = code;
    }

    /** Returns the name in stored data and in messages, which never changes. */
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

    /** Whether all items of this kind take their versions from one shared counter. */
    public boolean sharesVersionCounter() {
        return this == PURGE || this == ORIGIN;
    }

    /** Whether operators declare items of this kind. */
    public boolean isOperatorDefined() {
        return this == ROUTE || this == SERVICE || this == PURGE || this == LIMIT;
    }

    /** Whether items of this kind belong to the configuration, which is in force until an operator changes it. */
    public boolean isConfiguration() {
        return this == ROUTE || this == SERVICE || this == LIMIT;
    }

    /** Returns the kind with this name, singular or plural, in the control interface. */
    public static Optional<ItemKind> of(final String word) {
        for (final ItemKind kind : values()) {
            if (kind.label().equals(word) || (kind.label() + "s").equals(word)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
