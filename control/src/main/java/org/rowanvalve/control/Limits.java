package org.rowanvalve.control;

import java.util.Optional;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;

/** What a caller may send and how long it may take, in bytes and milliseconds; {@code note}: the operator's own words. */
public record Limits(int headBytes, int bodyBytes, long headMs, long idleMs, String note) {
    public static final ItemId ID = new ItemId(Kind.LIMIT, "limits");
    public static final Limits PLAIN = new Limits(8192, 1 << 20, 30_000, 30_000, "");

    public Limits {
        note = note == null ? "" : note;
    }

    public static Limits of(final Item item) {
        return Optional.of(item)
                .filter(Item::live)
                .map(i -> Json.read(i.body(), Limits.class))
                .orElse(PLAIN);
    }
}
