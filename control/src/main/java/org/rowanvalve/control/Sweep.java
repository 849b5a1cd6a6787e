package org.rowanvalve.control;

import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;

/**
 * Purges and origins take their versions from one rising count for each kind, so one number says what is dropped: all
 * versions up to it, on every node, whatever their names.
 */
public record Sweep(long purges, long origins) {
    public static final ItemId ID = new ItemId(Kind.SWEEP, "floor");
    public static final Sweep NONE = new Sweep(0, 0);

    public static Sweep of(final Item item) {
        return item.live() ? Json.read(item.body(), Sweep.class) : NONE;
    }

    public long floor(final Kind kind) {
        return kind == Kind.PURGE ? purges : kind == Kind.ORIGIN ? origins : 0;
    }

    public boolean drops(final ItemId id, final long ver) {
        return ver <= floor(id.kind());
    }
}
