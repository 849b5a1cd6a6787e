package org.rowanvalve.control.config;

import org.rowanvalve.common.model.HostName;

/** A purge of a route's path or prefix, of a host's path, or of a tag that origins put on their responses. */
public record Purge(String route, String path, String prefix, String host, String tag) {
    public Purge {
        host = host == null ? null : HostName.normalize(host);
    }

    /** Whether this purge applies to the path {@code target} of the route {@code name}. */
    public boolean appliesTo(final String name, final String target) {
        return route != null && route.equals(name) && (path != null ? target.equals(path) : target.startsWith(prefix));
    }

    /** Whether this is a purge of a host's path or of a tag, which names no route. */
    public boolean isHostOrTag() {
        return route == null;
    }
}
