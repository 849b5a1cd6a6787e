package org.rowanvalve.control.record;

import java.util.function.LongSupplier;

/**
 * How long the record of a keyed request is kept. A record is written before its request is sent; the send follows
 * within the request's longest time-out. A repeat sent within the key window after that may itself wait for its own
 * longest time-out before it is looked up. So a record is kept for the window plus two time-outs, and a margin for
 * clocks that are stepped or run fast meanwhile.
 */
public final class RecordRetention {
    public static final long DEFAULT_WINDOW_MS = 60_000;
    /** Two steps of a wall clock by 4 s each, and a clock that runs a tenth too fast for a minute. */
    static final long CLOCK_SLACK_MS = 15_000;
    /** No time-out is taken as shorter: requests may be in flight whose route has just been changed or deleted. */
    static final long SHORTEST_LIFE_MS = 5_000;

    private final long windowMs;
    private final LongSupplier longestTimeoutMs;
    private long longestSeenMs = SHORTEST_LIFE_MS;

    /** {@code longestTimeoutMs}: the longest time that the present configuration lets a keyed request take, in ms. */
    public RecordRetention(final long windowMs, final LongSupplier longestTimeoutMs) {
        this.windowMs = windowMs;
        this.longestTimeoutMs = longestTimeoutMs;
    }

    /** The longest time-out seen so far counts, since requests of an earlier configuration may still be in flight. */
    public long retentionMs() {
        longestSeenMs = Math.max(longestSeenMs, longestTimeoutMs.getAsLong());
        return windowMs + 2 * longestSeenMs + CLOCK_SLACK_MS;
    }
}
