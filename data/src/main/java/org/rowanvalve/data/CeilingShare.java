package org.rowanvalve.data;

import java.util.OptionalLong;
import java.util.function.IntSupplier;
import java.util.function.ToDoubleFunction;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Role;
import org.rowanvalve.control.Service;

/** This node's part of a service's ceiling or of its origins' rates, and when the next request may leave within it. */
final class CeilingShare {
    /** The parts of a ceiling for holders' fills, for what shields pass through, and for edges that hear no shield. */
    private static final double FILLS = 0.8;

    private static final double PASSED = 0.1;
    private static final double ALONE = 0.1;
    private static final long LONGEST_WAIT = 800;
    private final RateLimiter limiter = new RateLimiter();
    private final boolean edge;
    private final IntSupplier edges;
    private final IntSupplier senders;
    private final ToDoubleFunction<String> weight;

    /** {@code weight}: this holder's part of the rate of the service named. */
    CeilingShare(
            final Setup setup,
            final IntSupplier edges,
            final IntSupplier senders,
            final ToDoubleFunction<String> weight) {
        this.edge = setup.is(Role.EDGE);
        this.edges = edges;
        this.senders = senders;
        this.weight = weight;
    }

    /**
     * The wait until a request may leave for this origin, or empty where that would be too late for it. What is less urgent
     * may wait for less long, so where the ceiling is short it is turned away first.
     */
    OptionalLong take(final Service service, final ItemId origin, final OriginRequest order, final long now) {
        final String name = order.service();
        if (service.ceiling() > 0) {
            return limiter.take(name, service.ceiling(), part(name), 1, now, longestWait(service, order, now));
        }
        return service.rate() <= 0
                ? OptionalLong.of(0)
                : limiter.take(
                        origin.name(),
                        service.rate(),
                        weight.applyAsDouble(name),
                        1,
                        now,
                        Math.min(LONGEST_WAIT, order.cutoff() - now));
    }

    /** Two places in the row where that is not too long, whatever the rank: with one, each lull would be lost. */
    private long longestWait(final Service service, final OriginRequest order, final long now) {
        final double gap = 1000 / (service.ceiling() * part(order.service()));
        final double longest = Math.max(2 * gap, LONGEST_WAIT / (1.0 + order.rank()));
        return (long) Math.min(Math.min(LONGEST_WAIT, longest), order.cutoff() - now);
    }

    /** What this node's fills leave over is for what it passes through, and the other way round. */
    private double part(final String service) {
        return edge ? ALONE / edges.getAsInt() : FILLS * weight.applyAsDouble(service) + PASSED / senders.getAsInt();
    }

    long wait(final ItemId origin, final long now) {
        return limiter.wait(origin.name(), now);
    }
}
