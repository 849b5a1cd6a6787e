package org.rowanvalve.data.cache;

import org.rowanvalve.common.model.VersionVector;
import org.rowanvalve.control.config.ConfigurationView;
import org.rowanvalve.control.config.ConfiguredRoute;
import org.rowanvalve.control.config.Route;
import org.rowanvalve.control.config.RouteMode;

/**
 * What a copy of one object must meet to answer a request at one moment, by the route and the purges in force at that
 * moment. A copy has no lifetime of its own: every place that answers from a copy asks here, so that a route change
 * applies at once to all copies, wherever and whenever they were filled. It does so in both directions: a copy may be
 * served for longer than the route allowed when it was filled, if the route in force allows it.
 */
public final class CopyRequirements {
    /** How long a copy may be served after its lifetime while no fill is possible. */
    static final long STALE_GRACE_MS = 1500;

    private final ConfigurationView configuration;
    private final Route route;
    private final VersionVector versions;
    private final long now;

    /**
     * @param route the route by which the request is answered
     * @param versions the versions of the purges, and of the route if it has no host, that a copy of the object must cover
     * @param now monotonic time of this node, in ms
     */
    public CopyRequirements(
            final ConfigurationView configuration,
            final ConfiguredRoute route,
            final VersionVector versions,
            final long now) {
        this.configuration = configuration;
        this.route = route.route();
        this.versions = versions;
        this.now = now;
    }

    /** The requirements for the object at {@code path}, with the purges that this node knows. */
    public static CopyRequirements of(
            final ConfigurationView configuration, final ConfiguredRoute route, final String path, final long now) {
        return new CopyRequirements(configuration, route, configuration.versionsOf(route, path), now);
    }

    /** Whether the copy is within the lifetime that the route allows. */
    public boolean allowFresh(final CachedResponse copy) {
        return isCurrent(copy) && ageMs(copy.filledAt()) < route.ttlMs();
    }

    /**
     * Whether the copy may be served although it is not fresh, because no fill is possible or because the request joined
     * the fill that brought it: it may exceed the lifetime by less than the stale grace period.
     */
    public boolean allowStale(final CachedResponse copy) {
        return isCurrent(copy) && allowsResponseRequestedAt(copy.filledAt());
    }

    /** Whether a response that was requested from an origin at that time may still answer further requests. */
    public boolean allowsResponseRequestedAt(final long requestedAt) {
        return ageMs(requestedAt) < route.ttlMs() + STALE_GRACE_MS;
    }

    private long ageMs(final long requestedAt) {
        return now - requestedAt;
    }

    private boolean isCurrent(final CachedResponse copy) {
        return route.hasMode(RouteMode.CACHED) && copy.isFrom(route) && isUnpurged(copy);
    }

    /** Whether no purge has ended the copy, including purges that this node no longer knows or has never known. */
    public boolean isUnpurged(final CachedResponse copy) {
        return copy.verifiedAt() > configuration.purgesKnownSince()
                && copy.versions().covers(versions)
                && configuration.areTagsCurrent(copy.tagVersions());
    }
}
