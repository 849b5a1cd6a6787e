package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.control.operator.ApiResponse;
import org.rowanvalve.control.placement.PlacementPlan;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.judge.Verdict;
import org.rowanvalve.testkit.log.RunLog;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.SimNode;

/** Troubles put at the moment that is worst for one rule, swept over offsets and seeds. */
class WorstMomentTest {
    private static void clean(final SimCluster cluster, final int rule) {
        final Judge judge = new Judge(cluster.close());
        assertTrue(judge.clean(), judge.text(3));
        final Verdict verdict = judge.rule(rule);
        assertTrue(verdict.checked() > 0, verdict.line());
    }

    /** Rules 8 and 4: a new circuit is asked who it is, the shield freezes, the origin leaves, the shield wakes. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void aFreezeDuringTheIdentityCheckSendsNothingToAnOriginThatLeft(final long seed) {
        final SimCluster cluster = new SimCluster(Deployment.kilimanjaro(), seed).open();
        cluster.run(1000);
        cluster.net().slow(250);
        cluster.origins().get("collect1").kill();
        cluster.origins().get("collect2").kill();
        cluster.origins().get("collect1").start();
        cluster.run(600 + 60 * seed);
        List.of("sh1", "sh2", "sh3", "sh4").forEach(n -> cluster.freeze(n, 4000));
        cluster.origins().get("collect1").leave();
        cluster.net().slow(0);
        cluster.run(12_000);
        clean(cluster, 8);
    }

    static ClientRequest post(final String key) {
        return new ClientRequest("POST", "/reserve/1", key, "{}".getBytes(), "application/json");
    }

    /** The shield that owns the shard of a key. */
    static String holder(final SimCluster cluster, final String key) {
        final PlacementPlan plan = cluster.node("ed1").node().configuration().plan();
        return plan.assignments()
                .get(PlacementPlan.shardOf("reserve", "reserve", key, 32))
                .owner();
    }

    static void ask(final SimCluster cluster, final String edge, final ClientRequest request, final List<String> got) {
        final SimNode node = cluster.node(edge);
        final long t = cluster.world().now();
        node.execute(() -> node.node().edge().handle(request, response -> {
            got.add(response.fate().code());
            cluster.log()
                    .add(RunLog.row(
                            "log",
                            "req",
                            "t",
                            t,
                            "end",
                            cluster.world().now(),
                            "id",
                            got.size(),
                            "node",
                            edge,
                            "mode",
                            "once",
                            "path",
                            request.path(),
                            "key",
                            request.key(),
                            "status",
                            response.status(),
                            "fate",
                            response.fate().code(),
                            "stamp",
                            response.headers().get("rv-stamp"),
                            "request",
                            response.headers().get("rv-request"),
                            "whole",
                            true,
                            "said",
                            request.path(),
                            "saidKey",
                            request.key()));
        }));
    }

    /** Rules 1 and 2: a loss at each moment of a keyed request's way, the key asked again through other nodes all along. */
    @ParameterizedTest
    @CsvSource({
        "holder,kill",
        "holder,freeze",
        "holder,cut",
        "st1,kill",
        "st1,lose-disk",
        "st2,lose-disk",
        "sh1,kill",
        "authority,kill",
        "st2,stall",
        "origin,lose",
        "origin,crash",
        "origin,reset"
    })
    void aKeyRunsOnceWhateverIsLostWheneverOnItsWay(final String who, final String what) {
        for (long off = 0; off < 8; off++) {
            final SimCluster cluster = new SimCluster(Deployment.kilimanjaro(), 40 + off).open();
            cluster.net().slow(12);
            cluster.origins().values().forEach(origin -> origin.fault("none", 15));
            final String key = "aimed-" + off;
            final String holder = holder(cluster, key);
            final String victim = who.equals("holder") ? holder : who.equals("authority") ? cluster.boss() : who;
            final List<String> got = new ArrayList<>();
            ask(cluster, "ed1", post(key), got);
            cluster.world().in(2 + off * 7, () -> hit(cluster, victim, what));
            for (int i = 1; i < 12; i++) {
                final String edge = "ed" + (2 + i % 8);
                cluster.world().in(i * 700L, () -> ask(cluster, edge, post(key), got));
            }
            cluster.run(16_000);
            final long runs = cluster.log().rows().stream()
                    .filter(r -> "org".equals(r.get("log")) && key.equals(r.get("key")))
                    .count();
            assertTrue(runs <= 1, runs + " runs, offset " + off);
            assertTrue(got.size() >= 10, "answers " + got.size());
            clean(cluster, 1);
        }
    }

