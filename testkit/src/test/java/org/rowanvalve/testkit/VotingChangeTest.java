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
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.SimNode;

/** Voters that are lost, wiped or leaving are replaced by standbys, so that the next loss finds a majority again. */
class VotingChangeTest {
    private static SimCluster begun(final Deployment deployment, final long seed) {
        final SimCluster cluster = new SimCluster(deployment, seed).open();
        cluster.run(3000);
        return cluster;
    }

    /** The voters by the word of all living nodes that have a confirmed frame; they must not differ. */
    private static Set<String> voters(final SimCluster cluster) {
        final Set<Set<String>> all = cluster.nodes().values().stream()
                .filter(node -> node.alive() && node.node().viewSynchronizer().isFresh())
                .map(node -> node.node().votingConfiguration().voters().stream()
                        .map(NodeId::text)
                        .collect(Collectors.toCollection(TreeSet::new)))
                .collect(Collectors.toSet());
        assertEquals(1, all.size(), all.toString());
        return all.iterator().next();
    }

    private static long epoch(final SimCluster cluster) {
        return cluster.nodes().values().stream()
                .filter(SimNode::alive)
                .mapToLong(node -> node.node().votingConfiguration().epoch())
                .max()
                .orElse(0);
    }

    private static List<Map<String, Object>> events(final SimCluster cluster, final EventCode code) {
        return cluster.log().rows().stream()
                .filter(r -> code.name().equals(r.get("name")))
                .toList();
    }

    /** Every voter that is named votes, every living node goes by a confirmed frame, and no rule is broken. */
    private static void whole(final SimCluster cluster) {
        voters(cluster)
                .forEach(v -> assertTrue(cluster.node(v).node().acceptor().isVoting(), v + " votes"));
        cluster.nodes().values().stream()
                .filter(SimNode::alive)
                .forEach(node -> assertTrue(node.node().viewSynchronizer().isFresh(), node.id() + " fresh"));
        final Judge judge = new Judge(cluster.close());
        assertTrue(judge.clean(), judge.text(3));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aVoterThatIsLostIsReplacedBeforeTheNextOneIsLost(final long seed) {
        final SimCluster cluster = begun(ShieldNetworks.deployment(seed), seed);
        final String first = seed < 3 ? "sh2" : cluster.boss();
        cluster.power(first, 0);
        cluster.run(9000);
        assertEquals(1, epoch(cluster));
        assertFalse(voters(cluster).contains(first));
        final String second = voters(cluster).iterator().next();
        cluster.loseDisk(second, 3000);
        cluster.run(2000);
        assertTrue(cluster.node("ed1").node().viewSynchronizer().isFresh(), "two of the new three are left");
        cluster.run(10_000);
        whole(cluster);
    }

    /** It leaves in order: the standby votes before the process has ended. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aVoterThatLeavesHandsItsVoteOver(final long seed) {
        final SimCluster cluster = begun(ShieldNetworks.deployment(seed), seed);
        final String gone = seed < 3 ? "sh1" : cluster.boss();
        cluster.restart(gone, 60_000);
        cluster.run(8500);
        assertFalse(cluster.node(gone).alive());
        assertEquals(1, events(cluster, EventCode.VOTE_HANDED).size());
        assertEquals(0, events(cluster, EventCode.VOTE_KEPT).size());
        assertFalse(voters(cluster).contains(gone));
        whole(cluster);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void threeReplacementsInARowLeaveNoneOfTheFirstThree(final long seed) {
        final SimCluster cluster =
                new SimCluster(Deployment.larger(ShieldNetworks.deployment(seed), 6), seed, 1).open();
        cluster.run(3000);
        for (int i = 0; i < 3 && voters(cluster).stream().anyMatch(v -> v.compareTo("sh4") < 0); i++) {
            final String old = voters(cluster).iterator().next();
            cluster.power(old, 0);
            cluster.run(9000);
            assertFalse(voters(cluster).contains(old));
        }
        assertTrue(voters(cluster).stream().allMatch(v -> v.compareTo("sh4") >= 0));
        assertTrue(epoch(cluster) >= 3);
        cluster.node("ed2").kill();
        cluster.node("ed2").seeds(voters(cluster).stream().map(NodeId::of).toList());
        cluster.start("ed2");
        cluster.run(4000);
        assertTrue(
                cluster.node("ed2").node().viewSynchronizer().isFresh(), "finds the present voters by its new seeds");
        whole(cluster);
    }

    /** Stops where a change of voters has been proposed, and {@code more} later. */
    private static void runIntoAChange(final SimCluster cluster, final long more) {
        for (int i = 0; i < 400 && events(cluster, EventCode.VOTERS_PROPOSED).isEmpty(); i++) {
            cluster.run(20);
        }
        assertEquals(1, events(cluster, EventCode.VOTERS_PROPOSED).size());
        cluster.run(more);
    }

    /** The leaving voter stays until the others have read it, so one more that is wiped loses nothing. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aVoterWipedDuringAHandoverIsRebuilt(final long seed) {
        final SimCluster cluster = begun(ShieldNetworks.deployment(seed), seed);
        cluster.restart("sh1", 60_000);
        runIntoAChange(cluster, 15 * seed);
        cluster.loseDisk("sh2", 500);
        cluster.run(12_000);
        whole(cluster);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void allShieldsWithoutPowerDuringAChangeComeBackAsOneSet(final long seed) {
        final SimCluster cluster = begun(ShieldNetworks.deployment(seed), seed);
        cluster.power("sh2", 0);
        runIntoAChange(cluster, 20 * seed);
        for (final String shield : List.of("sh1", "sh3", "sh4")) {
            cluster.power(shield, 1000 + 100 * seed);
        }
        cluster.run(3000);
        cluster.start("sh2");
        cluster.run(12_000);
        whole(cluster);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void fiveVotersBearTheLossOfTwoAtOnce(final long seed) {
        final SimCluster cluster = new SimCluster(Deployment.larger(ShieldNetworks.deployment(seed), 6), seed).open();
        cluster.run(10_000);
        assertEquals(5, voters(cluster).size());
        final List<String> lost = List.copyOf(voters(cluster)).subList(0, 2);
        lost.forEach(v -> cluster.power(v, 0));
        cluster.run(5000);
        assertTrue(cluster.node("ed1").node().viewSynchronizer().isFresh(), "three of five are left");
        lost.forEach(cluster::start);
        cluster.run(12_000);
        assertEquals(5, voters(cluster).size());
        whole(cluster);
    }
}
