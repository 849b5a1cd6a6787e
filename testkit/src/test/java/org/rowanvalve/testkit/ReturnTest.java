package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.sim.SimCluster;

/** How soon a network serves again after all its power was lost. */
class ReturnTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void whatDisksHoldIsFinishedAtOnceAfterAllPowerWasLost(final long seed) {
        final Deployment deployment = seed % 2 == 0 ? Deployment.coastline() : Deployment.kilimanjaro();
        final SimCluster cluster = new SimCluster(deployment, seed).open();
        cluster.run(2000);
        cluster.crowd().factor(1e-6);
        final List<String> all = new ArrayList<>(cluster.nodes().keySet());
        all.forEach(n -> cluster.kill(n, 0));
        cluster.run(1000);
        all.forEach(cluster::start);
        final long from = cluster.world().now();
        long seen = -1;
        while (seen < 0 && cluster.world().now() - from < 10_000) {
            cluster.run(20);
            seen = cluster.nodes().values().stream()
                            .allMatch(node -> node.node().viewSynchronizer().isFresh()
                                    && !node.node()
                                            .configuration()
                                            .routesByPrecedence()
                                            .isEmpty())
                    ? cluster.world().now() - from
                    : -1;
        }
        assertTrue(seen >= 0 && seen <= 400, "all nodes confirmed after " + seen + " ms");
    }

    private static List<String> owners(final SimCluster cluster) {
        return cluster.node("ed1").node().configuration().plan().assignments().stream()
                .map(p -> p.owner() + " " + p.token())
                .toList();
    }

    /** Who holds what stays as it was: that some are heard of a moment later than others is no reason to move anything. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void nothingMovesWhenAllComeBack(final long seed) {
        final SimCluster cluster =
                new SimCluster(seed % 2 == 0 ? Deployment.coastline() : Deployment.kilimanjaro(), seed).open();
        cluster.run(4000);
        cluster.crowd().factor(1e-6);
        final List<String> before = owners(cluster);
        final List<String> all = new ArrayList<>(cluster.nodes().keySet());
        all.forEach(n -> cluster.kill(n, 0));
        cluster.run(1000);
        all.forEach(n -> cluster.world().in(cluster.world().dice().nextInt(900), () -> cluster.start(n)));
        cluster.run(12_000);
        assertEquals(before, owners(cluster));
    }
}
