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
 * This node's share of a service's rate limit or of the rates of its origins. It schedules requests within that share.
 */
final class RateLimitShare {
    /**
     * The parts of a rate limit for fills by lease holders, for requests that shields pass through, and for edges that
     * are not connected to any shield.
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

    /** @param weightOf returns this lease holder's share of the rate of a service, by service name */
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
     * Reserves a send time and returns the wait until then in ms, or empty if the request would be sent too late.
     * Requests of lower priority may wait less long, so they are rejected first when the limit is exhausted.
     */
    OptionalLong reserve(final Service service, final ItemId origin, final OriginRequest request, final long now) {
        final String name = request.service();
        if (service.rateLimit() > 0) {
            return limiter.take(name, service.rateLimit(), shareOf(name), 1, now, longestWait(service, request, now));
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

    /**
     * Returns a reservation whose request is not sent.
     *
     * @param dueAt the reserved send time
     */
    void giveBack(final Service service, final ItemId origin, final String serviceName, final long dueAt) {
        limiter.giveBack(service.rateLimit() > 0 ? serviceName : origin.name(), dueAt);
    }

    /**
     * Returns the longest permitted wait. It covers at least two intervals between requests, within the overall limit
     * and whatever the priority: with only one interval, the capacity of each short pause between requests would be
     * lost.
     */
    private long longestWait(final Service service, final OriginRequest request, final long now) {
        final double intervalMs = 1000 / (service.rateLimit() * shareOf(request.service()));
        final double longestMs = Math.max(2 * intervalMs, LONGEST_WAIT_MS / (1.0 + request.priority()));
        return (long) Math.min(Math.min(LONGEST_WAIT_MS, longestMs), request.deadline() - now);
    }

    /**
     * Returns this node's part of the limit. Fills and passed-through requests share it, so either can use the rest.
     */
    private double shareOf(final String service) {
        return isEdge
                ? EDGES_PART / edgeCount.getAsInt()
                : FILLS_PART * weightOf.applyAsDouble(service) + PASS_THROUGH_PART / senderCount.getAsInt();
    }

    long retryAfterMs(final ItemId origin, final long now) {
        return limiter.delayUntilNextSlotMs(origin.name(), now);
    }
}
