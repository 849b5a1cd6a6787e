package org.rowanvalve.control.store;

import java.util.ArrayList;
import java.util.List;
import org.rowanvalve.common.model.Hash;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;

/**
 * Checksums over (item, version): one over all, one for each bucket, so that two nodes find where they differ. The more
 * items, the more buckets they are compared in, so that a change is found among few others.
 */
public final class ItemDigest {
    /** The least number of buckets, which every release knows. */
    public static final int BUCKETS = 64;

    public static final int MAX_BUCKETS = 4096;
    private static final int ITEMS_PER_BUCKET = 8;
    private final long[] finestSums = new long[MAX_BUCKETS];
    private long total;

    /** The bucket of an item; the same on every node. */
    public static int bucket(final ItemId id) {
        return bucket(id, BUCKETS);
    }

    /** The bucket of an item among so many, a power of two; the same on every node. */
    public static int bucket(final ItemId id, final int buckets) {
        return (int) (Hash.hash64(id.text()) & buckets - 1);
    }

    /** In how many buckets so many items are compared. */
    public static int bucketCount(final int items) {
        int buckets = BUCKETS;
        while (buckets < MAX_BUCKETS && buckets * ITEMS_PER_BUCKET < items) {
            buckets *= 2;
        }
        return buckets;
    }

    /** Whether items can be divided into so many buckets here. */
    public static boolean isBucketCount(final int buckets) {
        return buckets >= BUCKETS && buckets <= MAX_BUCKETS && Integer.bitCount(buckets) == 1;
    }

    /** What another node has asked for, or the least number where that is nothing or cannot be. */
    public static int bucketCount(final Integer wanted) {
        return wanted != null && isBucketCount(wanted) ? wanted : BUCKETS;
    }

    /** Takes the earlier version out of the checksums and the present one in. */
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

    /** The checksum of each of so many buckets. */
    public List<Long> bucketSums(final int buckets) {
        final long[] sums = new long[buckets];
        for (int finest = 0; finest < MAX_BUCKETS; finest++) {
            sums[finest & buckets - 1] ^= finestSums[finest];
        }
        final List<Long> list = new ArrayList<>(buckets);
        for (final long sum : sums) {
            list.add(sum);
        }
        return list;
    }

    /** The buckets in which another's checksums differ from these, among as many as the other has. */
    public List<Integer> differingBuckets(final List<Long> other) {
        final List<Long> own = bucketSums(other.size());
        final List<Integer> differing = new ArrayList<>();
        for (int bucket = 0; bucket < other.size(); bucket++) {
            if (!own.get(bucket).equals(other.get(bucket))) {
                differing.add(bucket);
            }
        }
        return differing;
    }
}
