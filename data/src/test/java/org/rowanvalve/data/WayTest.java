package org.rowanvalve.data;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.rowanvalve.control.ConfiguredRoute;
import org.rowanvalve.control.Match;

class WayTest {
    private static ConfiguredRoute row(final String host, final String mode) {
        return new ConfiguredRoute(
                "r",
                new Match("/", "s", mode, 1000, true, "", host, List.of(), true, 0, 0, 0, 3, ""),
                null,
                Optional.empty());
    }

    @Test
    void objectsAreFilledWhereTheyAreReadAndOperationsInOnePlace() {
        final Set<Integer> seen = new HashSet<>();
        for (int i = 0; i < 500; i++) {
            for (int place = 0; place < 3; place++) {
                final int shard = ShardRouting.shard(row("h", Match.CACHED), "/" + i, null, 32, 3, place);
                assertEquals(place, shard % 3);
                assertTrue(shard < 32);
                seen.add(shard);
                assertEquals(
                        ShardRouting.shard(row("h", Match.ONCE), "/x", "k" + i, 32, 3, 0),
                        ShardRouting.shard(row("h", Match.ONCE), "/x", "k" + i, 32, 3, place));
            }
        }
        assertEquals(30, seen.size(), "the shards of each place");
    }

    @Test
    void oneKeyIsOneOperationWhateverItsPathAndRoute() {
        assertEquals(
                ShardRouting.slot(row("h", Match.ONCE), "/x", "k"), ShardRouting.slot(row("h", Match.ONCE), "/y", "k"));
        assertTrue(!ShardRouting.slot(row("h", Match.ONCE), "/x", "k")
                .equals(ShardRouting.slot(row("i", Match.ONCE), "/x", "k")));
        assertTrue(!ShardRouting.slot(row("h", Match.CACHED), "/x", "k")
                .equals(ShardRouting.slot(row("h", Match.CACHED), "/y", "k")));
    }
}
