package rv.data;

import java.util.OptionalLong;
import java.util.function.IntSupplier;
import java.util.function.ToDoubleFunction;
import rv.base.ItemId;
import rv.base.Role;
import rv.control.Service;

/** This node's part of a service's ceiling or of its origins' rates, and when the next request may leave within it. */
final class CeilingShare {
    /** The parts of a ceiling for holders' fills, for what shields pass through, and for edges that hear no shield. */
    private static final double FILLS = 0.55;

    private static final double PASSED = 0.1;
    private static final double ALONE = 0.35;
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

    /** The wait until a request may leave for this origin, or empty where that would be too late for it. */
    OptionalLong take(final Service service, final ItemId origin, final OriginRequest order, final long now) {
        final long most = Math.min(LONGEST_WAIT, order.cutoff() - now);
        final String name = order.service();
        if (service.ceiling() > 0) {
            final boolean passed = order.shard() == OriginRequest.NONE;
            return limiter.take(
                    name + (passed ? "/pass" : "/fill"), service.ceiling(), part(name, passed), 1, now, most);
        }
        return service.rate() <= 0
                ? OptionalLong.of(0)
                : limiter.take(origin.name(), service.rate(), weight.applyAsDouble(name), 1, now, most);
    }

    private double part(final String service, final boolean passed) {
        if (edge) {
            return ALONE / edges.getAsInt();
        }
        return passed ? PASSED / senders.getAsInt() : FILLS * weight.applyAsDouble(service);
    }

    long wait(final ItemId origin, final long now) {
        return limiter.wait(origin.name(), now);
    }
}
