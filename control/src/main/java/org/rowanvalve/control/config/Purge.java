package org.rowanvalve.control.config;

/** Names a route's path or prefix, or a host's path, or a tag that origins gave their answers. */
public record Purge(String route, String path, String prefix, String host, String tag) {
    /** Whether this purge of a route concerns the path {@code to} of the route {@code name}. */
    public boolean touches(final String name, final String to) {
        return route != null && route.equals(name) && (path != null ? to.equals(path) : to.startsWith(prefix));
    }

    /** Of a host's path or of a tag, so of no route. */
    public boolean isHostOrTag() {
        return route == null;
    }
}
