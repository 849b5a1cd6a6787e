package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.control.election.LeaderElection;
import org.rowanvalve.control.election.Leadership;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.operator.ApiResponse;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.log.RunLog;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.sim.SimCluster;

/** Accepted means both stores; after power and a disk are lost together the surviving store goes on by itself. */
class ResumeTest {
    private static final ItemId ROUTE = new ItemId(ItemKind.ROUTE, "extra");

    private static byte[] body(final long life) {
        return Json.write(RunLog.row("prefix", "/extra/", "service", "listing", "mode", "cached", "lifetimeMs", life))
                .getBytes();
    }

    private static long ver(final SimCluster cluster, final String node, final ItemId id) {
        return cluster.node(node).node().items().get(id).version().number();
    }

    private static long count(final SimCluster cluster, final String name) {
        return cluster.log().rows().stream()
                .filter(r -> name.equals(r.get("name")))
                .count();
    }

    static Stream<Arguments> losses() {
        final List<Arguments> list = new ArrayList<>();
        for (final String victim : List.of("st1", "st2")) {
            for (final String power : List.of("core", "electors", "shields", "all")) {
                for (final String order : List.of("victim-first", "victim-last", "together")) {
                    list.add(Arguments.of(victim, power, order, list.size() + 1L));
                }
            }
        }
        return list.stream();
    }

    private static List<String> set(final SimCluster cluster, final String victim, final String power) {
        final String other = victim.equals("st1") ? "st2" : "st1";
        return switch (power) {
            case "core" -> List.of(victim, "sh1");
            case "electors" -> List.of(victim, "sh1", other);
            case "shields" ->
                Stream.concat(
                                Stream.of(victim),
                                cluster.nodes().keySet().stream().filter(n -> n.startsWith("sh")))
                        .toList();
            default -> List.copyOf(cluster.nodes().keySet());
        };
    }

    /** Power of a set and one store's disk go in the instant in which a write and a keyed request have been answered. */
    @ParameterizedTest
    @MethodSource("losses")
    void powerAndOneStoresDiskLostTogetherLoseNothingAndNeedNobody(
            final String victim, final String power, final String order, final long seed) {
        final Deployment deployment = seed % 2 == 0 ? Deployment.coastline() : Deployment.kilimanjaro();
        final SimCluster cluster = new SimCluster(deployment, seed).open();
        final String service = deployment.kin().get(0).service();
        final String way = deployment.ways().stream()
                        .filter(traffic -> traffic.mode().equals("once"))
                        .findFirst()
                        .orElseThrow()
                        .prefix()
                + "1";
        final List<Integer> said = new ArrayList<>();
        final byte[] route = Json.write(
                        RunLog.row("prefix", "/extra/", "service", service, "mode", "cached", "lifetimeMs", 500))
                .getBytes();
        final ClientRequest request = new ClientRequest("POST", way, "the-key", "{}".getBytes(), "application/json");
        cluster.run(1000);
        final Runnable lose = () -> {
            final List<String> gone = set(cluster, victim, power);
            gone.forEach(n -> cluster.kill(n, 0));
            cluster.node(victim).disk().lose();
            gone.forEach(n -> cluster.world()
                    .in(
                            n.equals(victim)
                                    ? order.equals("victim-first") ? 500 : order.equals("victim-last") ? 2500 : 1000
                                    : 1000 + seed * 37 % 400,
                            () -> cluster.start(n)));
            cluster.world().in(2500, () -> cluster.trouble("returned", "", 0));
        };
        final int[] left = {2};
        cluster.node("ed1")
                .execute(() -> cluster.node("ed1").node().edge().handle(request, response -> {
                    said.add(response.status());
                    if (--left[0] == 0) {
                        lose.run();
                    }
                }));
        cluster.node("ed1").putItem(ROUTE, route, 0, "w", s -> {
            said.add(s.status());
            if (--left[0] == 0) {
                lose.run();
            }
        });
        cluster.run(20_000);
        assertEquals(List.of(200, 201), said.stream().sorted().toList());
        cluster.nodes()
                .values()
                .forEach(node -> assertTrue(
                        !node.node().settings().mayVote()
                                || node.node().acceptor().hasState(),
                        node.id().text()));
        cluster.nodes().keySet().forEach(n -> assertEquals(1, ver(cluster, n, ROUTE), n));
        final List<String> again = new ArrayList<>();
        cluster.node("ed2")
                .execute(() -> cluster.node("ed2")
                        .node()
                        .edge()
                        .handle(request, response -> again.add(response.fate() + " " + new String(response.body()))));
        final List<ApiResponse> next = new ArrayList<>();
        cluster.node("ed2").putItem(ROUTE, route, 1, "w2", next::add);
        cluster.run(3000);
        assertTrue(again.get(0).startsWith(RequestOutcome.DONE.code()), again.toString());
        assertEquals(200, next.get(0).status());
        final Judge judge = new Judge(cluster.close());
        assertTrue(judge.clean(), judge.text(3));
        assertTrue(judge.rule(11).checked() > 0);
    }

