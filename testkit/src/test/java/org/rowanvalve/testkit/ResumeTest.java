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
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;
import org.rowanvalve.control.ApiResult;
import org.rowanvalve.control.Json;
import org.rowanvalve.control.Leadership;
import org.rowanvalve.control.Tenure;
import org.rowanvalve.data.Answer;
import org.rowanvalve.data.ClientRequest;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.sim.SimCluster;

/** Accepted means both stores; after power and a disk are lost together the surviving store goes on by itself. */
class ResumeTest {
    private static final ItemId ROUTE = new ItemId(Kind.ROUTE, "extra");

    private static byte[] body(final long life) {
        return Json.text(Log.row("prefix", "/extra/", "service", "listing", "mode", "cached", "lifetimeMs", life))
                .getBytes();
    }

    private static long ver(final SimCluster town, final String node, final ItemId id) {
        return town.node(node).node().held().get(id).ver().n();
    }

    private static long count(final SimCluster town, final String name) {
        return town.log().rows().stream()
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

    private static List<String> set(final SimCluster town, final String victim, final String power) {
        final String other = victim.equals("st1") ? "st2" : "st1";
        return switch (power) {
            case "core" -> List.of(victim, "sh1");
            case "electors" -> List.of(victim, "sh1", other);
            case "shields" ->
                Stream.concat(Stream.of(victim), town.nodes().keySet().stream().filter(n -> n.startsWith("sh")))
                        .toList();
            default -> List.copyOf(town.nodes().keySet());
        };
    }

    /** Power of a set and one store's disk go in the instant in which a write and a keyed request have been answered. */
    @ParameterizedTest
    @MethodSource("losses")
    void powerAndOneStoresDiskLostTogetherLoseNothingAndNeedNobody(
            final String victim, final String power, final String order, final long seed) {
        final Place place = seed % 2 == 0 ? Place.coastline() : Place.kilimanjaro();
        final SimCluster town = new SimCluster(place, seed).open();
        final String service = place.kin().get(0).service();
        final String way = place.ways().stream()
                        .filter(w -> w.mode().equals("once"))
                        .findFirst()
                        .orElseThrow()
                        .prefix() + "1";
        final List<Integer> said = new ArrayList<>();
        final byte[] route = Json.text(
                        Log.row("prefix", "/extra/", "service", service, "mode", "cached", "lifetimeMs", 500))
                .getBytes();
        final ClientRequest ask = new ClientRequest("POST", way, "the-key", "{}".getBytes(), "application/json");
        town.run(1000);
        final Runnable lose = () -> {
            final List<String> gone = set(town, victim, power);
            gone.forEach(n -> town.kill(n, 0));
            town.node(victim).disk().lose();
            gone.forEach(n -> town.world()
                    .in(
                            n.equals(victim)
                                    ? order.equals("victim-first") ? 500 : order.equals("victim-last") ? 2500 : 1000
                                    : 1000 + seed * 37 % 400,
                            () -> town.start(n)));
            town.world().in(2500, () -> town.trouble("returned", "", 0));
        };
        final int[] left = {2};
        town.node("ed1")
                .post(() -> town.node("ed1").node().edge().take(ask, a -> {
                    said.add(a.status());
                    if (--left[0] == 0) {
                        lose.run();
                    }
                }));
        town.node("ed1")
                .post(() -> town.node("ed1").node().clerk().put(ROUTE, route, 0, "w", s -> {
                    said.add(s.status());
                    if (--left[0] == 0) {
                        lose.run();
                    }
                }));
        town.run(20_000);
        assertEquals(List.of(200, 201), said.stream().sorted().toList());
        town.nodes()
                .values()
                .forEach(n -> assertTrue(
                        n.node().elector() == null || n.node().elector().full(), n.id().text()));
        town.nodes().keySet().forEach(n -> assertEquals(1, ver(town, n, ROUTE), n));
        final List<String> again = new ArrayList<>();
        town.node("ed2")
                .post(() -> town.node("ed2")
                        .node()
                        .edge()
                        .take(ask, a -> again.add(a.fate() + " " + new String(a.body()))));
        final List<ApiResult> next = new ArrayList<>();
        town.node("ed2").post(() -> town.node("ed2").node().clerk().put(ROUTE, route, 1, "w2", next::add));
        town.run(3000);
        assertTrue(again.get(0).startsWith(Answer.DONE), again.toString());
        assertEquals(200, next.get(0).status());
        final Judge judge = new Judge(town.close());
        assertTrue(judge.clean(), judge.text(3));
        assertTrue(judge.rule(11).checked() > 0);
    }

    /** The survivor's terms leap, so that none that the lost side may have begun is used again. */
    @ParameterizedTest
    @ValueSource(strings = {"st1", "st2"})
    void termsLeapWhenOnlyOneMemoryIsLeft(final String victim) {
        final SimCluster town = new SimCluster(Place.coastline(), 5).open();
        final long before =
                Leadership.of(town.node("ed2").node().held().get(ItemId.TENURE)).term();
        town.node("sh1").kill();
        town.loseDisk(victim, 500);
        town.start("sh1");
        town.run(15_000);
        assertTrue(count(town, "RESUMED") > 0);
        town.kill(town.boss(), 0);
        town.run(9000);
        assertTrue(
                Leadership.of(town.node("ed1").node().held().get(ItemId.TENURE)).term() >= before + Tenure.LEAP);
        assertTrue(town.node("sh3").node().holder().count() > 0);
    }

    /** An acting store that stops in order gives its tenure back, even in the millisecond in which it sends a renewal. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void aStoppingAuthorityIsFollowedAtOnce(final long before) {
        final SimCluster town = new SimCluster(Place.kilimanjaro(), 2).open();
        town.itemOperator().stop();
        town.run(3000);
        final String boss = town.boss();
        final long last = town.log().rows().stream()
                .filter(r -> "ACCEPTED".equals(r.get("name")) && "TENURE/tenure".equals(r.get("item")))
                .mapToLong(r -> ((Number) r.get("t")).longValue())
                .max()
                .orElseThrow();
        town.run(last + 400 - before - town.world().now());
        final long from = town.world().now();
        town.restart(boss, 6000);
        town.run(1000);
        final long won = town.log().rows().stream()
                .filter(r -> "TENURE_WON".equals(r.get("name")))
                .mapToLong(r -> ((Number) r.get("t")).longValue())
                .filter(t -> t >= from)
                .min()
                .orElse(Long.MAX_VALUE);
        assertTrue(won <= from + 600, "taken after " + (won - from) + " ms");
        assertFalse(town.boss().equals(boss));
    }

    /** A store that comes back empty beside electors with memory is rebuilt from a majority, and nothing leaps. */
    @Test
    void anEmptyStoreAmongElectorsWithMemoryIsNoResuming() {
        final SimCluster town = new SimCluster(Place.coastline(), 4).open();
        town.loseDisk("st2", 1000);
        town.run(6000);
        assertTrue(town.node("st2").node().elector().full());
        assertEquals(0, count(town, "RESUMED"));
    }

    /** The only memory left belongs to an elector without a disk: two disks are gone, and an operator must say so. */
    @Test
    void aMemoryWithoutADiskIsNotResumedFrom() {
        final SimCluster town = new SimCluster(Place.coastline(), 7).open();
        town.loseDisk("st1", 500);
        town.loseDisk("st2", 700);
        town.run(10_000);
        assertEquals(0, count(town, "RESUMED"));
        assertFalse(town.node("st1").node().elector().full());
    }

    /** What the surviving store had missed is taken up from any node that still holds it. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void whatOnlyAnEdgeStillHoldsIsTakenUp(final long seed) {
        final SimCluster town = new SimCluster(Place.coastline(), seed).open();
        town.cut(List.of("st2"), 3000);
        town.run(1000);
        final List<Integer> said = new ArrayList<>();
        town.node("ed1")
                .post(() -> town.node("ed1").node().clerk().put(ROUTE, body(700), 0, "w", s -> said.add(s.status())));
        town.run(1950);
        assertEquals(List.of(200), said);
        town.kill("sh1", 300);
        town.loseDisk("st1", 300);
        town.run(9000);
        town.nodes().keySet().forEach(n -> assertEquals(1, ver(town, n, ROUTE), n));
    }

    /** A write waits for a stalled store once, for a stated time, and says so. */
    @Test
    void aStalledStoreHoldsUpAnswersForItsStatedTimeAndIsToldOf() {
        final SimCluster town = new SimCluster(Place.kilimanjaro(), 3).open();
        town.itemOperator().stop();
        town.run(2000);
        town.stall("st2", 5000);
        final List<Long> took = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            final long from = town.world().now();
            final ItemId id = new ItemId(Kind.ROUTE, "x" + i);
            final byte[] text = Json.text(
                            Log.row("prefix", "/x" + i + "/", "service", "stock", "mode", "cached", "lifetimeMs", 5))
                    .getBytes();
            town.node("ed1")
                    .post(() -> town.node("ed1")
                            .node()
                            .clerk()
                            .put(
                                    id,
                                    text,
                                    0,
                                    "w",
                                    s -> took.add(
                                            s.status() == 200 ? town.world().now() - from : -1)));
            town.run(900);
        }
        assertTrue(took.get(0) >= 400 && took.get(0) <= 460, took.toString());
        assertTrue(took.get(1) <= 30 && took.get(2) <= 30, took.toString());
        assertEquals(1, town.node("ed1").node().stores().silent().size());
        assertEquals(
                1,
                town.log().rows().stream()
                        .filter(r -> "STORE_SILENT".equals(r.get("name")) && "ed1".equals(r.get("node")))
                        .count());
        town.run(6000);
        town.node("ed1")
                .post(() -> town.node("ed1").node().clerk().delete(new ItemId(Kind.ROUTE, "x0"), 1, "d", s -> {}));
        town.run(1000);
        assertEquals(0, town.node("ed1").node().stores().silent().size());
    }

