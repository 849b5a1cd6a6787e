package org.rowanvalve.control.store;

import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.control.json.Json;

/**
 * The versions up to which purges and origins have been garbage collected. All purges share one increasing version
 * counter, and so do all origins. One number for each kind therefore tells every node which items are collected: those
 * of any name with a version up to that number.
 */
public record CollectionFloor(long purges, long origins) {
    /** The leader collects no item within this time after it has learned the item. */
    public static final long MIN_RETENTION_MS = 60_000;

    public static final ItemId ID = new ItemId(ItemKind.COLLECTION, "floor");
    public static final CollectionFloor NONE = new CollectionFloor(0, 0);

    public static CollectionFloor of(final Item item) {
        return item.exists() ? Json.read(item.body(), CollectionFloor.class) : NONE;
    }

    /** The highest collected version of the kind, or 0 if items of the kind are never collected. */
    public long floor(final ItemKind kind) {
        return kind == ItemKind.PURGE ? purges : kind == ItemKind.ORIGIN ? origins : 0;
    }

    /** Whether this version of the item has been collected. */
    public boolean covers(final ItemId id, final long version) {
        return version <= floor(id.kind());
    }
}
