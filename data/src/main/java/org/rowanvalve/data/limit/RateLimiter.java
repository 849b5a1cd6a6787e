package org.rowanvalve.data.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/** Spaces requests to one content store by this holder's share of its rate; no burst is ever saved up. */
public final class RateLimiter {
    private final Map<String, Double> nextFreeAt = new HashMap<>();

    /** The wait until the slots taken, or empty where it would exceed {@code maxWaitMs}. */
    public OptionalLong take(
            final String bucket,
            final double rate,
            final double share,
            final int slots,
            final long now,
            final long maxWaitMs) {
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

    public long wait(final String bucket, final long now) {
        return Math.max(1, (long) (nextFreeAt.getOrDefault(bucket, (double) now) - now));
    }

    public void clear() {
        nextFreeAt.clear();
    }
}
