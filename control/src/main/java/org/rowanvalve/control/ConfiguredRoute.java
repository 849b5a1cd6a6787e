package org.rowanvalve.control;

import java.util.Optional;

/** {@code service} is empty where none stands; such a route takes its paths and serves none of them. */
public record ConfiguredRoute(String name, Match match, Service service, Optional<Rule> rule) {
    public boolean fit() {
        return service != null && !(Match.ONCE.equals(match.mode()) && service.content());
    }

    public long timeoutMs() {
        return match.timeoutMs() > 0 ? match.timeoutMs() : service.cutoffMs();
    }
}
