package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.testkit.sim.SimCluster;

/** How soon a network serves again after all its power was lost. */
class ReturnTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void whatDisksHoldIsFinishedAtOnceAfterAllPowerWasLost(final long seed) {
        final Place place = seed % 2 == 0 ? Place.coastline() : Place.kilimanjaro();
        final SimCluster town = new SimCluster(place, seed).open();
        town.run(2000);
        town.crowd().factor(1e-6);
        final List<String> all = new ArrayList<>(town.nodes().keySet());
        all.forEach(n -> town.kill(n, 0));
        town.run(1000);
        all.forEach(town::start);
        final long from = town.world().now();
        long seen = -1;
        while (seen < 0 && town.world().now() - from < 10_000) {
            town.run(20);
            seen = town.nodes().values().stream()
                            .allMatch(n -> n.node().sync().fresh()
                                    && !n.node().view().rows().isEmpty())
                    ? town.world().now() - from
                    : -1;
        }
        assertTrue(seen >= 0 && seen <= 400, "all nodes confirmed after " + seen + " ms");
    }

    private static List<String> owners(final SimCluster town) {
        return town.node("ed1").node().view().plan().parts().stream()
                .map(p -> p.owner() + " " + p.token())
                .toList();
    }

    /** Who holds what stays as it was: that some are heard of a moment later than others is no reason to move anything. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void nothingMovesWhenAllComeBack(final long seed) {
        final SimCluster town = new SimCluster(seed % 2 == 0 ? Place.coastline() : Place.kilimanjaro(), seed).open();
        town.run(4000);
        town.crowd().factor(1e-6);
        final List<String> before = owners(town);
        final List<String> all = new ArrayList<>(town.nodes().keySet());
        all.forEach(n -> town.kill(n, 0));
        town.run(1000);
        all.forEach(n -> town.world().in(town.world().dice().nextInt(900), () -> town.start(n)));
        town.run(12_000);
        assertEquals(before, owners(town));
    }
}
