package org.rowanvalve.data;

import java.util.HashMap;
import java.util.Map;

/**
 * Extra tries to a service. Each first request earns a part of a try, time earns a little, and little can be saved:
 * so in any 10 s whatever, even when requests have just stopped, a fifth plus the small allowance is not passed.
 */
public final class RetryBudget {
    private double share;
    private double saved;
    private static final double WINDOW = 10_000;
    private final Map<String, Pot> pots = new HashMap<>();

    /** {@code ratio}: extra tries for each request; {@code slack}: beyond those, in any 10 s, over all senders. */
    public RetryBudget(final double ratio, final double slack) {
        limits(ratio, slack);
    }

    /** From now on these hold; what was earned under the earlier ones is kept, up to the new bound. */
    public void limits(final double ratio, final double slack) {
        share = ratio * 0.9;
        saved = slack * 0.4;
    }

    public RetryBudget() {
        this(0.2, 60);
    }

    private static final class Pot {
        private double level;
        private long at;
    }

    private Pot pot(final String service, final long now) {
        return pots.computeIfAbsent(service, k -> {
            final Pot p = new Pot();
            p.at = now;
            return p;
        });
    }

    public void first(final String service, final long now) {
        pot(service, now).level += share;
    }

    public boolean extra(final String service, final long now, final int senders) {
        final double most = saved / Math.max(4, senders);
        final Pot p = pot(service, now);
        p.level = Math.min(most, p.level + most * (now - p.at) / WINDOW);
        p.at = now;
        if (p.level < 1) {
            return false;
        }
        p.level -= 1;
        return true;
    }
}
