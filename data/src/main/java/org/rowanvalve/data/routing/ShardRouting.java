package org.rowanvalve.data.routing;

import org.rowanvalve.control.config.ConfiguredRoute;
import org.rowanvalve.control.config.Route;
import org.rowanvalve.control.config.RouteMode;
import org.rowanvalve.control.placement.PlacementPlan;

/** Maps an object or an operation to its shard. Every node computes the same shard. */
public final class ShardRouting {
    private ShardRouting() {}

    /** Returns the cache key of an object or an operation. Every node computes the same key. */
    public static String cacheKey(final ConfiguredRoute route, final String path, final String key) {
        return route.route()
                .cacheKeyOf(route.name(), route.route().hasMode(RouteMode.KEYED) && key != null ? "#" + key : path);
    }

    /**
     * Maps an object to one of the shards of the requesting region, so that a region fills its cache from shards of its
     * own. Maps an operation to one of all shards, whichever region requests it.
     */
    public static int shardOf(
            final ConfiguredRoute route,
            final String path,
            final String key,
            final int shards,
            final int regionCount,
            final int region) {
        final Route configured = route.route();
        if (configured.host().isEmpty()) {
            return PlacementPlan.shardOf(
                    route.name(),
                    configured.service(),
                    configured.hasMode(RouteMode.KEYED) && key != null ? key : path,
                    shards);
        }
        final boolean regional = configured.hasMode(RouteMode.CACHED) && regionCount > 1 && shards >= regionCount;
        return regional
                ? PlacementPlan.shardOf("", "", cacheKey(route, path, key), shards / regionCount) * regionCount + region
                : PlacementPlan.shardOf("", "", cacheKey(route, path, key), shards);
    }
}
