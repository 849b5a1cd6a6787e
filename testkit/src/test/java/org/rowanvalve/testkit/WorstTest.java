package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;
import org.rowanvalve.control.ApiResult;
import org.rowanvalve.data.ClientRequest;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.judge.Verdict;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.SimNode;

/** Troubles put at the moment that is worst for one rule, swept over offsets and seeds. */
class WorstTest {
    private static void clean(final SimCluster town, final int rule) {
        final Judge judge = new Judge(town.close());
        assertTrue(judge.clean(), judge.text(3));
        final Verdict v = judge.rule(rule);
        assertTrue(v.checked() > 0, v.line());
    }

    /** Rules 8 and 4: a new circuit is asked who it is, the shield freezes, the origin leaves, the shield wakes. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void aFreezeDuringTheIdentityCheckSendsNothingToAnOriginThatLeft(final long seed) {
        final SimCluster town = new SimCluster(Place.kilimanjaro(), seed).open();
        town.run(1000);
        town.net().slow(250);
        town.origins().get("collect1").kill();
        town.origins().get("collect2").kill();
        town.origins().get("collect1").start();
        town.run(600 + 60 * seed);
        List.of("sh1", "sh2", "sh3", "sh4").forEach(n -> town.freeze(n, 4000));
        town.origins().get("collect1").leave();
        town.net().slow(0);
        town.run(12_000);
        clean(town, 8);
    }

    private static ClientRequest post(final String key) {
        return new ClientRequest("POST", "/reserve/1", key, "{}".getBytes(), "application/json");
    }

    private static void ask(final SimCluster town, final String edge, final ClientRequest ask, final List<String> got) {
        final SimNode n = town.node(edge);
        final long t = town.world().now();
        n.post(() -> n.node().edge().take(ask, a -> {
            got.add(a.fate());
            town.log()
                    .add(Log.row(
                            "log",
                            "req",
                            "t",
                            t,
                            "end",
                            town.world().now(),
                            "id",
                            got.size(),
                            "node",
                            edge,
                            "mode",
                            "once",
                            "path",
                            ask.path(),
                            "key",
                            ask.key(),
                            "status",
                            a.status(),
                            "fate",
                            a.fate(),
                            "stamp",
                            a.heads().get("rv-stamp"),
                            "request",
                            a.heads().get("rv-request"),
                            "whole",
                            true,
                            "said",
                            ask.path(),
                            "saidKey",
                            ask.key()));
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
            final SimCluster town = new SimCluster(Place.kilimanjaro(), 40 + off).open();
            town.net().slow(12);
            town.origins().values().forEach(o -> o.fault("none", 15));
            final String key = "aimed-" + off;
            final int shard = org.rowanvalve.control.Plan.shard("reserve", "reserve", key, 32);
            final String holder =
                    town.node("ed1").node().view().plan().parts().get(shard).owner();
            final String victim = who.equals("holder") ? holder : who.equals("authority") ? town.boss() : who;
            final List<String> got = new ArrayList<>();
            ask(town, "ed1", post(key), got);
            town.world().in(2 + off * 7, () -> hit(town, victim, what));
            for (int i = 1; i < 12; i++) {
                final String edge = "ed" + (2 + i % 8);
                town.world().in(i * 700L, () -> ask(town, edge, post(key), got));
            }
            town.run(16_000);
            final long runs = town.log().rows().stream()
                    .filter(r -> "org".equals(r.get("log")) && key.equals(r.get("key")))
                    .count();
            assertTrue(runs <= 1, runs + " runs, offset " + off);
            assertTrue(got.size() >= 10, "answers " + got.size());
            clean(town, 1);
        }
    }

    private static void hit(final SimCluster town, final String who, final String what) {
        switch (what) {
            case "kill" -> town.kill(who, 2000);
            case "freeze" -> town.freeze(who, 7000);
            case "cut" -> town.cut(List.of(who), 7000);
            case "lose-disk" -> town.loseDisk(who, 1500);
            case "stall" -> town.stall(who, 3000);
            case "reset" -> {
                List.of("reserve1", "reserve2").forEach(o -> {
                    town.origins().get(o).kill();
                    town.world().in(1500, town.origins().get(o)::start);
                });
            }
            case "lose" -> town.origins().values().forEach(o -> o.fault("lose", 3));
            default ->
                town.origins().values().stream()
                        .filter(o -> o.name().startsWith("reserve"))
                        .forEach(o -> {
                            o.kill();
                            town.world().in(1500, o::start);
                        });
        }
    }

    /** A key refused because nothing could be sent runs later, through the next holder too. */
    @Test
    void aRefusedKeyMayRunAfterAMove() {
        int done = 0;
        for (long seed = 1; seed <= 6; seed++) {
            final SimCluster town = new SimCluster(Place.kilimanjaro(), seed).open();
            town.origins().values().stream()
                    .filter(o -> o.name().startsWith("reserve"))
                    .forEach(o -> o.kill());
            town.run(12_000);
            final String key = "again-" + seed;
            final int shard = org.rowanvalve.control.Plan.shard("reserve", "reserve", key, 32);
            final String holder =
                    town.node("ed1").node().view().plan().parts().get(shard).owner();
            final List<String> got = new ArrayList<>();
            ask(town, "ed1", post(key), got);
            town.run(3000);
            assertEquals(List.of("refused"), got);
            town.origins().values().stream()
                    .filter(o -> o.name().startsWith("reserve"))
                    .forEach(o -> o.start());
            town.kill(holder, 0);
            town.run(9000);
            ask(town, "ed2", post(key), got);
            town.run(2000);
            assertEquals("done", got.get(1), "seed " + seed);
            done++;
            clean(town, 2);
        }
        assertEquals(6, done);
    }

    /** Rule 5: a node cut off from the writer alone, so that the push never reaches it. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void aNodeThatMissedThePushLearnsInTime(final long seed) {
        final SimCluster town = new SimCluster(Place.coastline(), seed).open();
        town.itemOperator().stop();
        final long[] end = {0};
        for (final String n : List.of("ed5", "sh3", "ed9")) {
            town.net().cut("ed1", n);
        }
        final byte[] body =
                "{\"prefix\":\"/new/\",\"service\":\"listing\",\"mode\":\"cached\",\"lifetimeMs\":100}".getBytes();
        final ItemId id = new ItemId(Kind.ROUTE, "new");
        town.node("ed1")
                .post(() -> town.node("ed1")
                        .node()
                        .clerk()
                        .put(
                                id,
                                body,
                                0,
                                "w",
                                s -> end[0] = s.status() == 200 ? town.world().now() : -1));
        town.run(3000);
        assertTrue(end[0] > 0);
        for (final String n : town.nodes().keySet()) {
            final long at = town.log().rows().stream()
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
        final SimCluster town = new SimCluster(Place.kilimanjaro(), 3).open();
        town.itemOperator().stop();
        town.node("st1").kill();
        town.node("sh1").kill();
        final long from = town.world().now();
        final List<String> said = new ArrayList<>();
        town.node("ed1")
                .post(() -> town.node("ed1")
                        .node()
                        .clerk()
                        .delete(
                                new ItemId(Kind.ROUTE, "terms"),
                                1,
                                "d",
                                (ApiResult s) -> said.add(
                                        s.status() + " " + (town.world().now() - from) + " "
                                                + s.body().get("retryAfterMs"))));
        town.run(4000);
        assertEquals(1, said.size());
        final String[] parts = said.get(0).split(" ");
        assertEquals("503", parts[0]);
        assertEquals("1000", parts[2]);
        assertTrue(Long.parseLong(parts[1]) < 2500, said.toString());
    }
}
