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
        final SimCluster town =
                new SimCluster(seed % 2 == 0 ? Place.coastlineShields() : Place.kilimanjaroShields(), seed);
        town.nodes().values().forEach(n -> town.world().in(town.world().dice().nextInt(300), n::start));
        return town;
    }

    private static long founded(final SimCluster town) {
        return town.log().rows().stream()
                .filter(r -> "FOUNDED".equals(r.get("name")))
                .count();
    }

    /** A process that ends before or in the midst of the founding starts again as one of a network that began before. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void electorsThatEndDuringTheFoundingTakePartInIt(final int many) {
        for (long at = 400; at <= 2600; at += 100) {
            final SimCluster town = begun(at / 100);
            town.run(at);
            for (int i = 0; i < many; i++) {
                town.kill(ELECTORS.get((int) (at / 100 + i) % 3), 300 + 200 * i);
            }
            town.run(8000);
            for (final String e : ELECTORS) {
                assertTrue(town.node(e).node().elector().full(), e + " of " + many + " that ended at " + at);
                assertFalse(town.node(e).node().keeper().lapse(), e);
            }
            assertTrue(town.node("ed1").node().sync().fresh());
        }
    }

    /** A disk that was lost before the founding says nothing of it, so its elector founds nothing alone. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void whoseDiskWasLostFoundsNothing(final long seed) {
        final SimCluster town = begun(seed);
        town.run(6000);
        final long before = founded(town);
        List.of("sh1", "sh2", "sh3").forEach(e -> town.loseDisk(e, 500));
        town.run(9000);
        ELECTORS.forEach(e -> assertFalse(town.node(e).node().elector().full(), e));
        assertEquals(before, founded(town));
    }

    /** It came back without a note of the first start, as one whose disk was lost: the other two never voted, so nothing was. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void oneThatEndsBeforeItsFirstNoteStopsNoFounding(final long seed) {
        final SimCluster town = begun(seed);
        town.run(350);
        final String gone = ELECTORS.get((int) seed % 3);
        town.loseDisk(gone, 400);
        town.run(9000);
        ELECTORS.forEach(e -> assertTrue(town.node(e).node().elector().full(), e + " beside " + gone));
        assertTrue(town.node("ed1").node().sync().fresh());
    }
}
