package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.SimNode;

/** Keyed requests while keepers lose their disks one after the other, answers are late, and the voting set changes. */
class KeyedDayTest {
    private static Place place(final long seed) {
        return seed % 2 == 0 ? Place.coastlineShields() : Place.kilimanjaroShields();
    }

    private static Stream<Map<String, Object>> keyed(final SimCluster town, final long from, final long to) {
        return town.log().rows().stream()
                .filter(r -> "req".equals(r.get("log")) && r.get("key") != null)
                .filter(r -> ((Number) r.get("t")).longValue() >= from && ((Number) r.get("t")).longValue() < to);
    }

    private static double served(final SimCluster town, final long from, final long to) {
        final List<Map<String, Object>> all = keyed(town, from, to).toList();
        assertTrue(all.size() > 20, "keyed requests " + all.size());
        return (double) all.stream().filter(r -> "done".equals(r.get("fate"))).count() / all.size();
    }

    private static long keepBytes(final SimCluster town) {
        return town.net().kinds().entrySet().stream()
                .filter(e -> List.of("KeepRead", "Kept", "KeepSums", "KeptSums", "KeepCells", "KeptCells")
                        .contains(e.getKey()))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    private static void whole(final SimCluster town) {
        town.nodes().values().stream()
                .filter(n -> n.alive()
                        && n.node().elector() != null
                        && n.node().elector().votes())
                .forEach(n -> assertFalse(n.node().keeper().lapse(), n.id() + " has its records"));
    }

    private static void clean(final SimCluster town) {
        final Judge judge = new Judge(town.close());
        assertTrue(judge.clean(), judge.text(3));
    }

    /** The open incident: one disk, then another, then all power; the first must have ended its lapse long before. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void twoDisksOneAfterTheOtherThenAllPower(final long seed) {
        final SimCluster town = new SimCluster(place(seed), seed).open();
        town.run(6000);
        town.loseDisk("sh1", 1500);
        town.run(7000);
        whole(town);
        town.loseDisk("sh2", 1500);
        town.run(7000);
        whole(town);
        final long before = keepBytes(town);
        final long at = town.world().now();
        town.nodes().keySet().forEach(n -> town.power(n, 1000));
        town.world().in(1500, () -> town.trouble("returned", "", 0));
        town.run(20_000);
        whole(town);
        assertTrue(served(town, at + 12_000, at + 19_000) > 0.95, "served " + served(town, at + 12_000, at + 19_000));
        assertTrue(keepBytes(town) - before < 3_000_000, "bytes of readings " + (keepBytes(town) - before));
        clean(town);
    }

    /** The second disk goes with the power of all: one keeper has forgotten, and the others are read once a shard. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aDiskAndAllPowerAtOnceOverSlowWays(final long seed) {
        final SimCluster town = new SimCluster(place(seed), seed).open();
        town.run(5000);
        town.loseDisk("sh3", 1500);
        town.run(5000);
        final long before = keepBytes(town);
        final long at = town.world().now();
        town.nodes().keySet().forEach(n -> town.power(n, 1000));
        town.node("sh2").disk().lose();
        town.world().in(1500, () -> town.trouble("returned", "", 0));
        town.run(1200);
        town.trouble("slow", "", 9000);
        town.net().slow(700);
        town.run(9000);
        town.net().slow(0);
        town.run(9000);
        whole(town);
        assertTrue(served(town, at + 13_000, at + 18_000) > 0.95, "served " + served(town, at + 13_000, at + 18_000));
        assertTrue(keepBytes(town) - before < 3_000_000, "bytes of readings " + (keepBytes(town) - before));
        final long told = town.log().rows().stream()
                .filter(r -> Code.KEEP_SHORT.name().equals(r.get("name")) && r.get("read") != null)
                .filter(r -> ((Number) r.get("t")).longValue() > at)
                .count();
        assertTrue(told <= 4L * 32, "each holder tells of each shard once: " + told);
        clean(town);
    }

    /** Ways that are cut again and again while a keeper without memory copies the others' records. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aCopyGoesOnThroughCuts(final long seed) {
        final SimCluster town = new SimCluster(place(seed), seed).open();
        town.run(8000);
        town.loseDisk("sh1", 1200);
        for (int i = 0; i < 8; i++) {
            final String other = i % 2 == 0 ? "sh2" : "sh3";
            town.world().in(1300 + i * 500L, () -> {
                town.net().cut("sh1", other);
                town.world().in(400, () -> town.net().heal("sh1", other));
            });
        }
        town.run(9000);
        whole(town);
        clean(town);
    }

    /** A voter is lost for good, its place goes to a standby, then a second disk is lost: records stand all along. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void recordsAreHandedOverToTheNextSet(final long seed) {
        final SimCluster town = new SimCluster(place(seed), seed).open();
        town.run(5000);
        final long at = town.world().now();
        town.power("sh2", 0);
        town.run(9000);
        final List<String> voters = town.node("ed1").node().electorate().voters().stream()
                .map(NodeId::text)
                .toList();
        assertFalse(voters.contains("sh2"), "replaced " + voters);
        whole(town);
        final long most = town.nodes().values().stream()
                .filter(n -> voters.contains(n.id().text()))
                .mapToLong(n -> n.node().keeper().size())
                .max()
                .orElse(0);
        final SimNode young = town.nodes().values().stream()
                .filter(n ->
                        voters.contains(n.id().text()) && !List.of("sh1", "sh3").contains(n.id().text()))
                .findFirst()
                .orElseThrow();
        assertTrue(
                young.node().keeper().size() > most * 0.95,
                young.node().keeper().size() + " of " + most);
        town.loseDisk("sh1", 1500);
        town.run(9000);
        assertTrue(served(town, at + 12_000, at + 17_000) > 0.9, "served " + served(town, at + 12_000, at + 17_000));
        assertEquals(
                0,
                town.nodes().values().stream()
                        .filter(n -> n.alive()
                                && n.node().keeper() != null
                                && n.node().keeper().lapse()
                                && n.node().elector().votes())
                        .count());
        clean(town);
    }
}
