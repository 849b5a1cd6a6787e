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
 * The records of keyed requests of one replica, by shard and by bucket. Each bucket has a checksum over its records, so
 * that two replicas find where they differ without sending all.
 */
public final class KeyedRecordTable {
    static final int BUCKETS = 1024;
    /** Bytes of a page: small enough not to delay other messages of the same connection. */
    static final int PAGE_BYTES = 48 << 10;

    static final int LIGHT_PAGE_BYTES = 24 << 10;
    private static final int RECORD_BYTES = 210;
    private static final int OUTCOME_BYTES = 40;
    private final Map<String, Row> rows = new HashMap<>();
    private final Map<Integer, TreeMap<String, Row>> byShard = new HashMap<>();
    private final Map<Integer, TreeMap<String, Row>> byBucket = new HashMap<>();
    private final long[] bucketSums = new long[BUCKETS];

    /**
     * {@code writtenAt}: when it was written, by the wall clock; {@code retentionMs}: how long it is kept from then on.
     */
    public record Row(
            @JsonProperty("note") KeyedRecord keyedRecord,
            @JsonProperty("at") long writtenAt,
            @JsonProperty("stay") long retentionMs) {
        boolean isExpired(final long now, final long least) {
            return now - writtenAt > Math.max(retentionMs, least);
        }
    }

    /** {@code nextKey}: the last key of the page, or none where it is the last page. */
    record Page(List<Row> rows, String nextKey) {}

    static int bucket(final String key) {
        return (int) (Hash.hash64(key) >>> 20) & BUCKETS - 1;
    }

    /** The part of a record that replicas compare: all but the body, which its key and attempt determine. */
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

    /** Whether a page arrived as its sender made it. */
    static boolean isIntact(final RecordPageResponse page) {
        return page.checksum() == checksumOf(page.records());
    }

    Row get(final String key) {
        return rows.get(key);
    }

    Collection<Row> all() {
        return rows.values();
    }

    int size() {
        return rows.size();
    }

    void put(final Row row) {
        remove(row.keyedRecord().key());
        final String key = row.keyedRecord().key();
        rows.put(key, row);
        byShard.computeIfAbsent(row.keyedRecord().shard(), bucketSum -> new TreeMap<>())
                .put(key, row);
        byBucket.computeIfAbsent(bucket(key), bucket -> new TreeMap<>()).put(key, row);
        bucketSums[bucket(key)] ^= checksum(row.keyedRecord());
    }

    void remove(final String key) {
        final Row old = rows.remove(key);
        if (old != null) {
            removeFromIndex(byShard, old.keyedRecord().shard(), key);
            removeFromIndex(byBucket, bucket(key), key);
            bucketSums[bucket(key)] ^= checksum(old.keyedRecord());
        }
    }

    private static void removeFromIndex(
            final Map<Integer, TreeMap<String, Row>> index, final int at, final String key) {
        index.computeIfPresent(at, (k, map) -> map.remove(key) != null && map.isEmpty() ? null : map);
    }

    List<Long> bucketSums() {
        final List<Long> list = new ArrayList<>(BUCKETS);
        for (final long bucketSum : bucketSums) {
            list.add(bucketSum);
        }
        return list;
    }

    /** The buckets in which another replica's checksums differ from these. */
    List<Integer> differingBuckets(final List<Long> other) {
        final List<Integer> list = new ArrayList<>();
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            if (other.size() != BUCKETS || bucketSums[bucket] != other.get(bucket)) {
                list.add(bucket);
            }
        }
        return list;
    }

    /** Records of a shard without their bodies, after the key {@code afterKey}, or from the first. */
    Page pageOfShard(final int shard, final String afterKey, final int bytes) {
        final List<Row> list = new ArrayList<>();
        int size = 0;
        for (final Row row : rowsAfter(byShard.get(shard), afterKey)) {
            if (size >= bytes) {
                return page(list);
            }
            list.add(row);
            size += RECORD_BYTES + row.keyedRecord().key().length();
        }
        return new Page(list, null);
    }

    /** Records of the buckets with their bodies; {@code afterKey} concerns the first of the buckets. */
    Page pageOfBuckets(final List<Integer> wanted, final String afterKey) {
        final List<Row> list = new ArrayList<>();
        int size = 0;
        String from = afterKey;
        for (final int bucket : wanted) {
            for (final Row row : rowsAfter(byBucket.get(bucket), from)) {
                final int recordBytes = bytes(row.keyedRecord());
                if (!list.isEmpty() && size + recordBytes > PAGE_BYTES) {
                    return page(list);
                }
                list.add(row);
                size += recordBytes;
            }
            from = null;
        }
        return new Page(list, null);
    }

    private static int bytes(final KeyedRecord record) {
        return RECORD_BYTES + record.key().length() + (record.outcome() == null ? 0 : bytes(record.outcome()));
    }

    private static int bytes(final KeyedOutcome outcome) {
        return OUTCOME_BYTES
                + outcome.body().length
                + outcome.headers().entrySet().stream()
                        .mapToInt(h -> 4 + h.getKey().length() + h.getValue().length())
                        .sum();
    }

    private static Collection<Row> rowsAfter(final TreeMap<String, Row> map, final String afterKey) {
        return map == null
                ? List.of()
                : afterKey == null ? map.values() : map.tailMap(afterKey, false).values();
    }

    private static Page page(final List<Row> list) {
        return new Page(list, list.get(list.size() - 1).keyedRecord().key());
    }
}
