package org.rowanvalve.control.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.stream.Stream;

/**
 * A route: which paths of a host go to which service, and how. {@code service} takes all where {@code split} is empty;
 * {@code anyShield}: what needs no right to fill may go through any shield; {@code priority}: 0 is refused last; {@code maxAttempts}:
 * origins that one request may be sent to; {@code note}: the operator's own words, kept as they came.
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

    /** One service of a route that is split over several, with its weight. */
    public record WeightedService(String service, int weight) {}

    public Route {
        condition = condition == null ? "" : condition;
        host = host == null ? "" : host;
        split = split == null ? List.of() : List.copyOf(split);
        maxAttempts = maxAttempts <= 0 ? 3 : maxAttempts;
        note = note == null ? "" : note;
    }

    /** The route as requests need it: without the operator's own words, and with names that many routes share. */
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

    /** All services that may get requests of this route. */
    public List<String> services() {
        return split.isEmpty()
                ? List.of(service)
                : split.stream()
                        .filter(weighted -> weighted.weight() > 0)
                        .map(WeightedService::service)
                        .toList();
    }

    /** All services that it names, also those that get nothing now. */
    public List<String> namedServices() {
        return Stream.concat(Stream.of(service), split.stream().map(WeightedService::service))
                .distinct()
                .toList();
    }

    /** One of them by weight; {@code roll} is any number. */
    public String pickService(final long roll) {
        if (split.isEmpty()) {
            return service;
        }
        long at = Long.remainderUnsigned(
                roll,
                Math.max(1, split.stream().mapToLong(WeightedService::weight).sum()));
        for (final WeightedService weighted : split) {
            if (at < weighted.weight()) {
                return weighted.service();
            }
            at -= weighted.weight();
        }
        return split.get(0).service();
    }

    /** What names an object or an operation on every node, whatever route takes it now. */
    public String cacheKeyOf(final String name, final String target) {
        return host.isEmpty() ? name + "|" + target : host + "|" + target;
    }
}
