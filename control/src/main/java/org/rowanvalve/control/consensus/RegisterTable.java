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
 * The registers of one voter, divided into buckets. Each bucket has a checksum over its accepted values, which is
 * updated at each change. Two voters compare these checksums to find the buckets in which they differ, so that reading
 * a page of differences costs no more than the registers on this page.
 */
final class RegisterTable {
    /**
     * Size limit of a page. It is small enough not to delay other messages on the same connection, and a page with one
     * item more still fits into a message.
     */
    static final int PAGE_BYTES = 128 << 10;

    private final Map<ItemId, Register> registers = new TreeMap<>();
    private final List<TreeMap<ItemId, Register>> byBucket = new ArrayList<>();
    private final long[] checksums = new long[ItemDigest.BUCKETS];
    private final ItemDigest digest = new ItemDigest();
    private final List<Consumer<ItemId>> listeners = new ArrayList<>();

    /** {@code next}: the position at which the next page begins, or null after the last page. */
    record Page(List<Register> registers, RegisterPosition next) {}

    RegisterTable() {
        for (int bucket = 0; bucket < ItemDigest.BUCKETS; bucket++) {
            byBucket.add(new TreeMap<>());
        }
    }

    Map<ItemId, Register> registers() {
        return Collections.unmodifiableMap(registers);
    }

    ItemDigest digest() {
        return digest;
    }

    /** Adds a listener that receives the ID of each register right after the register was changed or removed. */
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
        final List<Long> copy = new ArrayList<>(ItemDigest.BUCKETS);
        for (final long checksum : checksums) {
            copy.add(checksum);
        }
        return copy;
    }

    /** The checksum of a register, over its accepted version and ballot, or zero if no value was accepted. */
    static long checksum(final Register register) {
        return register == null || register.acceptedBallot().round() == 0
                ? 0
                : Hash.hash64(register.item().id().text() + "@"
                        + register.item().version().number() + "@"
                        + register.acceptedBallot().round() + "@"
                        + register.acceptedBallot().proposer());
    }

    /**
     * Returns the accepted registers of the buckets whose checksums differ, from a position on. {@code withinBuckets}:
     * whether a page may end in the middle of a bucket.
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
        final TreeMap<ItemId, Register> bucketRegisters = byBucket.get(bucket);
        return after == null
                ? bucketRegisters.values()
                : bucketRegisters.tailMap(after, false).values();
    }
}
