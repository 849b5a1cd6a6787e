package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** The identity of one register: its kind and its name. */
public record ItemId(ItemKind kind, String name) implements Comparable<ItemId> {
    public static final ItemId PLAN = new ItemId(ItemKind.PLAN, "plan");
    public static final ItemId LEADERSHIP = new ItemId(ItemKind.LEADERSHIP, "tenure");
    /** The register of the voting set. Its version is the epoch of the voting set that it contains. */
    public static final ItemId VOTERS = new ItemId(ItemKind.VOTERS, "voters");

    /** The register in which operators' updates are decided. */
    public static final ItemId LEDGER = new ItemId(ItemKind.LEDGER, "orders");

    /** Parses {@code KIND/NAME}; throws an {@link IllegalArgumentException} if the kind is unknown. */
    @JsonCreator
    public static ItemId parse(final String text) {
        final int separator = text.indexOf('/');
        return new ItemId(ItemKind.ofCode(text.substring(0, separator)), text.substring(separator + 1));
    }

    @JsonValue
    public String text() {
        return kind.code() + "/" + name;
    }

    /**
     * Uses the ordinal of the kind, because an enum constant's own hash code differs between processes, and with it the
     * iteration order of hashed collections.
     */
    @Override
    public int hashCode() {
        return 31 * kind.ordinal() + name.hashCode();
    }

    @Override
    public int compareTo(final ItemId other) {
        return text().compareTo(other.text());
    }

    @Override
    public String toString() {
        return text();
    }
}
