package org.rowanvalve.control.store;

import java.util.ArrayList;
import java.util.List;
import org.rowanvalve.common.model.Hash;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;

/** Checksums over (item, version): one over all, one for each bucket, so that two nodes find where they differ. */
public final class ItemDigest {
    public static final int BUCKETS = 64;
    private final long[] bucketSums = new long[BUCKETS];
    private long total;

    /** The bucket of an item; the same on every node. */
    public static int bucket(final ItemId id) {
        return bucket(id, BUCKETS);
    }

    /** The bucket of an item among so many, a power of two; the same on every node. */
    public static int bucket(final ItemId id, final int buckets) {
        return (int) (Hash.hash64(id.text()) & buckets - 1);
    }

    /** Takes the earlier version out of the checksums and the present one in. */
    public void replace(final Item previous, final Item current) {
        final int bucket = bucket(current.id());
        final long change = (previous != null && previous.version().number() > 0 ? previous.checksum() : 0)
                ^ (current.version().number() > 0 ? current.checksum() : 0);
        bucketSums[bucket] ^= change;
        total ^= change;
    }

    /** The checksum over all items. */
    public long total() {
        return total;
    }

    public List<Long> bucketSums() {
        final List<Long> list = new ArrayList<>();
        for (final long s : bucketSums) {
            list.add(s);
        }
        return list;
    }

    /** The buckets in which another's checksums differ from these. */
    public List<Integer> differingBuckets(final List<Long> other) {
        final List<Integer> list = new ArrayList<>();
        for (int i = 0; i < BUCKETS; i++) {
            if (bucketSums[i] != other.get(i)) {
                list.add(i);
            }
        }
        return list;
    }
}
