package org.rowanvalve.control.consensus;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.rowanvalve.common.message.Register;
import org.rowanvalve.common.message.RegisterPosition;
import org.rowanvalve.common.model.Hash;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.control.store.ItemDigest;

/**
 * The registers of one voter, by bucket. Each bucket has a checksum over what was accepted in it, kept up to date with each
 * change, so that two voters find where they differ, and a page of the differences costs no more than the page.
 */
final class RegisterTable {
    /** Small enough not to delay other messages of the same connection; one item more fits into a message with it. */
    static final int PAGE_BYTES = 128 << 10;

    private final Map<ItemId, Register> registers = new TreeMap<>();
    private final List<TreeMap<ItemId, Register>> byBucket = new ArrayList<>();
    private final long[] checksums = new long[ItemDigest.BUCKETS];
    private final ItemDigest digest = new ItemDigest();
    private final List<Consumer<ItemId>> listeners = new ArrayList<>();

    /** {@code next}: where the next page begins; null after the last. */
    record Page(List<Register> registers, RegisterPosition next) {}

    RegisterTable() {
        for (int bucket = 0; bucket < ItemDigest.BUCKETS; bucket++) {
            byBucket.add(new TreeMap<>());
        }
    }

    Map<ItemId, Register> all() {
        return Collections.unmodifiableMap(registers);
    }

    ItemDigest digest() {
        return digest;
    }

    /** {@code listener} gets the name of each register right after it has changed or was removed. */
    void addListener(final Consumer<ItemId> listener) {
        listeners.add(listener);
    }

    void put(final Register register) {
        final ItemId id = register.item().id();
        final int bucket = ItemDigest.bucket(id);
        final Register previous = registers.put(id, register);
        byBucket.get(bucket).put(id, register);
        checksums[bucket] ^= checksum(previous) ^ checksum(register);
        digest.replace(previous == null ? null : previous.item(), register.item());
        listeners.forEach(listener -> listener.accept(id));
    }

    void remove(final ItemId id) {
        final Register previous = registers.remove(id);
        if (previous != null) {
            final int bucket = ItemDigest.bucket(id);
            byBucket.get(bucket).remove(id);
            checksums[bucket] ^= checksum(previous);
            digest.replace(previous.item(), Item.none(id));
            listeners.forEach(listener -> listener.accept(id));
        }
    }

    void clear() {
        List.copyOf(registers.keySet()).forEach(this::remove);
    }

    List<Long> checksums() {
        final List<Long> list = new ArrayList<>(ItemDigest.BUCKETS);
        for (final long checksum : checksums) {
            list.add(checksum);
        }
        return list;
    }

    /** What counts of a register in checksums: its accepted value and the ballot; zero where there is none. */
    static long checksum(final Register register) {
        return register == null || register.acceptedBallot().round() == 0
                ? 0
                : Hash.hash64(register.item().id().text() + "@"
                        + register.item().version().number() + "@"
                        + register.acceptedBallot().round() + "@"
                        + register.acceptedBallot().proposer());
    }

    /**
     * Accepted registers of the buckets whose checksums differ, from a position on; {@code withinBuckets}: whether a page
     * may end within a bucket.
     */
    Page page(final List<Long> otherChecksums, final RegisterPosition from, final boolean withinBuckets) {
        final List<Register> page = new ArrayList<>();
        int bytes = 0;
        for (int bucket = from.bucket(); bucket < ItemDigest.BUCKETS; bucket++) {
            if (otherChecksums.get(bucket) == checksums[bucket]) {
                continue;
            }
            if (!withinBuckets && bytes > PAGE_BYTES) {
                return new Page(page, new RegisterPosition(bucket, null));
            }
            ItemId last = bucket == from.bucket() ? from.after() : null;
            for (final Register register : registersAfter(bucket, last)) {
                if (register.acceptedBallot().round() == 0) {
                    continue;
                }
                bytes += register.item().approximateBytes();
                if (withinBuckets && bytes > PAGE_BYTES && !page.isEmpty()) {
                    return new Page(page, new RegisterPosition(bucket, last));
                }
                page.add(register);
                last = register.item().id();
            }
        }
        return new Page(page, null);
    }

    private Iterable<Register> registersAfter(final int bucket, final ItemId after) {
        final TreeMap<ItemId, Register> all = byBucket.get(bucket);
        return after == null ? all.values() : all.tailMap(after, false).values();
    }
}
