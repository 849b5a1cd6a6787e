package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.testkit.sim.SimCluster;

/** A network is founded once, whatever ends while it is. */
class FoundingTest {
    private static final List<String> ELECTORS = List.of("sh1", "sh2", "sh3");

    private static SimCluster begun(final long seed) {
        final SimCluster cluster = new SimCluster(ShieldNetworks.deployment(seed), seed);
        cluster.nodes()
                .values()
                .forEach(node -> cluster.world().in(cluster.world().dice().nextInt(300), node::start));
        return cluster;
    }

    private static long founded(final SimCluster cluster) {
        return cluster.log().rows().stream()
                .filter(r -> "FOUNDED".equals(r.get("name")))
                .count();
    }

    /** A process that ends before or in the midst of the founding starts again as one of a network that began before. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void electorsThatEndDuringTheFoundingTakePartInIt(final int many) {
        for (long at = 400; at <= 2600; at += 100) {
            final SimCluster cluster = begun(at / 100);
            cluster.run(at);
            for (int i = 0; i < many; i++) {
                cluster.kill(ELECTORS.get((int) (at / 100 + i) % 3), 300 + 200 * i);
            }
            cluster.run(8000);
            for (final String e : ELECTORS) {
                assertTrue(cluster.node(e).node().acceptor().hasState(), e + " of " + many + " that ended at " + at);
                assertFalse(cluster.node(e).node().keyedRecords().isIncomplete(), e);
            }
            assertTrue(cluster.node("ed1").node().viewSynchronizer().isFresh());
        }
    }

    /** A disk that was lost before the founding says nothing of it, so its elector founds nothing alone. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void whoseDiskWasLostFoundsNothing(final long seed) {
        final SimCluster cluster = begun(seed);
        cluster.run(6000);
        final long before = founded(cluster);
        List.of("sh1", "sh2", "sh3").forEach(e -> cluster.loseDisk(e, 500));
        cluster.run(9000);
        ELECTORS.forEach(e -> assertFalse(cluster.node(e).node().acceptor().hasState(), e));
        assertEquals(before, founded(cluster));
    }

    /** It came back without a note of the first start, as one whose disk was lost: the other two never voted, so nothing was. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void oneThatEndsBeforeItsFirstNoteStopsNoFounding(final long seed) {
        final SimCluster cluster = begun(seed);
        cluster.run(350);
        final String gone = ELECTORS.get((int) seed % 3);
        cluster.loseDisk(gone, 400);
        cluster.run(9000);
        ELECTORS.forEach(e -> assertTrue(cluster.node(e).node().acceptor().hasState(), e + " beside " + gone));
        assertTrue(cluster.node("ed1").node().viewSynchronizer().isFresh());
    }
}
