package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** The identity of one register: its kind and its name. */
public record ItemId(ItemKind kind, String name) implements Comparable<ItemId> {
    public static final ItemId PLAN = new ItemId(ItemKind.PLAN, "plan");
    public static final ItemId LEADERSHIP = new ItemId(ItemKind.LEADERSHIP, "tenure");
    /** Its version is the epoch of the voting set that it names. */
    public static final ItemId VOTERS = new ItemId(ItemKind.VOTERS, "voters");

    /** The register that decides operators' updates. */
    public static final ItemId LEDGER = new ItemId(ItemKind.LEDGER, "orders");

    /** Reads {@code KIND/NAME}; an unknown kind is an {@link IllegalArgumentException}. */
    @JsonCreator
    public static ItemId parse(final String text) {
        final int cut = text.indexOf('/');
        return new ItemId(ItemKind.ofCode(text.substring(0, cut)), text.substring(cut + 1));
    }

    @JsonValue
    public String text() {
        return kind.code() + "/" + name;
    }

    /** The same in every process: an enum's own differs from run to run, and with it the order of hashed collections. */
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
