package org.rowanvalve.data.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * The retry budget of a service. Each first request earns a fraction of a retry, time earns a little, and little can be
 * saved: so in any 10 s, even when requests have just stopped, a fifth plus the small allowance is not exceeded.
 */
public final class RetryBudget {
    private double earnedPerRequest;
    private double maxSaved;
    private static final double WINDOW_MS = 10_000;
    private final Map<String, Balance> balances = new HashMap<>();

    /** {@code ratio}: retries for each request; {@code slack}: beyond those, in any 10 s, over all senders. */
    public RetryBudget(final double ratio, final double slack) {
        setLimits(ratio, slack);
    }

    /** Replaces the bounds; what was earned under the earlier ones is kept, up to the new bound. */
    public void setLimits(final double ratio, final double slack) {
        earnedPerRequest = ratio * 0.9;
        maxSaved = slack * 0.4;
    }

    public RetryBudget() {
        this(0.2, 60);
    }

    private static final class Balance {
        private double level;
        private long updatedAt;
    }

    private Balance balanceOf(final String service, final long now) {
        return balances.computeIfAbsent(service, k -> {
            final Balance balance = new Balance();
            balance.updatedAt = now;
            return balance;
        });
    }

    /** Counts a first request, which earns a fraction of a retry. {@code now}: monotonic ms. */
    public void recordFirst(final String service, final long now) {
        balanceOf(service, now).level += earnedPerRequest;
    }

    /** Takes one retry, where the budget of this node, one of {@code senders}, has one left. */
    public boolean trySpend(final String service, final long now, final int senders) {
        final double maxLevel = maxSaved / Math.max(4, senders);
        final Balance balance = balanceOf(service, now);
        balance.level = Math.min(maxLevel, balance.level + maxLevel * (now - balance.updatedAt) / WINDOW_MS);
        balance.updatedAt = now;
        if (balance.level < 1) {
            return false;
        }
        balance.level -= 1;
        return true;
    }

    /** A retry that was taken was surely not made. */
    public void giveBack(final String service, final long now) {
        balanceOf(service, now).level += 1;
    }
}
