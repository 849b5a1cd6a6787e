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
    private static ConfiguredRoute row(final String host, final RouteMode mode) {
        return new ConfiguredRoute(
                "r",
                new Route("/", "s", mode, 1000, true, "", host, List.of(), true, 0, 0, 0, 3, ""),
                null,
                Optional.empty());
    }

    @Test
    void objectsAreFilledWhereTheyAreReadAndOperationsInOnePlace() {
        final Set<Integer> seen = new HashSet<>();
        for (int i = 0; i < 500; i++) {
            for (int place = 0; place < 3; place++) {
                final int shard = ShardRouting.shardOf(row("h", RouteMode.CACHED), "/" + i, null, 32, 3, place);
                assertEquals(place, shard % 3);
                assertTrue(shard < 32);
                seen.add(shard);
                assertEquals(
                        ShardRouting.shardOf(row("h", RouteMode.KEYED), "/x", "k" + i, 32, 3, 0),
                        ShardRouting.shardOf(row("h", RouteMode.KEYED), "/x", "k" + i, 32, 3, place));
            }
        }
        assertEquals(30, seen.size(), "the shards of each place");
    }

    @Test
    void oneKeyIsOneOperationWhateverItsPathAndRoute() {
        assertEquals(
                ShardRouting.cacheKey(row("h", RouteMode.KEYED), "/x", "k"),
                ShardRouting.cacheKey(row("h", RouteMode.KEYED), "/y", "k"));
        assertTrue(!ShardRouting.cacheKey(row("h", RouteMode.KEYED), "/x", "k")
                .equals(ShardRouting.cacheKey(row("i", RouteMode.KEYED), "/x", "k")));
        assertTrue(!ShardRouting.cacheKey(row("h", RouteMode.CACHED), "/x", "k")
                .equals(ShardRouting.cacheKey(row("h", RouteMode.CACHED), "/y", "k")));
    }
}
