package org.rowanvalve.control.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.eclipse.collections.impl.factory.Sets;
import org.rowanvalve.common.model.ItemId;

/**
 * The ids of items by their bucket in the digest. The items of a few buckets are found without a scan of the others.
 */
final class ItemIndex {
    private final List<Set<ItemId>> byFinestBucket = new ArrayList<>(Collections.nCopies(ItemDigest.MAX_BUCKETS, null));

    void add(final ItemId id) {
        final int bucket = ItemDigest.bucket(id, ItemDigest.MAX_BUCKETS);
        if (byFinestBucket.get(bucket) == null) {
            byFinestBucket.set(bucket, Sets.mutable.empty());
        }
        byFinestBucket.get(bucket).add(id);
    }

    void remove(final ItemId id) {
        final Set<ItemId> ids = byFinestBucket.get(ItemDigest.bucket(id, ItemDigest.MAX_BUCKETS));
        if (ids != null) {
            ids.remove(id);
        }
    }

    /** Runs {@code action} for each item in {@code buckets}, if items are divided into {@code bucketCount} buckets. */
    void forEach(final Collection<Integer> buckets, final int bucketCount, final Consumer<ItemId> action) {
        for (final int bucket : buckets) {
            for (int finest = bucket; finest < ItemDigest.MAX_BUCKETS; finest += bucketCount) {
                final Set<ItemId> ids = byFinestBucket.get(finest);
                if (ids != null) {
                    ids.forEach(action);
                }
            }
        }
    }
}
