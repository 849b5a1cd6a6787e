package org.rowanvalve.data.routing;

import org.rowanvalve.control.config.ConfiguredRoute;
import org.rowanvalve.control.config.Route;
import org.rowanvalve.control.config.RouteMode;
import org.rowanvalve.control.placement.PlacementPlan;

/** Which shard an object or an operation belongs to; the same on every node. */
public final class ShardRouting {
    private ShardRouting() {}

    /** The name of an object or operation; the same on every node. */
    public static String cacheKey(final ConfiguredRoute route, final String path, final String key) {
        return route.route()
                .cacheKeyOf(route.name(), route.route().hasMode(RouteMode.KEYED) && key != null ? "#" + key : path);
    }

    /**
     * Objects belong to one of the shards of the region that asks, so that what a region reads is filled there;
     * operations to one of all shards, whoever asks.
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
