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

/**
 * Voters that fail, lose their disk or leave are replaced by standbys, so that a majority survives the next failure.
 */
class VotingChangeTest {
    private static SimCluster startedCluster(final Deployment deployment, final long seed) {
        final SimCluster cluster = new SimCluster(deployment, seed).open();
        cluster.run(3000);
        return cluster;
    }

    /** The voting set according to all live nodes with a fresh view; checks that these nodes agree. */
    private static Set<String> voters(final SimCluster cluster) {
        final Set<Set<String>> votingSets = cluster.nodes().values().stream()
                .filter(node -> node.alive() && node.node().viewSynchronizer().isFresh())
                .map(node -> node.node().votingConfiguration().voters().stream()
                        .map(NodeId::text)
                        .collect(Collectors.toCollection(TreeSet::new)))
                .collect(Collectors.toSet());
        assertEquals(1, votingSets.size(), votingSets.toString());
        return votingSets.iterator().next();
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
                .filter(row -> code.name().equals(row.get("name")))
                .toList();
    }

    /** Checks that every voter votes, every live node has a fresh view, and the judge finds no violation. */
    private static void assertHealthy(final SimCluster cluster) {
        voters(cluster)
                .forEach(v -> assertTrue(cluster.node(v).node().acceptor().isVoting(), v + " does not vote"));
        cluster.nodes().values().stream()
                .filter(SimNode::alive)
                .forEach(
                        node -> assertTrue(node.node().viewSynchronizer().isFresh(), node.id() + " has no fresh view"));
        final Judge judge = new Judge(cluster.close());
        assertTrue(judge.clean(), judge.text(3));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aFailedVoterIsReplacedBeforeTheNextFailure(final long seed) {
        final SimCluster cluster = startedCluster(ShieldNetworks.deployment(seed), seed);
        final String first = seed < 3 ? "sh2" : cluster.boss();
        cluster.power(first, 0);
        cluster.run(9000);
        assertEquals(1, epoch(cluster));
        assertFalse(voters(cluster).contains(first));
        final String second = voters(cluster).iterator().next();
        cluster.loseDisk(second, 3000);
        cluster.run(2000);
        assertTrue(cluster.node("ed1").node().viewSynchronizer().isFresh(), "two of the three new voters are left");
        cluster.run(10_000);
        assertHealthy(cluster);
    }

    /** A voter that shuts down is replaced by a standby before its process ends. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aLeavingVoterIsReplacedBeforeItsProcessEnds(final long seed) {
        final SimCluster cluster = startedCluster(ShieldNetworks.deployment(seed), seed);
        final String leaving = seed < 3 ? "sh1" : cluster.boss();
        cluster.restart(leaving, 60_000);
        cluster.run(8500);
        assertFalse(cluster.node(leaving).alive());
        assertEquals(1, events(cluster, EventCode.VOTE_HANDED).size());
        assertEquals(0, events(cluster, EventCode.VOTE_KEPT).size());
        assertFalse(voters(cluster).contains(leaving));
        assertHealthy(cluster);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void threeSuccessiveReplacementsRemoveAllFoundingVoters(final long seed) {
        final SimCluster cluster =
                new SimCluster(Deployment.larger(ShieldNetworks.deployment(seed), 6), seed, 1).open();
        cluster.run(3000);
        for (int i = 0; i < 3 && voters(cluster).stream().anyMatch(v -> v.compareTo("sh4") < 0); i++) {
            final String replaced = voters(cluster).iterator().next();
            cluster.power(replaced, 0);
            cluster.run(9000);
            assertFalse(voters(cluster).contains(replaced));
        }
        assertTrue(voters(cluster).stream().allMatch(v -> v.compareTo("sh4") >= 0));
        assertTrue(epoch(cluster) >= 3);
        cluster.node("ed2").kill();
        cluster.node("ed2").seeds(voters(cluster).stream().map(NodeId::of).toList());
        cluster.start("ed2");
        cluster.run(4000);
        assertTrue(
                cluster.node("ed2").node().viewSynchronizer().isFresh(),
                "finds the present voters through its new seeds");
        assertHealthy(cluster);
    }

    /** Runs until a change of the voting set has been proposed, and {@code extraMs} longer. */
    private static void runUntilChangeProposed(final SimCluster cluster, final long extraMs) {
        for (int i = 0; i < 400 && events(cluster, EventCode.VOTERS_PROPOSED).isEmpty(); i++) {
            cluster.run(20);
        }
        assertEquals(1, events(cluster, EventCode.VOTERS_PROPOSED).size());
        cluster.run(extraMs);
    }

    /**
     * Guards against data loss if another voter loses its disk during the change: the leaving voter stays until the new
     * voting set has read its state.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aVoterThatLosesItsDiskDuringAHandoverIsRebuilt(final long seed) {
        final SimCluster cluster = startedCluster(ShieldNetworks.deployment(seed), seed);
        cluster.restart("sh1", 60_000);
        runUntilChangeProposed(cluster, 15 * seed);
        cluster.loseDisk("sh2", 500);
        cluster.run(12_000);
        assertHealthy(cluster);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aPowerFailureOfAllShieldsDuringAChangeLeavesOneVotingSet(final long seed) {
        final SimCluster cluster = startedCluster(ShieldNetworks.deployment(seed), seed);
        cluster.power("sh2", 0);
        runUntilChangeProposed(cluster, 20 * seed);
        for (final String shield : List.of("sh1", "sh3", "sh4")) {
            cluster.power(shield, 1000 + 100 * seed);
        }
        cluster.run(3000);
        cluster.start("sh2");
        cluster.run(12_000);
        assertHealthy(cluster);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void fiveVotersTolerateTwoSimultaneousFailures(final long seed) {
        final SimCluster cluster = new SimCluster(Deployment.larger(ShieldNetworks.deployment(seed), 6), seed).open();
        cluster.run(10_000);
        assertEquals(5, voters(cluster).size());
        final List<String> lost = List.copyOf(voters(cluster)).subList(0, 2);
        lost.forEach(v -> cluster.power(v, 0));
        cluster.run(5000);
        assertTrue(cluster.node("ed1").node().viewSynchronizer().isFresh(), "three of five voters are left");
        lost.forEach(cluster::start);
        cluster.run(12_000);
        assertEquals(5, voters(cluster).size());
        assertHealthy(cluster);
    }
}