    /** The survivor's terms leap, so that none that the lost side may have begun is used again. */
    @ParameterizedTest
    @ValueSource(strings = {"st1", "st2"})
    void termsLeapWhenOnlyOneMemoryIsLeft(final String victim) {
        final SimCluster cluster = new SimCluster(Deployment.coastline(), 5).open();
        final long before = Leadership.of(cluster.node("ed2").node().items().get(ItemId.LEADERSHIP))
                .term();
        cluster.node("sh1").kill();
        cluster.loseDisk(victim, 500);
        cluster.start("sh1");
        cluster.run(15_000);
        assertTrue(count(cluster, "RESUMED") > 0);
        cluster.kill(cluster.boss(), 0);
        cluster.run(9000);
        assertTrue(Leadership.of(cluster.node("ed1").node().items().get(ItemId.LEADERSHIP))
                        .term()
                >= before + LeaderElection.SKIPPED_TERMS);
        assertTrue(cluster.node("sh3").node().leaseHolder().heldCount() > 0);
    }

    /** An acting store that stops in order gives its tenure back, even in the millisecond in which it sends a renewal. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void aStoppingAuthorityIsFollowedAtOnce(final long before) {
        final SimCluster cluster = new SimCluster(Deployment.kilimanjaro(), 2).open();
        cluster.itemOperator().stop();
        cluster.run(3000);
        final String boss = cluster.boss();
        final long last = cluster.log().rows().stream()
                .filter(r -> "ACCEPTED".equals(r.get("name")) && "TENURE/tenure".equals(r.get("item")))
                .mapToLong(r -> ((Number) r.get("t")).longValue())
                .max()
                .orElseThrow();
        cluster.run(last + 400 - before - cluster.world().now());
        final long from = cluster.world().now();
        cluster.restart(boss, 6000);
        cluster.run(1000);
        final long won = cluster.log().rows().stream()
                .filter(r -> "TENURE_WON".equals(r.get("name")))
                .mapToLong(r -> ((Number) r.get("t")).longValue())
                .filter(t -> t >= from)
                .min()
                .orElse(Long.MAX_VALUE);
        assertTrue(won <= from + 600, "taken after " + (won - from) + " ms");
        assertFalse(cluster.boss().equals(boss));
    }

    /** A store that comes back empty beside electors with memory is rebuilt from a majority, and nothing leaps. */
    @Test
    void anEmptyStoreAmongElectorsWithMemoryIsNoResuming() {
        final SimCluster cluster = new SimCluster(Deployment.coastline(), 4).open();
        cluster.loseDisk("st2", 1000);
        cluster.run(6000);
        assertTrue(cluster.node("st2").node().acceptor().hasState());
        assertEquals(0, count(cluster, "RESUMED"));
    }

    /** The only memory left belongs to an elector without a disk: two disks are gone, and an operator must say so. */
    @Test
    void aMemoryWithoutADiskIsNotResumedFrom() {
        final SimCluster cluster = new SimCluster(Deployment.coastline(), 7).open();
        cluster.loseDisk("st1", 500);
        cluster.loseDisk("st2", 700);
        cluster.run(10_000);
        assertEquals(0, count(cluster, "RESUMED"));
        assertFalse(cluster.node("st1").node().acceptor().hasState());
    }