    private static void hit(final SimCluster cluster, final String who, final String what) {
        switch (what) {
            case "kill" -> cluster.kill(who, 2000);
            case "freeze" -> cluster.freeze(who, 7000);
            case "cut" -> cluster.cut(List.of(who), 7000);
            case "lose-disk" -> cluster.loseDisk(who, 1500);
            case "stall" -> cluster.stall(who, 3000);
            case "reset" -> {
                List.of("reserve1", "reserve2").forEach(o -> {
                    cluster.origins().get(o).kill();
                    cluster.world().in(1500, cluster.origins().get(o)::start);
                });
            }
            case "lose" -> cluster.origins().values().forEach(origin -> origin.fault("lose", 3));
            default ->
                cluster.origins().values().stream()
                        .filter(origin -> origin.name().startsWith("reserve"))
                        .forEach(origin -> {
                            origin.kill();
                            cluster.world().in(1500, origin::start);
                        });
        }
    }

    /** A key refused because nothing could be sent runs later, through the next holder too. */
    @Test
    void aRefusedKeyMayRunAfterAMove() {
        int done = 0;
        for (long seed = 1; seed <= 6; seed++) {
            final SimCluster cluster = new SimCluster(Deployment.kilimanjaro(), seed).open();
            cluster.origins().values().stream()
                    .filter(origin -> origin.name().startsWith("reserve"))
                    .forEach(origin -> origin.kill());
            cluster.run(12_000);
            final String key = "again-" + seed;
            final String holder = holder(cluster, key);
            final List<String> got = new ArrayList<>();
            ask(cluster, "ed1", post(key), got);
            cluster.run(3000);
            assertEquals(List.of("refused"), got);
            cluster.origins().values().stream()
                    .filter(origin -> origin.name().startsWith("reserve"))
                    .forEach(origin -> origin.start());
            cluster.kill(holder, 0);
            cluster.run(9000);
            ask(cluster, "ed2", post(key), got);
            cluster.run(2000);
            assertEquals("done", got.get(1), "seed " + seed);
            done++;
            clean(cluster, 2);
        }
        assertEquals(6, done);
    }

    /** Rule 5: a node cut off from the writer alone, so that the push never reaches it. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aNodeThatMissedThePushLearnsInTime(final long seed) {
        final SimCluster cluster = new SimCluster(Deployment.coastline(), seed).open();
        cluster.itemOperator().stop();
        final long[] end = {0};
        for (final String n : List.of("ed5", "sh3", "ed9")) {
            cluster.net().cut("ed1", n);
        }
        final byte[] body =
                "{\"prefix\":\"/new/\",\"service\":\"listing\",\"mode\":\"cached\",\"lifetimeMs\":100}".getBytes();
        final ItemId id = new ItemId(ItemKind.ROUTE, "new");
        cluster.node("ed1")
                .putItem(
                        id,
                        body,
                        0,
                        "w",
                        response -> end[0] =
                                response.status() == 200 ? cluster.world().now() : -1);
        cluster.run(3000);
        assertTrue(end[0] > 0);
        for (final String n : cluster.nodes().keySet()) {
            final long at = cluster.log().rows().stream()
                    .filter(r -> "LEARNED".equals(r.get("name"))
                            && n.equals(r.get("node"))
                            && "ROUTE/new".equals(r.get("item")))
                    .mapToLong(r -> ((Number) r.get("t")).longValue())
                    .min()
                    .orElse(Long.MAX_VALUE);
            assertTrue(at <= end[0] + 2000, n + " learned " + (at - end[0]) + " ms after");
        }
    }

    /** What is given up is refused at once: with no majority there, not at the end of the write's own span. */
    @Test
    void aWriteWithoutAMajorityIsRefusedWhenItIsGivenUp() {
        final SimCluster cluster = new SimCluster(Deployment.kilimanjaro(), 3).open();
        cluster.itemOperator().stop();
        cluster.node("st1").kill();
        cluster.node("sh1").kill();
        final long from = cluster.world().now();
        final List<String> said = new ArrayList<>();
        cluster.node("ed1")
                .execute(() -> cluster.node("ed1")
                        .node()
                        .configurationService()
                        .deleteItem(
                                new ItemId(ItemKind.ROUTE, "terms"),
                                1,
                                "d",
                                (ApiResponse response) -> said.add(response.status() + " "
                                        + (cluster.world().now() - from) + " "
                                        + response.body().get("retryAfterMs"))));
        cluster.run(4000);
        assertEquals(1, said.size());
        final String[] parts = said.get(0).split(" ");
        assertEquals("503", parts[0]);
        assertEquals("1000", parts[2]);
        assertTrue(Long.parseLong(parts[1]) < 2500, said.toString());
    }
}
