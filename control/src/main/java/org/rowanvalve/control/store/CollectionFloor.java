package org.rowanvalve.control.store;

import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.control.json.Json;

/**
 * The versions up to which dropped items have been collected. Purges and origins take their versions from one rising
 * count for each kind, so one number says what is dropped: all versions up to it, on every node, whatever their names.
 */
public record CollectionFloor(long purges, long origins) {
    public static final ItemId ID = new ItemId(ItemKind.COLLECTION, "floor");
    public static final CollectionFloor NONE = new CollectionFloor(0, 0);

    public static CollectionFloor of(final Item item) {
        return item.exists() ? Json.read(item.body(), CollectionFloor.class) : NONE;
    }

    /** The highest collected version of this kind; 0 for kinds that are never collected. */
    public long floor(final ItemKind kind) {
        return kind == ItemKind.PURGE ? purges : kind == ItemKind.ORIGIN ? origins : 0;
    }

    /** Whether this version of the item has been collected. */
    public boolean covers(final ItemId id, final long ver) {
        return ver <= floor(id.kind());
    }
}