    /** What the surviving store had missed is taken up from any node that still holds it. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void whatOnlyAnEdgeStillHoldsIsTakenUp(final long seed) {
        final SimCluster cluster = new SimCluster(Deployment.coastline(), seed).open();
        cluster.cut(List.of("st2"), 3000);
        cluster.run(1000);
        final List<Integer> said = new ArrayList<>();
        cluster.node("ed1").putItem(ROUTE, body(700), 0, "w", response -> said.add(response.status()));
        cluster.run(1950);
        assertEquals(List.of(200), said);
        cluster.kill("sh1", 300);
        cluster.loseDisk("st1", 300);
        cluster.run(9000);
        cluster.nodes().keySet().forEach(n -> assertEquals(1, ver(cluster, n, ROUTE), n));
    }

    /** A write waits for a stalled store once, for a stated time, and says so. */
    @Test
    void aStalledStoreHoldsUpAnswersForItsStatedTimeAndIsToldOf() {
        final SimCluster cluster = new SimCluster(Deployment.kilimanjaro(), 3).open();
        cluster.itemOperator().stop();
        cluster.run(2000);
        cluster.stall("st2", 5000);
        final List<Long> took = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            final long from = cluster.world().now();
            final ItemId id = new ItemId(ItemKind.ROUTE, "x" + i);
            final byte[] text = Json.write(
                            RunLog.row("prefix", "/x" + i + "/", "service", "stock", "mode", "cached", "lifetimeMs", 5))
                    .getBytes();
            cluster.node("ed1")
                    .putItem(
                            id,
                            text,
                            0,
                            "w",
                            response -> took.add(
                                    response.status() == 200 ? cluster.world().now() - from : -1));
            cluster.run(900);
        }
        assertTrue(took.get(0) >= 400 && took.get(0) <= 460, took.toString());
        assertTrue(took.get(1) <= 30 && took.get(2) <= 30, took.toString());
        assertEquals(1, cluster.node("ed1").node().storeHealth().silentStores().size());
        assertEquals(
                1,
                cluster.log().rows().stream()
                        .filter(r -> "STORE_SILENT".equals(r.get("name")) && "ed1".equals(r.get("node")))
                        .count());
        cluster.run(6000);
        cluster.node("ed1")
                .execute(() -> cluster.node("ed1")
                        .node()
                        .configurationService()
                        .deleteItem(new ItemId(ItemKind.ROUTE, "x0"), 1, "d", response -> {}));
        cluster.run(1000);
        assertEquals(0, cluster.node("ed1").node().storeHealth().silentStores().size());
    }

    /** What a full disk could not take is owed to it: once there is room it stands there, and the other disk may go. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void whatAFullDiskMissedIsMadeUpFor(final long seed) {
        final SimCluster cluster = new SimCluster(Deployment.coastline(), seed).open();
        final String poor = seed % 2 == 0 ? "st1" : "st2";
        cluster.full(poor, 2500);
        cluster.run(1000);
        final List<Integer> said = new ArrayList<>();
        cluster.node("ed1").putItem(ROUTE, body(700), 0, "w", response -> said.add(response.status()));
        cluster.run(5000);
        assertEquals(List.of(200), said);
        assertTrue(cluster.node(poor).disk().has("e/" + ROUTE.text()));
        cluster.blackout(List.of(poor.equals("st1") ? "st2" : "st1"), 1000);
        cluster.run(15_000);
        cluster.nodes().keySet().forEach(n -> assertEquals(1, ver(cluster, n, ROUTE), n));
    }

    /** While both are heard from, what was answered stands at both stores. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void anAnsweredWriteStandsAtBothStores(final long seed) {
        final SimCluster cluster = new SimCluster(Deployment.coastline(), seed).open();
        cluster.net().slow(60);
        final List<String> seen = new ArrayList<>();
        IntStream.range(0, 10).forEach(i -> {
            final ItemId id = new ItemId(ItemKind.ROUTE, "x" + i);
            cluster.stall(i % 2 == 0 ? "st1" : "st2", 250);
            final byte[] text = Json.write(RunLog.row(
                            "prefix", "/x" + i + "/", "service", "listing", "mode", "cached", "lifetimeMs", 5))
                    .getBytes();
            cluster.node("ed" + (1 + i % 9))
                    .putItem(
                            id,
                            text,
                            0,
                            "w",
                            response -> seen.add(response.status() + " "
                                    + cluster.node("st1").disk().has("e/ROUTE/x" + i) + " "
                                    + cluster.node("st2").disk().has("e/ROUTE/x" + i)));
            cluster.run(700);
        });
        assertEquals(10, seen.size());
        assertEquals(List.of("200 true true"), seen.stream().distinct().toList());
    }
}