    /** What a full disk could not take is owed to it: once there is room it stands there, and the other disk may go. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void whatAFullDiskMissedIsMadeUpFor(final long seed) {
        final SimCluster town = new SimCluster(Place.coastline(), seed).open();
        final String poor = seed % 2 == 0 ? "st1" : "st2";
        town.full(poor, 2500);
        town.run(1000);
        final List<Integer> said = new ArrayList<>();
        town.node("ed1")
                .post(() -> town.node("ed1").node().clerk().put(ROUTE, body(700), 0, "w", s -> said.add(s.status())));
        town.run(5000);
        assertEquals(List.of(200), said);
        assertTrue(town.node(poor).disk().has("e/" + ROUTE.text()));
        town.blackout(List.of(poor.equals("st1") ? "st2" : "st1"), 1000);
        town.run(15_000);
        town.nodes().keySet().forEach(n -> assertEquals(1, ver(town, n, ROUTE), n));
    }

    /** While both are heard from, what was answered stands at both stores. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void anAnsweredWriteStandsAtBothStores(final long seed) {
        final SimCluster town = new SimCluster(Place.coastline(), seed).open();
        town.net().slow(60);
        final List<String> seen = new ArrayList<>();
        IntStream.range(0, 10).forEach(i -> {
            final ItemId id = new ItemId(Kind.ROUTE, "x" + i);
            town.stall(i % 2 == 0 ? "st1" : "st2", 250);
            final byte[] text = Json.text(
                            Log.row("prefix", "/x" + i + "/", "service", "listing", "mode", "cached", "lifetimeMs", 5))
                    .getBytes();
            town.node("ed" + (1 + i % 9))
                    .post(() -> town.node("ed" + (1 + i % 9))
                            .node()
                            .clerk()
                            .put(
                                    id,
                                    text,
                                    0,
                                    "w",
                                    s -> seen.add(s.status() + " "
                                            + town.node("st1").disk().has("e/ROUTE/x" + i) + " "
                                            + town.node("st2").disk().has("e/ROUTE/x" + i))));
            town.run(700);
        });
        assertEquals(10, seen.size());
        assertEquals(List.of("200 true true"), seen.stream().distinct().toList());
    }
}
