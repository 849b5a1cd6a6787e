package org.rowanvalve.data;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/** Spaces sends to one content store by this holder's share of its rate; no burst is ever saved up. */
public final class RateLimiter {
    private final Map<String, Double> next = new HashMap<>();

    /** The wait until the slots taken, or empty where it would pass {@code most}. */
    public OptionalLong take(
            final String store,
            final double rate,
            final double share,
            final int slots,
            final long now,
            final long most) {
        final double gap = rate * share <= 0 ? Double.POSITIVE_INFINITY : 1000.0 / (rate * share);
        final Double due = next.get(store);
        final double from = due == null ? now + gap : Math.max(due, now);
        if (Double.isInfinite(gap) || from + (slots - 1) * gap - now > most) {
            next.putIfAbsent(store, from);
            return OptionalLong.empty();
        }
        next.put(store, from + slots * gap);
        return OptionalLong.of((long) Math.ceil(from + (slots - 1) * gap) - now);
    }

    public long wait(final String store, final long now) {
        return Math.max(1, (long) (next.getOrDefault(store, (double) now) - now));
    }

    public void clear() {
        next.clear();
    }
}
