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
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.operator.ApiResponse;
import org.rowanvalve.control.placement.PlacementPlan;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.log.RunLog;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.SimNode;

/** Single troubles brought about at the worst moment. */
class FaultTest {
    private static final ItemId ROUTE = new ItemId(ItemKind.ROUTE, "extra");

    private static String body(final long life) {
        return Json.write(RunLog.row("prefix", "/extra/", "service", "listing", "mode", "cached", "lifetimeMs", life));
    }

    private static long ver(final SimCluster cluster, final String node, final ItemId id) {
        return cluster.node(node).node().items().get(id).version().number();
    }

    private static List<Map<String, Object>> named(final SimCluster cluster, final String name) {
        return cluster.log().rows().stream()
                .filter(r -> name.equals(r.get("name")))
                .toList();
    }

    /** Plans that gave shards away; others only changed weights. */
    private static java.util.stream.Stream<Map<String, Object>> moves(final SimCluster cluster) {
        return named(cluster, "PLAN_SET").stream().filter(r -> num(r, "moves") > 0);
    }

    private static long num(final Map<String, Object> r, final String name) {
        return ((Number) r.get(name)).longValue();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void anAcceptedWriteOutlivesAStoresPowerOrDiskLostRightAfterTheAnswer(final long seed) {
        final SimCluster cluster = new SimCluster(Deployment.coastline(), seed).open();
        final String victim = seed % 2 == 0 ? "st1" : "st2";
        final List<ApiResponse> said = new ArrayList<>();
        cluster.node("ed1").putItem(ROUTE, body(1000 + seed).getBytes(), 0, "w", response -> {
            said.add(response);
            if (seed <= 3) {
                cluster.kill(victim, 1500);
            } else {
                cluster.loseDisk(victim, 1500);
            }
        });
        cluster.run(8000);
        assertEquals(200, said.get(0).status());
        cluster.nodes().keySet().forEach(n -> assertEquals(1, ver(cluster, n, ROUTE), n));
        assertTrue(cluster.node(victim).node().acceptor().hasState());
        cluster.nodes().values().stream()
                .filter(node ->
                        !node.id().text().equals(victim) && node.id().text().startsWith("st"))
                .forEach(SimNode::kill);
        cluster.run(3000);
        final List<ApiResponse> next = new ArrayList<>();
        cluster.node("ed2").putItem(ROUTE, body(7).getBytes(), 1, "w2", next::add);
        cluster.run(3000);
        assertEquals(200, next.get(0).status(), "the rebuilt store votes, and knows version 1");
    }

    @Test
    void anElectorWithoutMemoryDoesNotVoteUntilAMajorityOfTheOthersWasRead() {
        final SimCluster cluster = new SimCluster(Deployment.coastline(), 5).open();
        cluster.node("st2").kill();
        cluster.loseDisk("st1", 500);
        cluster.run(9000);
        assertFalse(cluster.node("st1").node().acceptor().hasState(), "only sh1 could be read");
        assertEquals("sh1", cluster.node("sh1").id().text());
        cluster.start("st2");
        cluster.run(2000);
        assertTrue(cluster.node("st1").node().acceptor().hasState());
    }

    @Test
    void anOperatorMayVouchForOneElectorWhenBothStoresDisksAreGone() {
        final SimCluster cluster = new SimCluster(Deployment.coastline(), 5).open();
        cluster.loseDisk("st1", 500);
        cluster.loseDisk("st2", 500);
        cluster.run(5000);
        assertFalse(cluster.node("st1").node().acceptor().hasState());
        assertFalse(cluster.node("st2").node().acceptor().hasState());
        for (final String n : List.of("st1", "st2")) {
            cluster.node(n)
                    .execute(() -> cluster.node(n).node().acceptor().vouch(NodeId.of("sh1"), ok -> assertTrue(ok)));
        }
        cluster.run(8000);
        assertTrue(cluster.node("ed1").node().viewSynchronizer().isFresh());
        assertTrue(cluster.node("sh3").node().leaseHolder().heldCount() > 0);
    }

    @Test
    void blankElectorsAmongNodesThatHoldItemsFoundNothing() {
        final SimCluster cluster = new SimCluster(Deployment.coastline(), 6).open();
        final long before = ver(cluster, "ed1", new ItemId(ItemKind.ROUTE, "listing"));
        assertTrue(before > 0);
        List.of("st1", "st2", "sh1").forEach(n -> {
            cluster.node(n).kill();
            cluster.node(n).disk().lose();
        });
        cluster.run(500);
        List.of("st1", "st2", "sh1").forEach(cluster::start);
        cluster.run(10_000);
        List.of("st1", "st2", "sh1")
                .forEach(n -> assertFalse(cluster.node(n).node().acceptor().hasState(), n));
        assertTrue(ver(cluster, "ed1", new ItemId(ItemKind.ROUTE, "listing")) >= before);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void ofManyWritersAtOnceEachVersionHasOne(final long seed) {
        final SimCluster cluster = new SimCluster(Deployment.coastline(), seed).open();
        cluster.net().loss(0.05);
        final Set<Long> won = new TreeSet<>();
        final Set<String> twice = new HashSet<>();
        final int[] ends = new int[4];
        final long[] standing = {0};
        for (int round = 0; round < 6; round++) {
            for (final String n : List.of("ed1", "ed2", "sh2", "st1", "ed5")) {
                final String tag = n + "-" + round;
                final long expect = standing[0];
                cluster.node(n).putItem(ROUTE, body(1000 + tag.hashCode() % 500).getBytes(), expect, tag, response -> {
                    if (response.body().get("version") instanceof Number v) {
                        standing[0] = Math.max(standing[0], v.longValue());
                    }
                    ends[response.status() == 200 ? 0 : response.status() == 409 ? 1 : 2]++;
                    if (response.status() == 200
                            && !won.add(((Number) response.body().get("version")).longValue())) {
                        twice.add(tag);
                    }
                });
            }
            cluster.run(4000);
        }
        assertEquals(Set.of(), twice, "a version was given to two writers");
        assertTrue(won.size() >= 5, won.toString());
        assertTrue(ends[1] >= 12, "losers hear 409, " + ends[1]);
        final long top = won.stream().mapToLong(Long::longValue).max().orElseThrow();
        cluster.nodes().keySet().forEach(n -> assertTrue(ver(cluster, n, ROUTE) >= top, n));
    }

    @Test
    void aRepeatedWriteIsAnsweredLikeTheFirst() {
        final SimCluster cluster = new SimCluster(Deployment.coastline(), 3).open();
        final List<ApiResponse> said = new ArrayList<>();
        for (final String n : List.of("ed1", "ed4")) {
            cluster.node(n).putItem(ROUTE, body(1234).getBytes(), 0, "same", said::add);
            cluster.run(1000);
        }
        assertEquals(List.of(200, 200), said.stream().map(ApiResponse::status).toList());
        assertEquals(said.get(0).body().get("version"), said.get(1).body().get("version"));
    }

    /** A shield dies: its shards get a new holder, but not before the last grant's D + 2M is over. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aDeadHoldersShardsWaitForTheGate(final long seed) {
        final SimCluster cluster = new SimCluster(Deployment.kilimanjaro(), seed).open();
        final PlacementPlan before = cluster.node("ed1").node().configuration().plan();
        final long died = cluster.world().now();
        cluster.kill("sh2", 0);
        cluster.run(12_000);
        final PlacementPlan after = cluster.node("ed1").node().configuration().plan();
        int moved = 0;
        for (int i = 0; i < before.assignments().size(); i++) {
            if (before.assignments().get(i).owner().equals("sh2")) {
                moved++;
                assertFalse(after.assignments().get(i).owner().equals("sh2"));
                assertTrue(before.assignments()
                        .get(i)
                        .token()
                        .isBelow(after.assignments().get(i).token()));
            }
        }
        assertTrue(moved > 0);
        final long set = moves(cluster)
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
        final SimCluster cluster = new SimCluster(Deployment.kilimanjaro(), seed).open();
        final long from = cluster.world().now();
        cluster.restart("sh4", 4000);
        cluster.run(2500);
        final long stopped = named(cluster, "STOPPED").stream()
                .mapToLong(r -> num(r, "t"))
                .findFirst()
                .orElseThrow();
        final long set = moves(cluster)
                .mapToLong(r -> num(r, "t"))
                .filter(t -> t > from)
                .findFirst()
                .orElseThrow();
        assertTrue(set <= stopped, "plan at " + set + ", stopped at " + stopped);
        assertTrue(cluster.node("ed1").node().configuration().plan().assignments().stream()
                .noneMatch(p -> p.owner().equals("sh4")));
    }

    /** A holder that is cut off with the origins in reach stops by itself before the next one starts. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aHolderCutOffStopsBeforeTheNextOneStarts(final long seed) {
        final SimCluster cluster = new SimCluster(Deployment.kilimanjaro(), seed).open();
        cluster.run(2000);
        final long from = cluster.world().now();
        cluster.cut(List.of("sh3", "ed1", "ed2"), 9000);
        cluster.run(15_000);
        final Judge judge = new Judge(cluster.close());
        assertTrue(judge.clean(), judge.text(3));
        assertTrue(named(cluster, "FENCED").stream()
                .anyMatch(r -> "sh3".equals(r.get("node")) && num(r, "t") <= from + 3000));
        assertTrue(moves(cluster).anyMatch(r -> num(r, "t") > from && num(r, "t") < from + 7000));
    }

    /** The authority dies: holders go on with the same tokens under the next one. */
    @Test
    void theNextAuthorityGoesOnWithTheTokensHoldersReport() {
        final SimCluster cluster = new SimCluster(Deployment.kilimanjaro(), 2).open();
        final PlacementPlan before = cluster.node("ed1").node().configuration().plan();
        final String boss = cluster.boss();
        cluster.kill(boss, 0);
        cluster.run(9000);
        assertFalse(cluster.boss().isEmpty());
        assertFalse(cluster.boss().equals(boss));
        final PlacementPlan after = cluster.node("ed1").node().configuration().plan();
        assertEquals(before.assignments(), after.assignments());
        assertTrue(after.term() > before.term(), "the plan is restated, so that a late write of the old term is void");
        assertTrue(cluster.node("sh1").node().leaseHolder().heldCount() > 0);
    }

    @Test
    void aFreezeAcrossValidityEndsTheRightBeforeAnythingIsSent() {
        final SimCluster cluster = new SimCluster(Deployment.kilimanjaro(), 4).open();
        cluster.run(1000);
        cluster.freeze("sh2", 7000);
        cluster.run(16_000);
        final Judge judge = new Judge(cluster.close());
        assertTrue(judge.clean(), judge.text(3));
        assertTrue(named(cluster, "WOKE").stream().anyMatch(r -> "sh2".equals(r.get("node"))));
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.8, 1.25})
    void aClockBeyondTheBoundLosesItsRights(final double pace) {
        final SimCluster cluster = new SimCluster(Deployment.kilimanjaro(), 5).open();
        cluster.drift("sh2", pace, 60_000);
        cluster.run(25_000);
        assertTrue(named(cluster, "DRIFT_HIGH").stream().anyMatch(r -> "sh2".equals(r.get("node"))));
        assertEquals(0, cluster.node("sh2").node().leaseHolder().heldCount());
        assertTrue(cluster.node("ed1").node().configuration().plan().assignments().stream()
                .noneMatch(p -> p.owner().equals("sh2")));
        final Judge judge = new Judge(cluster.close());
        assertTrue(judge.rule(4).breaches().isEmpty(), judge.text(3));
    }

    @Test
    void aNodeCutOffStopsServingWhatCanBePurgedButNotTheRest() {
        final SimCluster cluster = new SimCluster(Deployment.kilimanjaro(), 6).open();
        cluster.itemOperator().stop();
        final SimNode ed = cluster.node("ed3");
        final List<Integer> first = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            ed.execute(() -> ed.node()
                    .edge()
                    .handle(
                            new org.rowanvalve.data.request.ClientRequest("GET", "/terms/0", null, new byte[0], ""),
                            response -> first.add(response.status())));
            cluster.run(1000);
        }
        assertTrue(first.contains(200), "a copy is kept before the cut: " + first);
        cluster.cut(List.of("ed3"), 8000);
        cluster.run(2500);
        final List<Integer> seen = new ArrayList<>();
        for (final String path : List.of("/stock/0", "/terms/0")) {
            ed.execute(() -> ed.node()
                    .edge()
                    .handle(
                            new org.rowanvalve.data.request.ClientRequest("GET", path, null, new byte[0], ""),
                            response -> seen.add(response.status())));
        }
        cluster.run(100);
        assertEquals(List.of(503, 200), seen);
    }
}
