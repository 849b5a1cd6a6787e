package org.rowanvalve.control.store;

import java.util.ArrayList;
import java.util.List;
import org.rowanvalve.common.model.Hash;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;

/**
 * Checksums over the ids and versions of items: one over all items and one for each bucket, so that two nodes find the
 * buckets in which they differ. The number of compared buckets grows with the number of items, so that a differing
 * bucket contains few items.
 */
public final class ItemDigest {
    /** The smallest number of buckets, which every release supports. */
    public static final int BUCKETS = 64;

    public static final int MAX_BUCKETS = 4096;
    private static final int ITEMS_PER_BUCKET = 8;
    private final long[] finestSums = new long[MAX_BUCKETS];
    private long total;

    /** The bucket of an item among {@link #BUCKETS}; it is the same on every node. */
    public static int bucket(final ItemId id) {
        return bucket(id, BUCKETS);
    }

    /** The bucket of an item among {@code buckets}, a power of two; it is the same on every node. */
    public static int bucket(final ItemId id, final int buckets) {
        return (int) (Hash.hash64(id.text()) & buckets - 1);
    }

    /** The number of buckets in which a node with this number of items compares them. */
    public static int bucketCount(final int items) {
        int buckets = BUCKETS;
        while (buckets < MAX_BUCKETS && buckets * ITEMS_PER_BUCKET < items) {
            buckets *= 2;
        }
        return buckets;
    }

    /** Whether this node supports this number of buckets. */
    public static boolean isBucketCount(final int buckets) {
        return buckets >= BUCKETS && buckets <= MAX_BUCKETS && Integer.bitCount(buckets) == 1;
    }

    /** The number of buckets that another node requested, or the smallest number if it is absent or unsupported. */
    public static int bucketCount(final Integer requested) {
        return requested != null && isBucketCount(requested) ? requested : BUCKETS;
    }

    /** Replaces the previous version of an item by the current one in the checksums. */
    public void replace(final Item previous, final Item current) {
        final long change = (previous != null && previous.version().number() > 0 ? previous.checksum() : 0)
                ^ (current.version().number() > 0 ? current.checksum() : 0);
        finestSums[bucket(current.id(), MAX_BUCKETS)] ^= change;
        total ^= change;
    }

    /** The checksum over all items. */
    public long total() {
        return total;
    }

    public List<Long> bucketSums() {
        return bucketSums(BUCKETS);
    }

    /** The checksums of the items divided into {@code buckets}. */
    public List<Long> bucketSums(final int buckets) {
        final long[] sums = new long[buckets];
        for (int finest = 0; finest < MAX_BUCKETS; finest++) {
            sums[finest & buckets - 1] ^= finestSums[finest];
        }
        final List<Long> result = new ArrayList<>(buckets);
        for (final long sum : sums) {
            result.add(sum);
        }
        return result;
    }

    /** The buckets in which the checksums of another node, in its number of buckets, differ from the ones here. */
    public List<Integer> differingBuckets(final List<Long> otherSums) {
        final List<Long> ownSums = bucketSums(otherSums.size());
        final List<Integer> differing = new ArrayList<>();
        for (int bucket = 0; bucket < otherSums.size(); bucket++) {
            if (!ownSums.get(bucket).equals(otherSums.get(bucket))) {
                differing.add(bucket);
            }
        }
        return differing;
    }
}
