package org.rowanvalve.control.record;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.common.message.AgedRecord;
import org.rowanvalve.common.message.KeyedOutcome;
import org.rowanvalve.common.message.KeyedRecord;
import org.rowanvalve.common.message.RecordPageResponse;
import org.rowanvalve.common.model.Hash;

/**
 * The records of keyed requests of one replica, indexed by shard and by bucket. Each bucket has a checksum over its
 * records, so that two replicas find the buckets in which they differ without exchanging all records.
 */
public final class KeyedRecordTable {
    static final int BUCKETS = 1024;
    /** Size of a page with bodies: small enough not to delay other messages of the same connection. */
    static final int PAGE_BYTES = 48 << 10;
    /** Size of a page of records without bodies. */
    static final int BODILESS_PAGE_BYTES = 24 << 10;
    /** Encoded size of a record beyond its key and outcome, approximately. */
    private static final int RECORD_BYTES = 210;
    /** Encoded size of an outcome beyond its headers and body, approximately. */
    private static final int OUTCOME_BYTES = 40;
    /** Encoded size of a header beyond its name and value, approximately. */
    private static final int HEADER_BYTES = 4;

    private final Map<String, Row> rows = new HashMap<>();
    private final Map<Integer, TreeMap<String, Row>> byShard = new HashMap<>();
    private final Map<Integer, TreeMap<String, Row>> byBucket = new HashMap<>();
    private final long[] bucketSums = new long[BUCKETS];

    /**
     * A stored record. {@code writtenAt} is the wall clock time at which it was written; {@code retentionMs} is how
     * long it is kept from then on.
     */
    public record Row(
            @JsonProperty("note") KeyedRecord keyedRecord,
            @JsonProperty("at") long writtenAt,
            @JsonProperty("stay") long retentionMs) {
        boolean isExpired(final long now, final long minRetentionMs) {
            return now - writtenAt > Math.max(retentionMs, minRetentionMs);
        }
    }

    /** {@code nextKey} is the last key of the page, or null if no page follows. */
    record Page(List<Row> rows, String nextKey) {}

    static int bucket(final String key) {
        return (int) (Hash.hash64(key) >>> 20) & BUCKETS - 1;
    }

    /** The checksum of a record, over all but its body: the key and the attempt determine the body. */
    static long checksum(final KeyedRecord record) {
        return Hash.hash64(record.key()
                + '\n'
                + record.token()
                + '\n'
                + record.attemptId()
                + '\n'
                + record.notSent()
                + '\n'
                + (record.outcome() != null));
    }

    static long checksumOf(final Collection<AgedRecord> records) {
        return records.stream()
                .mapToLong(record -> checksum(record.keyedRecord()))
                .reduce(0, (a, b) -> a ^ b);
    }

    /** Whether the checksum of a page matches its records. */
    static boolean isIntact(final RecordPageResponse page) {
        return page.checksum() == checksumOf(page.records());
    }

    Row get(final String key) {
        return rows.get(key);
    }

    Collection<Row> rows() {
        return rows.values();
    }

    int size() {
        return rows.size();
    }

    void put(final Row row) {
        remove(row.keyedRecord().key());
        final String key = row.keyedRecord().key();
        rows.put(key, row);
        byShard.computeIfAbsent(row.keyedRecord().shard(), shard -> new TreeMap<>())
                .put(key, row);
        byBucket.computeIfAbsent(bucket(key), bucket -> new TreeMap<>()).put(key, row);
        bucketSums[bucket(key)] ^= checksum(row.keyedRecord());
    }

    void remove(final String key) {
        final Row removed = rows.remove(key);
        if (removed != null) {
            removeFromIndex(byShard, removed.keyedRecord().shard(), key);
            removeFromIndex(byBucket, bucket(key), key);
            bucketSums[bucket(key)] ^= checksum(removed.keyedRecord());
        }
    }

    private static void removeFromIndex(
            final Map<Integer, TreeMap<String, Row>> index, final int indexKey, final String key) {
        index.computeIfPresent(indexKey, (k, map) -> map.remove(key) != null && map.isEmpty() ? null : map);
    }

    List<Long> bucketSums() {
        final List<Long> list = new ArrayList<>(BUCKETS);
        for (final long bucketSum : bucketSums) {
            list.add(bucketSum);
        }
        return list;
    }

    /** The buckets in which the checksums of another replica differ from the ones here. */
    List<Integer> differingBuckets(final List<Long> otherSums) {
        final List<Integer> differing = new ArrayList<>();
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            if (otherSums.size() != BUCKETS || bucketSums[bucket] != otherSums.get(bucket)) {
                differing.add(bucket);
            }
        }
        return differing;
    }

    /**
     * A page of the records of a shard, to be sent without bodies. It starts after {@code afterKey}, or with the first
     * record if that is null.
     */
    Page pageOfShard(final int shard, final String afterKey, final int pageBytes) {
        final List<Row> selected = new ArrayList<>();
        int selectedBytes = 0;
        for (final Row row : rowsAfter(byShard.get(shard), afterKey)) {
            if (selectedBytes >= pageBytes) {
                return page(selected);
            }
            selected.add(row);
            selectedBytes += RECORD_BYTES + row.keyedRecord().key().length();
        }
        return new Page(selected, null);
    }

    /** A page of the records of the buckets, with bodies. {@code afterKey} applies to the first of the buckets. */
    Page pageOfBuckets(final List<Integer> buckets, final String afterKey) {
        final List<Row> selected = new ArrayList<>();
        int selectedBytes = 0;
        String startKey = afterKey;
        for (final int bucket : buckets) {
            for (final Row row : rowsAfter(byBucket.get(bucket), startKey)) {
                final int recordBytes = bytes(row.keyedRecord());
                if (!selected.isEmpty() && selectedBytes + recordBytes > PAGE_BYTES) {
                    return page(selected);
                }
                selected.add(row);
                selectedBytes += recordBytes;
            }
            startKey = null;
        }
        return new Page(selected, null);
    }

    private static int bytes(final KeyedRecord record) {
        return RECORD_BYTES + record.key().length() + (record.outcome() == null ? 0 : bytes(record.outcome()));
    }

    private static int bytes(final KeyedOutcome outcome) {
        return OUTCOME_BYTES
                + outcome.body().length
                + outcome.headers().entrySet().stream()
                        .mapToInt(header -> HEADER_BYTES
                                + header.getKey().length()
                                + header.getValue().length())
                        .sum();
    }

    private static Collection<Row> rowsAfter(final TreeMap<String, Row> map, final String afterKey) {
        return map == null
                ? List.of()
                : afterKey == null ? map.values() : map.tailMap(afterKey, false).values();
    }

    private static Page page(final List<Row> selected) {
        return new Page(
                selected, selected.get(selected.size() - 1).keyedRecord().key());
    }
}
