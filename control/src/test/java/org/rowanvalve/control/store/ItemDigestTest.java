package org.rowanvalve.control.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.Version;

/** The buckets of the digest, for every bucket count that nodes may use. */
class ItemDigestTest {
    private static ItemId id(final int number) {
        return new ItemId(ItemKind.ROUTE, "r" + number);
    }

    private static Item item(final int number, final long version) {
        return new Item(id(number), new Version(version), "{}", false, "t");
    }

    private static ItemDigest digest(final int items) {
        final ItemDigest digest = new ItemDigest();
        for (int i = 0; i < items; i++) {
            digest.replace(null, item(i, 1));
        }
        return digest;
    }

    /** Guards against a search for a changed item in a bucket that does not contain it. */
    @ParameterizedTest
    @ValueSource(ints = {64, 128, 1024, 4096})
    void onlyTheBucketsOfChangedItemsDiffer(final int buckets) {
        final ItemDigest one = digest(3000);
        final ItemDigest other = digest(3000);
        assertEquals(List.of(), one.differingBuckets(other.bucketSums(buckets)));
        final Set<Integer> changed = new TreeSet<>();
        for (final int number : new int[] {5, 700, 2999}) {
            other.replace(item(number, 1), item(number, 2));
            changed.add(ItemDigest.bucket(id(number), buckets));
        }
        assertEquals(List.copyOf(changed), one.differingBuckets(other.bucketSums(buckets)));
    }

    @Test
    void bucketCountGrowsWithTheNumberOfItems() {
        assertEquals(64, ItemDigest.bucketCount(0));
        assertEquals(64, ItemDigest.bucketCount(512));
        assertEquals(128, ItemDigest.bucketCount(513));
        assertEquals(4096, ItemDigest.bucketCount(1_000_000));
    }

    /** Guards against a bucket count of another node that is not a valid array size here. */
    @Test
    void unsupportedBucketCountsAreReplacedByTheSmallest() {
        for (final int buckets : new int[] {-64, 0, 1, 32, 63, 65, 96, 8192, Integer.MAX_VALUE}) {
            assertFalse(ItemDigest.isBucketCount(buckets), buckets + " buckets");
            assertEquals(ItemDigest.BUCKETS, ItemDigest.bucketCount(Integer.valueOf(buckets)));
        }
        assertEquals(ItemDigest.BUCKETS, ItemDigest.bucketCount((Integer) null));
    }

    /** Guards against items that are missing from the index or remain in it after their removal. */
    @Test
    void theIndexReturnsExactlyTheItemsOfTheGivenBuckets() {
        final ItemIndex index = new ItemIndex();
        final Set<ItemId> present = new HashSet<>();
        final Random random = new Random(4);
        for (int step = 0; step < 20_000; step++) {
            final ItemId id = id(random.nextInt(900));
            if (random.nextInt(3) == 0) {
                index.remove(id);
                present.remove(id);
            } else {
                index.add(id);
                present.add(id);
            }
        }
        for (int buckets = ItemDigest.BUCKETS; buckets <= ItemDigest.MAX_BUCKETS; buckets *= 2) {
            final int count = buckets;
            final Set<Integer> requestedBuckets = Set.of(3, 17, buckets - 1);
            final Set<ItemId> found = new HashSet<>();
            index.forEach(requestedBuckets, count, found::add);
            final Set<ItemId> expected = new HashSet<>(present);
            expected.removeIf(id -> !requestedBuckets.contains(ItemDigest.bucket(id, count)));
            assertEquals(expected, found, count + " buckets");
        }
    }
}
