package org.rowanvalve.control.record;

import java.util.function.LongSupplier;

/**
 * How long the record of a keyed request is kept. A record is written before its request is sent, and the request is
 * sent within the longest time-out. A retry sent within the key window after that may in turn wait for the longest
 * time-out before its key is looked up. A record is therefore kept for the window plus two time-outs, and a margin for
 * clocks that are stepped or run fast in the meantime.
 */
public final class RecordRetention {
    public static final long DEFAULT_WINDOW_MS = 60_000;
    /** Allows for two wall clock steps of 4 s each, and for a clock that runs 10 % fast for a minute. */
    static final long CLOCK_SLACK_MS = 15_000;
    /**
     * The lower bound of the longest time-out: requests of a route that was just changed or deleted may be in flight.
     */
    static final long MIN_TIMEOUT_MILLIS = 5_000;

    private final long windowMs;
    private final LongSupplier longestTimeoutMs;
    private long longestSeenTimeoutMs = MIN_TIMEOUT_MILLIS;

    /** {@code longestTimeoutMs} is the longest time-out of a keyed request in the current configuration, in ms. */
    public RecordRetention(final long windowMs, final LongSupplier longestTimeoutMs) {
        this.windowMs = windowMs;
        this.longestTimeoutMs = longestTimeoutMs;
    }

    /**
     * The retention time in ms. It uses the longest time-out seen so far, since requests of an earlier configuration
     * may still be in flight.
     */
    public long retentionMs() {
        longestSeenTimeoutMs = Math.max(longestSeenTimeoutMs, longestTimeoutMs.getAsLong());
        return windowMs + 2 * longestSeenTimeoutMs + CLOCK_SLACK_MS;
    }
}
