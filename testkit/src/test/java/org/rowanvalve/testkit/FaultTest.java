package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.control.ApiResult;
import org.rowanvalve.control.Json;
import org.rowanvalve.control.Plan;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.SimNode;

/** Single troubles brought about at the worst moment. */
class FaultTest {
    private static final ItemId ROUTE = new ItemId(Kind.ROUTE, "extra");

    private static String body(final long life) {
        return Json.text(Log.row("prefix", "/extra/", "service", "listing", "mode", "cached", "lifetimeMs", life));
    }

    private static long ver(final SimCluster town, final String node, final ItemId id) {
        return town.node(node).node().held().get(id).ver().n();
    }

    private static List<Map<String, Object>> named(final SimCluster town, final String name) {
        return town.log().rows().stream()
                .filter(r -> name.equals(r.get("name")))
                .toList();
    }

    /** Plans that gave shards away; others only changed weights. */
    private static java.util.stream.Stream<Map<String, Object>> moves(final SimCluster town) {
        return named(town, "PLAN_SET").stream().filter(r -> num(r, "moves") > 0);
    }

    private static long num(final Map<String, Object> r, final String name) {
        return ((Number) r.get(name)).longValue();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void anAcceptedWriteOutlivesAStoresPowerOrDiskLostRightAfterTheAnswer(final long seed) {
        final SimCluster town = new SimCluster(Place.coastline(), seed).open();
        final String victim = seed % 2 == 0 ? "st1" : "st2";
        final List<ApiResult> said = new ArrayList<>();
        town.node("ed1")
                .post(() -> town.node("ed1")
                        .node()
                        .clerk()
                        .put(ROUTE, body(1000 + seed).getBytes(), 0, "w", s -> {
                            said.add(s);
                            if (seed <= 3) {
                                town.kill(victim, 1500);
                            } else {
                                town.loseDisk(victim, 1500);
                            }
                        }));
        town.run(8000);
        assertEquals(200, said.get(0).status());
        town.nodes().keySet().forEach(n -> assertEquals(1, ver(town, n, ROUTE), n));
        assertTrue(town.node(victim).node().elector().full());
        town.nodes().values().stream()
                .filter(n -> !n.id().text().equals(victim) && n.id().text().startsWith("st"))
                .forEach(SimNode::kill);
        town.run(3000);
        final List<ApiResult> next = new ArrayList<>();
        town.node("ed2").post(() -> town.node("ed2").node().clerk().put(ROUTE, body(7).getBytes(), 1, "w2", next::add));
        town.run(3000);
        assertEquals(200, next.get(0).status(), "the rebuilt store votes, and knows version 1");
    }

    @Test
    void anElectorWithoutMemoryDoesNotVoteUntilAMajorityOfTheOthersWasRead() {
        final SimCluster town = new SimCluster(Place.coastline(), 5).open();
        town.node("st2").kill();
        town.loseDisk("st1", 500);
        town.run(9000);
        assertFalse(town.node("st1").node().elector().full(), "only sh1 could be read");
        assertEquals("sh1", town.node("sh1").id().text());
        town.start("st2");
        town.run(2000);
        assertTrue(town.node("st1").node().elector().full());
    }

    @Test
    void anOperatorMayVouchForOneElectorWhenBothStoresDisksAreGone() {
        final SimCluster town = new SimCluster(Place.coastline(), 5).open();
        town.loseDisk("st1", 500);
        town.loseDisk("st2", 500);
        town.run(5000);
        assertFalse(town.node("st1").node().elector().full());
        assertFalse(town.node("st2").node().elector().full());
        for (final String n : List.of("st1", "st2")) {
            town.node(n).post(() -> town.node(n).node().elector().vouch(NodeId.of("sh1"), ok -> assertTrue(ok)));
        }
        town.run(8000);
        assertTrue(town.node("ed1").node().sync().fresh());
        assertTrue(town.node("sh3").node().holder().count() > 0);
    }

    @Test
    void blankElectorsAmongNodesThatHoldItemsFoundNothing() {
        final SimCluster town = new SimCluster(Place.coastline(), 6).open();
        final long before = ver(town, "ed1", new ItemId(Kind.ROUTE, "listing"));
        assertTrue(before > 0);
        List.of("st1", "st2", "sh1").forEach(n -> {
            town.node(n).kill();
            town.node(n).disk().lose();
        });
        town.run(500);
        List.of("st1", "st2", "sh1").forEach(town::start);
        town.run(10_000);
        List.of("st1", "st2", "sh1")
                .forEach(n -> assertFalse(town.node(n).node().elector().full(), n));
        assertTrue(ver(town, "ed1", new ItemId(Kind.ROUTE, "listing")) >= before);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void ofManyWritersAtOnceEachVersionHasOne(final long seed) {
        final SimCluster town = new SimCluster(Place.coastline(), seed).open();
        town.net().loss(0.05);
        final Set<Long> won = new TreeSet<>();
        final Set<String> twice = new HashSet<>();
        final int[] ends = new int[4];
        final long[] standing = {0};
        for (int round = 0; round < 6; round++) {
            for (final String n : List.of("ed1", "ed2", "sh2", "st1", "ed5")) {
                final String tag = n + "-" + round;
                final long expect = standing[0];
                town.node(n)
                        .post(() -> town.node(n)
                                .node()
                                .clerk()
                                .put(ROUTE, body(1000 + tag.hashCode() % 500).getBytes(), expect, tag, s -> {
                                    if (s.body().get("version") instanceof Number v) {
                                        standing[0] = Math.max(standing[0], v.longValue());
                                    }
                                    ends[s.status() == 200 ? 0 : s.status() == 409 ? 1 : 2]++;
                                    if (s.status() == 200
                                            && !won.add(((Number) s.body().get("version")).longValue())) {
                                        twice.add(tag);
                                    }
                                }));
            }
            town.run(4000);
        }
        assertEquals(Set.of(), twice, "a version was given to two writers");
        assertTrue(won.size() >= 5, won.toString());
        assertTrue(ends[1] >= 12, "losers hear 409, " + ends[1]);
        final long top = won.stream().mapToLong(Long::longValue).max().orElseThrow();
        town.nodes().keySet().forEach(n -> assertTrue(ver(town, n, ROUTE) >= top, n));
    }

    @Test
    void aRepeatedWriteIsAnsweredLikeTheFirst() {
        final SimCluster town = new SimCluster(Place.coastline(), 3).open();
        final List<ApiResult> said = new ArrayList<>();
        for (final String n : List.of("ed1", "ed4")) {
            town.node(n)
                    .post(() ->
                            town.node(n).node().clerk().put(ROUTE, body(1234).getBytes(), 0, "same", said::add));
            town.run(1000);
        }
        assertEquals(List.of(200, 200), said.stream().map(ApiResult::status).toList());
        assertEquals(said.get(0).body().get("version"), said.get(1).body().get("version"));
    }

    /** A shield dies: its shards get a new holder, but not before the last grant's D + 2M is over. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aDeadHoldersShardsWaitForTheGate(final long seed) {
        final SimCluster town = new SimCluster(Place.kilimanjaro(), seed).open();
        final Plan before = town.node("ed1").node().view().plan();
        final long died = town.world().now();
        town.kill("sh2", 0);
        town.run(12_000);
        final Plan after = town.node("ed1").node().view().plan();
        int moved = 0;
        for (int i = 0; i < before.parts().size(); i++) {
            if (before.parts().get(i).owner().equals("sh2")) {
                moved++;
                assertFalse(after.parts().get(i).owner().equals("sh2"));
                assertTrue(
                        before.parts().get(i).token().below(after.parts().get(i).token()));
            }
        }
        assertTrue(moved > 0);
        final long set = moves(town)
                .mapToLong(r -> num(r, "t"))
                .filter(t -> t > died)
                .min()
                .orElseThrow();
        assertTrue(set >= died - 1000 + 5000, "regranted " + (set - died) + " ms after the death");
        assertTrue(set <= died + 5300, "regranted only " + (set - died) + " ms after the death");
    }

    /** A shield that leaves stays until its stop was heard: its shards have the next owner, without the gate. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aLeavingShieldEndsOnlyOnceThePlanNoLongerNamesIt(final long seed) {
        final SimCluster town = new SimCluster(Place.kilimanjaro(), seed).open();
        final long from = town.world().now();
        town.restart("sh4", 4000);
        town.run(2500);
        final long stopped = named(town, "STOPPED").stream()
                .mapToLong(r -> num(r, "t"))
                .findFirst()
                .orElseThrow();
        final long set = moves(town)
                .mapToLong(r -> num(r, "t"))
                .filter(t -> t > from)
                .findFirst()
                .orElseThrow();
        assertTrue(set <= stopped, "plan at " + set + ", stopped at " + stopped);
        assertTrue(town.node("ed1").node().view().plan().parts().stream()
                .noneMatch(p -> p.owner().equals("sh4")));
    }

    /** A holder that is cut off with the origins in reach stops by itself before the next one starts. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aHolderCutOffStopsBeforeTheNextOneStarts(final long seed) {
        final SimCluster town = new SimCluster(Place.kilimanjaro(), seed).open();
        town.run(2000);
        final long from = town.world().now();
        town.cut(List.of("sh3", "ed1", "ed2"), 9000);
        town.run(15_000);
        final Judge judge = new Judge(town.close());
        assertTrue(judge.clean(), judge.text(3));
        assertTrue(named(town, "FENCED").stream()
                .anyMatch(r -> "sh3".equals(r.get("node")) && num(r, "t") <= from + 3000));
        assertTrue(moves(town).anyMatch(r -> num(r, "t") > from && num(r, "t") < from + 7000));
    }

    /** The authority dies: holders go on with the same tokens under the next one. */
    @Test
    void theNextAuthorityGoesOnWithTheTokensHoldersReport() {
        final SimCluster town = new SimCluster(Place.kilimanjaro(), 2).open();
        final Plan before = town.node("ed1").node().view().plan();
        final String boss = town.boss();
        town.kill(boss, 0);
        town.run(9000);
        assertFalse(town.boss().isEmpty());
        assertFalse(town.boss().equals(boss));
        final Plan after = town.node("ed1").node().view().plan();
        assertEquals(before.parts(), after.parts());
        assertTrue(after.term() > before.term(), "the plan is restated, so that a late write of the old term is void");
        assertTrue(town.node("sh1").node().holder().count() > 0);
    }

    @Test
    void aFreezeAcrossValidityEndsTheRightBeforeAnythingIsSent() {
        final SimCluster town = new SimCluster(Place.kilimanjaro(), 4).open();
        town.run(1000);
        town.freeze("sh2", 7000);
        town.run(16_000);
        final Judge judge = new Judge(town.close());
        assertTrue(judge.clean(), judge.text(3));
        assertTrue(named(town, "WOKE").stream().anyMatch(r -> "sh2".equals(r.get("node"))));
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.8, 1.25})
    void aClockBeyondTheBoundLosesItsRights(final double pace) {
        final SimCluster town = new SimCluster(Place.kilimanjaro(), 5).open();
        town.drift("sh2", pace, 60_000);
        town.run(25_000);
        assertTrue(named(town, "DRIFT_HIGH").stream().anyMatch(r -> "sh2".equals(r.get("node"))));
        assertEquals(0, town.node("sh2").node().holder().count());
        assertTrue(town.node("ed1").node().view().plan().parts().stream()
                .noneMatch(p -> p.owner().equals("sh2")));
        final Judge judge = new Judge(town.close());
        assertTrue(judge.rule(4).breaches().isEmpty(), judge.text(3));
    }

    @Test
    void aNodeCutOffStopsServingWhatCanBePurgedButNotTheRest() {
        final SimCluster town = new SimCluster(Place.kilimanjaro(), 6).open();
        town.itemOperator().stop();
        final SimNode ed = town.node("ed3");
        final List<Integer> first = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            ed.post(() -> ed.node()
                    .edge()
                    .take(
                            new org.rowanvalve.data.ClientRequest("GET", "/terms/0", null, new byte[0], ""),
                            a -> first.add(a.status())));
            town.run(1000);
        }
        assertTrue(first.contains(200), "a copy is kept before the cut: " + first);
        town.cut(List.of("ed3"), 8000);
        town.run(2500);
        final List<Integer> seen = new ArrayList<>();
        for (final String path : List.of("/stock/0", "/terms/0")) {
            ed.post(() -> ed.node()
                    .edge()
                    .take(
                            new org.rowanvalve.data.ClientRequest("GET", path, null, new byte[0], ""),
                            a -> seen.add(a.status())));
        }
        town.run(100);
        assertEquals(List.of(503, 200), seen);
    }
}
