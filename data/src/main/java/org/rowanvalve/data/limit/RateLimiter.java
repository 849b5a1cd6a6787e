package org.rowanvalve.data.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeSet;

/** Spaces requests to one content store by this holder's share of its rate; no burst is ever saved up. */
public final class RateLimiter {
    private final Map<String, Double> nextFreeAt = new HashMap<>();
    /** Slots that were taken and are not used, by bucket: when they are due. */
    private final Map<String, TreeSet<Long>> returned = new HashMap<>();

    /** The wait until the slots taken, or empty where it would exceed {@code maxWaitMs}. */
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

    /** A slot that was taken is not used: whoever asks next gets it, as long as it is not past. */
    public void giveBack(final String bucket, final long dueAt) {
        returned.computeIfAbsent(bucket, k -> new TreeSet<>()).add(dueAt);
    }

    private OptionalLong takeReturned(final String bucket, final long now, final long maxWaitMs) {
        final TreeSet<Long> slots = returned.get(bucket);
        if (slots == null) {
            return OptionalLong.empty();
        }
        slots.headSet(now).clear();
        if (slots.isEmpty() || slots.first() - now > maxWaitMs) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(slots.pollFirst() - now);
    }

    public long wait(final String bucket, final long now) {
        return Math.max(1, (long) (nextFreeAt.getOrDefault(bucket, (double) now) - now));
    }

    public void clear() {
        nextFreeAt.clear();
        returned.clear();
    }
}
