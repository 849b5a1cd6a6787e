package org.rowanvalve.control.config;

import java.util.Optional;

/**
 * A route with the service that takes its requests. {@code service} is null if the route names an unknown service; such
 * a route still matches its paths, but its requests cannot be served.
 */
public record ConfiguredRoute(String name, Route route, Service service, Optional<RouteCondition> condition) {
    /** Whether requests of this route can be served: its service is known and supports the route's mode. */
    public boolean isUsable() {
        return service != null && !(route.hasMode(RouteMode.KEYED) && service.isContent());
    }

    /** Returns the time-out of a request in ms: the route's own if it has one, otherwise the service's. */
    public long timeoutMs() {
        return route.timeoutMs() > 0 ? route.timeoutMs() : service.timeoutMs();
    }
}
