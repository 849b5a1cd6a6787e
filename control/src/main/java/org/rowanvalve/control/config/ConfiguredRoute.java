package org.rowanvalve.control.config;

import java.util.Optional;

/**
 * A route with the service it leads to. {@code service} is empty where there is none; such a route matches its paths
 * and serves none of them.
 */
public record ConfiguredRoute(String name, Route route, Service service, Optional<RouteCondition> condition) {
    /** Whether requests of this route can be served at all. */
    public boolean isUsable() {
        return service != null && !(route.hasMode(RouteMode.KEYED) && service.isContent());
    }

    /** The time-out of a request: the route's own, else the service's. */
    public long timeoutMs() {
        return route.timeoutMs() > 0 ? route.timeoutMs() : service.timeoutMs();
    }
}
