package org.rowanvalve.common.model;

/**
 * The time-outs of leases and of the view, in ms: D ({@code leaseMs}), M ({@code marginMs}), and the intervals derived
 * from them.
 */
public record LeaseTimings(long leaseMs, long marginMs, long maxViewAgeMs) {
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
        this(leaseMs, marginMs, 1500);
    }

    /** How often a holder renews its leases. */
    public long renewIntervalMs() {
        return leaseMs / 3;
    }

    /**
     * The end of a lease for its holder, whose answered renewal was sent at {@code sentAt}, in ms of the same clock.
     */
    public long validUntil(final long sentAt) {
        return sentAt + leaseMs - marginMs;
    }

    /** When a lease granted at {@code grantedAt} may be granted to another holder, in ms of the same clock. */
    public long regrantTime(final long grantedAt) {
        return grantedAt + leaseMs + 2 * marginMs;
    }

    /** Leadership is a lease of its own: how long one renewal lasts, and the margin within it. */
    public long leadershipLeaseMs() {
        return 1600;
    }

    public long leadershipMarginMs() {
        return 450;
    }

    public long heartbeatIntervalMs() {
        return 500;
    }

    /** Silence after which a node counts as down. */
    public long failureTimeoutMs() {
        return 2000;
    }
}
