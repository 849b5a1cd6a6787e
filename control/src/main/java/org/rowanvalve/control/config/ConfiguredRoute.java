package org.rowanvalve.control.config;

import java.util.Optional;

/** {@code service} is empty where none stands; such a route takes its paths and serves none of them. */
public record ConfiguredRoute(String name, Route route, Service service, Optional<RouteCondition> condition) {
    public boolean isUsable() {
        return service != null && !(route.hasMode(RouteMode.KEYED) && service.isContent());
    }

    public long timeoutMs() {
        return route.timeoutMs() > 0 ? route.timeoutMs() : service.timeoutMs();
    }
}
