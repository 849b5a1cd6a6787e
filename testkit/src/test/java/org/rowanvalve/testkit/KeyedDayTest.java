package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.SimNode;

/** Keyed requests while keepers lose their disks one after the other, answers are late, and the voting set changes. */
class KeyedDayTest {
    private static Stream<Map<String, Object>> keyed(final SimCluster cluster, final long from, final long to) {
        return cluster.log().rows().stream()
                .filter(r -> "req".equals(r.get("log")) && r.get("key") != null)
                .filter(r -> ((Number) r.get("t")).longValue() >= from && ((Number) r.get("t")).longValue() < to);
    }

    private static double served(final SimCluster cluster, final long from, final long to) {
        final List<Map<String, Object>> all = keyed(cluster, from, to).toList();
        assertTrue(all.size() > 20, "keyed requests " + all.size());
        return (double) all.stream().filter(r -> "done".equals(r.get("fate"))).count() / all.size();
    }

    private static long keepBytes(final SimCluster cluster) {
        return cluster.net().kinds().entrySet().stream()
                .filter(entry -> List.of(
                                "RecordReadRequest",
                                "RecordReadResponse",
                                "RecordChecksumsRequest",
                                "RecordChecksumsResponse",
                                "RecordPageRequest",
                                "RecordPageResponse")
                        .contains(entry.getKey()))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    private static void whole(final SimCluster cluster) {
        cluster.nodes().values().stream()
                .filter(node -> node.alive()
                        && node.node().settings().mayVote()
                        && node.node().acceptor().isVoting())
                .forEach(
                        node -> assertFalse(node.node().keyedRecords().isIncomplete(), node.id() + " has its records"));
    }

    private static void clean(final SimCluster cluster) {
        final Judge judge = new Judge(cluster.close());
        assertTrue(judge.clean(), judge.text(3));
    }

    /** The open incident: one disk, then another, then all power; the first must have ended its lapse long before. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void twoDisksOneAfterTheOtherThenAllPower(final long seed) {
        final SimCluster cluster = new SimCluster(ShieldNetworks.deployment(seed), seed).open();
        cluster.run(6000);
        cluster.loseDisk("sh1", 1500);
        cluster.run(7000);
        whole(cluster);
        cluster.loseDisk("sh2", 1500);
        cluster.run(7000);
        whole(cluster);
        final long before = keepBytes(cluster);
        final long at = cluster.world().now();
        cluster.nodes().keySet().forEach(n -> cluster.power(n, 1000));
        cluster.world().in(1500, () -> cluster.trouble("returned", "", 0));
        cluster.run(20_000);
        whole(cluster);
        assertTrue(
                served(cluster, at + 12_000, at + 19_000) > 0.95,
                "served " + served(cluster, at + 12_000, at + 19_000));
        assertTrue(keepBytes(cluster) - before < 3_000_000, "bytes of readings " + (keepBytes(cluster) - before));
        clean(cluster);
    }

    /** The second disk goes with the power of all: one keeper has forgotten, and the others are read once a shard. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aDiskAndAllPowerAtOnceOverSlowWays(final long seed) {
        final SimCluster cluster = new SimCluster(ShieldNetworks.deployment(seed), seed).open();
        cluster.run(5000);
        cluster.loseDisk("sh3", 1500);
        cluster.run(5000);
        final long before = keepBytes(cluster);
        final long at = cluster.world().now();
        cluster.nodes().keySet().forEach(n -> cluster.power(n, 1000));
        cluster.node("sh2").disk().lose();
        cluster.world().in(1500, () -> cluster.trouble("returned", "", 0));
        cluster.run(1200);
        cluster.trouble("slow", "", 9000);
        cluster.net().slow(700);
        cluster.run(9000);
        cluster.net().slow(0);
        cluster.run(9000);
        whole(cluster);
        assertTrue(
                served(cluster, at + 13_000, at + 18_000) > 0.95,
                "served " + served(cluster, at + 13_000, at + 18_000));
        assertTrue(keepBytes(cluster) - before < 3_000_000, "bytes of readings " + (keepBytes(cluster) - before));
        final long told = cluster.log().rows().stream()
                .filter(r -> EventCode.KEEP_SHORT.name().equals(r.get("name")) && r.get("read") != null)
                .filter(r -> ((Number) r.get("t")).longValue() > at)
                .count();
        assertTrue(told <= 4L * 32, "each holder tells of each shard once: " + told);
        clean(cluster);
    }

    /** Ways that are cut again and again while a keeper without memory copies the others' records. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aCopyGoesOnThroughCuts(final long seed) {
        final SimCluster cluster = new SimCluster(ShieldNetworks.deployment(seed), seed).open();
        cluster.run(8000);
        cluster.loseDisk("sh1", 1200);
        for (int i = 0; i < 8; i++) {
            final String other = i % 2 == 0 ? "sh2" : "sh3";
            cluster.world().in(1300 + i * 500L, () -> {
                cluster.net().cut("sh1", other);
                cluster.world().in(400, () -> cluster.net().heal("sh1", other));
            });
        }
        cluster.run(9000);
        whole(cluster);
        clean(cluster);
    }

    /** A voter is lost for good, its place goes to a standby, then a second disk is lost: records stand all along. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void recordsAreHandedOverToTheNextSet(final long seed) {
        final SimCluster cluster = new SimCluster(ShieldNetworks.deployment(seed), seed).open();
        cluster.run(5000);
        final long at = cluster.world().now();
        cluster.power("sh2", 0);
        cluster.run(9000);
        final List<String> voters = cluster.node("ed1").node().votingConfiguration().voters().stream()
                .map(NodeId::text)
                .toList();
        assertFalse(voters.contains("sh2"), "replaced " + voters);
        whole(cluster);
        final long most = cluster.nodes().values().stream()
                .filter(node -> voters.contains(node.id().text()))
                .mapToLong(node -> node.node().keyedRecords().size())
                .max()
                .orElse(0);
        final SimNode young = cluster.nodes().values().stream()
                .filter(node -> voters.contains(node.id().text())
                        && !List.of("sh1", "sh3").contains(node.id().text()))
                .findFirst()
                .orElseThrow();
        assertTrue(
                young.node().keyedRecords().size() > most * 0.95,
                young.node().keyedRecords().size() + " of " + most);
        cluster.loseDisk("sh1", 1500);
        cluster.run(9000);
        assertTrue(
                served(cluster, at + 12_000, at + 17_000) > 0.9, "served " + served(cluster, at + 12_000, at + 17_000));
        assertEquals(
                0,
                cluster.nodes().values().stream()
                        .filter(node -> node.alive()
                                && node.node().settings().mayVote()
                                && node.node().keyedRecords().isIncomplete()
                                && node.node().acceptor().isVoting())
                        .count());
        clean(cluster);
    }
}
