package org.rowanvalve.data.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeSet;

/**
 * Spaces the requests to a service or an origin evenly at this node's share of the rate limit. Unused slots do not
 * accumulate, so that no burst can build up.
 */
public final class RateLimiter {
    private final Map<String, Double> nextFreeAt = new HashMap<>();
    /** The due times of slots that were taken and returned unused, by bucket. */
    private final Map<String, TreeSet<Long>> returnedSlots = new HashMap<>();

    /**
     * Takes consecutive slots of a bucket. Returns the delay until the last of them in ms, or empty if the delay would
     * exceed {@code maxWaitMs} and no slot was taken.
     */
    public OptionalLong take(
            final String bucket,
            final double rate,
            final double share,
            final int slots,
            final long now,
            final long maxWaitMs) {
        final OptionalLong reused = slots == 1 ? takeReturned(bucket, now, maxWaitMs) : OptionalLong.empty();
        if (reused.isPresent()) {
            return reused;
        }
        final double intervalMs = rate * share <= 0 ? Double.POSITIVE_INFINITY : 1000.0 / (rate * share);
        final Double dueAt = nextFreeAt.get(bucket);
        final double start = dueAt == null ? now + intervalMs : Math.max(dueAt, now);
        if (Double.isInfinite(intervalMs) || start + (slots - 1) * intervalMs - now > maxWaitMs) {
            nextFreeAt.putIfAbsent(bucket, start);
            return OptionalLong.empty();
        }
        nextFreeAt.put(bucket, start + slots * intervalMs);
        return OptionalLong.of((long) Math.ceil(start + (slots - 1) * intervalMs) - now);
    }

    /** Returns an unused slot. The next request for a single slot gets it, unless its due time has passed. */
    public void giveBack(final String bucket, final long dueAt) {
        returnedSlots.computeIfAbsent(bucket, key -> new TreeSet<>()).add(dueAt);
    }

    private OptionalLong takeReturned(final String bucket, final long now, final long maxWaitMs) {
        final TreeSet<Long> slots = returnedSlots.get(bucket);
        if (slots == null) {
            return OptionalLong.empty();
        }
        slots.headSet(now).clear();
        if (slots.isEmpty() || slots.first() - now > maxWaitMs) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(slots.pollFirst() - now);
    }

    /** The delay in ms until the next slot of a bucket is free, at least 1. */
    public long delayUntilNextSlotMs(final String bucket, final long now) {
        return Math.max(1, (long) (nextFreeAt.getOrDefault(bucket, (double) now) - now));
    }

    public void clear() {
        nextFreeAt.clear();
        returnedSlots.clear();
    }
}
