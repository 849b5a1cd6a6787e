package org.rowanvalve.data.origin;

import java.util.OptionalLong;
import java.util.function.IntSupplier;
import java.util.function.ToDoubleFunction;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.control.config.Service;
import org.rowanvalve.data.limit.RateLimiter;
import org.rowanvalve.data.settings.NodeSettings;

/**
 * This node's share of a service's rate limit or of its origins' rates, and when the next request may leave within it.
 */
final class RateLimitShare {
    /**
     * The parts of a rate limit for holders' fills, for requests that shields pass through, and for edges that hear
     * from no shield.
     */
    private static final double FILLS_PART = 0.8;

    private static final double PASS_THROUGH_PART = 0.1;
    private static final double EDGES_PART = 0.1;
    private static final long LONGEST_WAIT_MS = 800;
    private final RateLimiter limiter = new RateLimiter();
    private final boolean isEdge;
    private final IntSupplier edgeCount;
    private final IntSupplier senderCount;
    private final ToDoubleFunction<String> weightOf;

    /** {@code weightOf}: this holder's share of the rate of the service named. */
    RateLimitShare(
            final NodeSettings settings,
            final IntSupplier edgeCount,
            final IntSupplier senderCount,
            final ToDoubleFunction<String> weightOf) {
        this.isEdge = settings.hasRole(Role.EDGE);
        this.edgeCount = edgeCount;
        this.senderCount = senderCount;
        this.weightOf = weightOf;
    }

    /**
     * The wait until a request may leave for this origin, or empty where that would be too late for it. Less urgent
     * requests may wait for less long, so they are rejected first where the limit is short.
     */
    OptionalLong reserve(final Service service, final ItemId origin, final OriginRequest request, final long now) {
        final String name = request.service();
        if (service.rateLimit() > 0) {
            return limiter.take(name, service.rateLimit(), partOf(name), 1, now, longestWait(service, request, now));
        }
        return service.ratePerOrigin() <= 0
                ? OptionalLong.of(0)
                : limiter.take(
                        origin.name(),
                        service.ratePerOrigin(),
                        weightOf.applyAsDouble(name),
                        1,
                        now,
                        Math.min(LONGEST_WAIT_MS, request.deadline() - now));
    }

    /** What was reserved is not used: the request is not sent. {@code dueAt}: when it might have left. */
    void giveBack(final Service service, final ItemId origin, final String serviceName, final long dueAt) {
        limiter.giveBack(service.rateLimit() > 0 ? serviceName : origin.name(), dueAt);
    }

    /** Two places in the row where that is not too long, whatever the rank: with one, each lull would be lost. */
    private long longestWait(final Service service, final OriginRequest request, final long now) {
        final double intervalMs = 1000 / (service.rateLimit() * partOf(request.service()));
        final double longestMs = Math.max(2 * intervalMs, LONGEST_WAIT_MS / (1.0 + request.priority()));
        return (long) Math.min(Math.min(LONGEST_WAIT_MS, longestMs), request.deadline() - now);
    }

    /** What this node's fills leave unused is for what it passes through, and the other way round. */
    private double partOf(final String service) {
        return isEdge
                ? EDGES_PART / edgeCount.getAsInt()
                : FILLS_PART * weightOf.applyAsDouble(service) + PASS_THROUGH_PART / senderCount.getAsInt();
    }

    long retryAfterMs(final ItemId origin, final long now) {
        return limiter.wait(origin.name(), now);
    }
}
