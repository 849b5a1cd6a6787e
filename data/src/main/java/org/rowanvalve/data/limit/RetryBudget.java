package org.rowanvalve.data.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * The retry budget of each service. Each first attempt earns a fraction of a retry, further retries are earned with
 * time, and the number of retries that can be saved is small. In any 10 s, even right after requests have stopped, the
 * retries are therefore at most the ratio (by default a fifth) of the first attempts, plus the slack.
 */
public final class RetryBudget {
    private double earnedPerRequest;
    private double maxSavedTotal;
    private static final double WINDOW_MS = 10_000;
    private final Map<String, Balance> balances = new HashMap<>();

    /**
     * {@code ratio}: retries allowed for each first attempt; {@code slack}: further retries allowed in any 10 s, over
     * all senders together.
     */
    public RetryBudget(final double ratio, final double slack) {
        setLimits(ratio, slack);
    }

    /** Replaces the limits. Retries earned under the earlier limits are kept, up to the new maximum. */
    public void setLimits(final double ratio, final double slack) {
        earnedPerRequest = ratio * 0.9;
        maxSavedTotal = slack * 0.4;
    }

    public RetryBudget() {
        this(0.2, 60);
    }

    private static final class Balance {
        private double level;
        private long updatedAt;
    }

    private Balance balanceOf(final String service, final long now) {
        return balances.computeIfAbsent(service, key -> {
            final Balance balance = new Balance();
            balance.updatedAt = now;
            return balance;
        });
    }

    /** Counts a first attempt, which earns a fraction of a retry. {@code now}: monotonic time in ms. */
    public void recordFirstAttempt(final String service, final long now) {
        balanceOf(service, now).level += earnedPerRequest;
    }

    /** Takes one retry if the budget of this node, one of {@code senders} nodes, has one left. */
    public boolean trySpend(final String service, final long now, final int senders) {
        final double maxLevel = maxSavedTotal / Math.max(4, senders);
        final Balance balance = balanceOf(service, now);
        balance.level = Math.min(maxLevel, balance.level + maxLevel * (now - balance.updatedAt) / WINDOW_MS);
        balance.updatedAt = now;
        if (balance.level < 1) {
            return false;
        }
        balance.level -= 1;
        return true;
    }

    /** Returns a retry that was taken and certainly not made. */
    public void giveBack(final String service, final long now) {
        balanceOf(service, now).level += 1;
    }
}
