package org.rowanvalve.server.log;

/** Bounds the rate of log lines. Lines that are left out are counted. Not thread-safe. */
final class LineLimit {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final int linesPerSecond;
    private final int burstLines;
    private double available;
    private long updatedAt = Long.MIN_VALUE;
    private long leftOut;

    LineLimit(final int linesPerSecond, final int burstLines) {
        this.linesPerSecond = linesPerSecond;
        this.burstLines = burstLines;
        this.available = burstLines;
    }

    /** Takes the right to write one line, or counts it as left out. Times are ms and may step back. */
    boolean tryTake(final long nowMillis) {
        if (updatedAt != Long.MIN_VALUE && nowMillis > updatedAt) {
            available = Math.min(burstLines, available + (nowMillis - updatedAt) * linesPerSecond / MILLIS_PER_SECOND);
        }
        updatedAt = nowMillis;
        if (available < 1) {
            leftOut++;
            return false;
        }
        available--;
        return true;
    }

    /** Returns how many lines were left out since the last call. */
    long takeLeftOut() {
        final long count = leftOut;
        leftOut = 0;
        return count;
    }
}
