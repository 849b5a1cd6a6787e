package org.rowanvalve.data.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.rowanvalve.control.config.ConfiguredRoute;
import org.rowanvalve.control.config.Route;
import org.rowanvalve.control.config.RouteMode;
import org.rowanvalve.data.routing.ShardRouting;

class ShardRoutingTest {
    private static ConfiguredRoute route(final String host, final RouteMode mode) {
        return new ConfiguredRoute(
                "r",
                new Route("/", "s", mode, 1000, true, "", host, List.of(), true, 0, 0, 0, 3, ""),
                null,
                Optional.empty());
    }

    @Test
    void objectsMapToTheReadingRegionAndOperationsToOneShard() {
        final Set<Integer> shards = new HashSet<>();
        for (int i = 0; i < 500; i++) {
            for (int region = 0; region < 3; region++) {
                final int shard = ShardRouting.shardOf(route("h", RouteMode.CACHED), "/" + i, null, 32, 3, region);
                assertEquals(region, shard % 3);
                assertTrue(shard < 32);
                shards.add(shard);
                assertEquals(
                        ShardRouting.shardOf(route("h", RouteMode.KEYED), "/x", "k" + i, 32, 3, 0),
                        ShardRouting.shardOf(route("h", RouteMode.KEYED), "/x", "k" + i, 32, 3, region));
            }
        }
        assertEquals(30, shards.size(), "the shards of all regions");
    }

    @Test
    void operationKeyIsIndependentOfThePath() {
        assertEquals(
                ShardRouting.cacheKey(route("h", RouteMode.KEYED), "/x", "k"),
                ShardRouting.cacheKey(route("h", RouteMode.KEYED), "/y", "k"));
        assertTrue(!ShardRouting.cacheKey(route("h", RouteMode.KEYED), "/x", "k")
                .equals(ShardRouting.cacheKey(route("i", RouteMode.KEYED), "/x", "k")));
        assertTrue(!ShardRouting.cacheKey(route("h", RouteMode.CACHED), "/x", "k")
                .equals(ShardRouting.cacheKey(route("h", RouteMode.CACHED), "/y", "k")));
    }
}
