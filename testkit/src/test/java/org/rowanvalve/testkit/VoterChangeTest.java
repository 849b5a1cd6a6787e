package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.SimNode;

/** Voters that are lost, wiped or leaving are replaced by standbys, so that the next loss finds a majority again. */
class VoterChangeTest {
    private static Place place(final long seed) {
        return seed % 2 == 0 ? Place.coastlineShields() : Place.kilimanjaroShields();
    }

    private static SimCluster begun(final Place place, final long seed) {
        final SimCluster town = new SimCluster(place, seed).open();
        town.run(3000);
        return town;
    }

    /** The voters by the word of all living nodes that have a confirmed frame; they must not differ. */
    private static Set<String> voters(final SimCluster town) {
        final Set<Set<String>> all = town.nodes().values().stream()
                .filter(n -> n.alive() && n.node().sync().fresh())
                .map(n -> n.node().electorate().voters().stream()
                        .map(NodeId::text)
                        .collect(Collectors.toCollection(TreeSet::new)))
                .collect(Collectors.toSet());
        assertEquals(1, all.size(), all.toString());
        return all.iterator().next();
    }

    private static long epoch(final SimCluster town) {
        return town.nodes().values().stream()
                .filter(SimNode::alive)
                .mapToLong(n -> n.node().electorate().epoch())
                .max()
                .orElse(0);
    }

    private static List<Map<String, Object>> events(final SimCluster town, final Code code) {
        return town.log().rows().stream()
                .filter(r -> code.name().equals(r.get("name")))
                .toList();
    }

    /** Every voter that is named votes, every living node goes by a confirmed frame, and no rule is broken. */
    private static void whole(final SimCluster town) {
        voters(town).forEach(v -> assertTrue(town.node(v).node().elector().votes(), v + " votes"));
        town.nodes().values().stream()
                .filter(SimNode::alive)
                .forEach(n -> assertTrue(n.node().sync().fresh(), n.id() + " fresh"));
        final Judge judge = new Judge(town.close());
        assertTrue(judge.clean(), judge.text(3));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aVoterThatIsLostIsReplacedBeforeTheNextOneIsLost(final long seed) {
        final SimCluster town = begun(place(seed), seed);
        final String first = seed < 3 ? "sh2" : town.boss();
        town.power(first, 0);
        town.run(9000);
        assertEquals(1, epoch(town));
        assertFalse(voters(town).contains(first));
        final String second = voters(town).iterator().next();
        town.loseDisk(second, 3000);
        town.run(2000);
        assertTrue(town.node("ed1").node().sync().fresh(), "two of the new three are left");
        town.run(10_000);
        whole(town);
    }

    /** It leaves in order: the standby votes before the process has ended. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aVoterThatLeavesHandsItsVoteOver(final long seed) {
        final SimCluster town = begun(place(seed), seed);
        final String gone = seed < 3 ? "sh1" : town.boss();
        town.restart(gone, 60_000);
        town.run(8500);
        assertFalse(town.node(gone).alive());
        assertEquals(1, events(town, Code.VOTE_HANDED).size());
        assertEquals(0, events(town, Code.VOTE_KEPT).size());
        assertFalse(voters(town).contains(gone));
        whole(town);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void threeReplacementsInARowLeaveNoneOfTheFirstThree(final long seed) {
        final SimCluster town = new SimCluster(Place.larger(place(seed), 6), seed, 1).open();
        town.run(3000);
        for (int i = 0; i < 3 && voters(town).stream().anyMatch(v -> v.compareTo("sh4") < 0); i++) {
            final String old = voters(town).iterator().next();
            town.power(old, 0);
            town.run(9000);
            assertFalse(voters(town).contains(old));
        }
        assertTrue(voters(town).stream().allMatch(v -> v.compareTo("sh4") >= 0));
        assertTrue(epoch(town) >= 3);
        town.node("ed2").kill();
        town.node("ed2").seeds(voters(town).stream().map(NodeId::of).toList());
        town.start("ed2");
        town.run(4000);
        assertTrue(town.node("ed2").node().sync().fresh(), "finds the present voters by its new seeds");
        whole(town);
    }

    /** Stops where a change of voters has been proposed, and {@code more} later. */
    private static void runIntoAChange(final SimCluster town, final long more) {
        for (int i = 0; i < 400 && events(town, Code.VOTERS_PROPOSED).isEmpty(); i++) {
            town.run(20);
        }
        assertEquals(1, events(town, Code.VOTERS_PROPOSED).size());
        town.run(more);
    }

    /** The leaving voter stays until the others have read it, so one more that is wiped loses nothing. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aVoterWipedDuringAHandoverIsRebuilt(final long seed) {
        final SimCluster town = begun(place(seed), seed);
        town.restart("sh1", 60_000);
        runIntoAChange(town, 15 * seed);
        town.loseDisk("sh2", 500);
        town.run(12_000);
        whole(town);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void allShieldsWithoutPowerDuringAChangeComeBackAsOneSet(final long seed) {
        final SimCluster town = begun(place(seed), seed);
        town.power("sh2", 0);
        runIntoAChange(town, 20 * seed);
        for (final String shield : List.of("sh1", "sh3", "sh4")) {
            town.power(shield, 1000 + 100 * seed);
        }
        town.run(3000);
        town.start("sh2");
        town.run(12_000);
        whole(town);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void fiveVotersBearTheLossOfTwoAtOnce(final long seed) {
        final SimCluster town = new SimCluster(Place.larger(place(seed), 6), seed).open();
        town.run(10_000);
        assertEquals(5, voters(town).size());
        final List<String> lost = List.copyOf(voters(town)).subList(0, 2);
        lost.forEach(v -> town.power(v, 0));
        town.run(5000);
        assertTrue(town.node("ed1").node().sync().fresh(), "three of five are left");
        lost.forEach(town::start);
        town.run(12_000);
        assertEquals(5, voters(town).size());
        whole(town);
    }
}
