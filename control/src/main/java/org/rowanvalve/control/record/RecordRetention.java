package org.rowanvalve.control.record;

import java.util.function.LongSupplier;

/**
 * How long the record of a keyed request stands. A record is written before its request is sent; the send follows within
 * the request's longest life. A repeat sent within the key window after that may itself wait for its own longest life
 * before it is looked up. So window plus two lives, and a slack for clocks that are stepped or run fast meanwhile.
 */
public final class RecordRetention {
    public static final long DEFAULT_WINDOW_MS = 60_000;
    /** Two steps of a wall clock by 4 s each, and a clock that runs a tenth too fast for a minute. */
    static final long CLOCK_SLACK_MS = 15_000;
    /** No life is taken as shorter: requests may be in flight whose route has just been restated or deleted. */
    static final long SHORTEST_LIFE_MS = 5_000;

    private final long windowMs;
    private final LongSupplier longestTimeoutMs;
    private long longestSeenMs = SHORTEST_LIFE_MS;

    /** {@code longestTimeoutMs}: the longest time that the present configuration lets a keyed request take, in ms. */
    public RecordRetention(final long windowMs, final LongSupplier longestTimeoutMs) {
        this.windowMs = windowMs;
        this.longestTimeoutMs = longestTimeoutMs;
    }

    /** The longest life seen so far counts, since requests of an earlier configuration may still be under way. */
    public long retentionMs() {
        longestSeenMs = Math.max(longestSeenMs, longestTimeoutMs.getAsLong());
        return windowMs + 2 * longestSeenMs + CLOCK_SLACK_MS;
    }
}
