package org.rowanvalve.common.model;

/**
 * The timings of leases, of the configuration view and of heartbeats, in ms.
 *
 * @param leaseMs the lease duration D
 * @param marginMs the safety margin M
 * @param maxViewAgeMs the maximum age of a confirmed configuration view
 */
public record LeaseTimings(long leaseMs, long marginMs, long maxViewAgeMs) {
    private static final long DEFAULT_MAX_VIEW_AGE_MS = 1500;

    public static final LeaseTimings DEFAULT = new LeaseTimings(3000, 1000);

    public LeaseTimings {
        if (maxViewAgeMs < 200) {
            throw new IllegalArgumentException("a frame's age below 200");
        }
        if (leaseMs < 3000) {
            throw new IllegalArgumentException("D below 3000");
        }
        if (marginMs < Math.max(1000, leaseMs / 10)) {
            throw new IllegalArgumentException("M below max(1000, D/10)");
        }
        if (leaseMs - marginMs < 2 * (leaseMs / 3)) {
            throw new IllegalArgumentException("M leaves no room for a second renewal");
        }
    }

    public LeaseTimings(final long leaseMs, final long marginMs) {
        this(leaseMs, marginMs, DEFAULT_MAX_VIEW_AGE_MS);
    }

    /** Returns the interval at which a holder renews its leases. */
    public long renewIntervalMs() {
        return leaseMs / 3;
    }

    /**
     * Returns the time at which a lease ends for its holder, on the clock of {@code sentAt}, when the holder sent the
     * last renewal that was answered.
     */
    public long validUntil(final long sentAt) {
        return sentAt + leaseMs - marginMs;
    }

    /**
     * Returns the time from which a lease granted at {@code grantedAt} may be granted to another holder, on the same
     * clock.
     */
    public long regrantTime(final long grantedAt) {
        return grantedAt + leaseMs + 2 * marginMs;
    }

    /** Returns the duration of the leadership lease, which is separate from the leases of shards. */
    public long leadershipLeaseMs() {
        return 1600;
    }

    /** Returns the safety margin within the duration of the leadership lease. */
    public long leadershipMarginMs() {
        return 450;
    }

    public long heartbeatIntervalMs() {
        return 500;
    }

    /** Returns the silence after which a node is considered failed. */
    public long failureTimeoutMs() {
        return 2000;
    }
}
