package org.rowanvalve.control.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.stream.Stream;
import org.rowanvalve.common.model.HostName;

/**
 * A route sends the requests for a path prefix of a host to a service.
 *
 * @param service the service that takes all requests if {@code split} is empty
 * @param anyShield whether requests that need no lease may go through any shield
 * @param priority requests of the priority 0 are rejected last
 * @param maxAttempts the number of origins that one request may be sent to
 * @param note free text of the operator, stored unchanged
 */
public record Route(
        String prefix,
        String service,
        RouteMode mode,
        @JsonProperty("lifetimeMs") long ttlMs,
        boolean purgeable,
        @JsonProperty("when") String condition,
        String host,
        List<WeightedService> split,
        @JsonProperty("any") boolean anyShield,
        long timeoutMs,
        @JsonProperty("aimMs") long latencyTargetMs,
        @JsonProperty("rank") int priority,
        @JsonProperty("tries") int maxAttempts,
        String note) {

    private static final int DEFAULT_ATTEMPT_LIMIT = 3;

    /** One service of a route whose requests are split over several services, with its weight. */
    public record WeightedService(String service, int weight) {}

    public Route {
        condition = condition == null ? "" : condition;
        host = host == null ? "" : HostName.normalize(host);
        split = split == null ? List.of() : List.copyOf(split);
        maxAttempts = maxAttempts <= 0 ? DEFAULT_ATTEMPT_LIMIT : maxAttempts;
        note = note == null ? "" : note;
    }

    /**
     * Returns a copy for request processing that takes less memory: without the note, and with interned names, since
     * many routes name the same service and host.
     */
    Route forRequests() {
        return new Route(
                prefix,
                service == null ? null : service.intern(),
                mode,
                ttlMs,
                purgeable,
                condition,
                host.intern(),
                split,
                anyShield,
                timeoutMs,
                latencyTargetMs,
                priority,
                maxAttempts,
                "");
    }

    public boolean matches(final String path) {
        return path.startsWith(prefix);
    }

    public boolean hasMode(final RouteMode other) {
        return mode == other;
    }

    /** Returns the services that may get requests of this route: a service of weight 0 gets none. */
    public List<String> services() {
        return split.isEmpty()
                ? List.of(service)
                : split.stream()
                        .filter(weighted -> weighted.weight() > 0)
                        .map(WeightedService::service)
                        .toList();
    }

    /** Returns all services that this route names, including those of weight 0. */
    public List<String> namedServices() {
        return Stream.concat(Stream.of(service), split.stream().map(WeightedService::service))
                .distinct()
                .toList();
    }

    /** Selects a service by weight; {@code roll} is an arbitrary number, such as a hash of the request. */
    public String pickService(final long roll) {
        if (split.isEmpty()) {
            return service;
        }
        long offset = Long.remainderUnsigned(
                roll,
                Math.max(1, split.stream().mapToLong(WeightedService::weight).sum()));
        for (final WeightedService weighted : split) {
            if (offset < weighted.weight()) {
                return weighted.service();
            }
            offset -= weighted.weight();
        }
        return split.get(0).service();
    }

    /**
     * Returns the key that identifies an object or an operation on every node. For a route with a host the key does not
     * depend on the route that matches the target.
     */
    public String cacheKeyOf(final String name, final String target) {
        return host.isEmpty() ? name + "|" + target : host + "|" + target;
    }
}
