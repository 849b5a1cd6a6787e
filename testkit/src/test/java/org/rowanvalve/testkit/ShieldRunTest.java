package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.Ballot;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.control.Json;
import org.rowanvalve.data.Answer;
import org.rowanvalve.data.ClientRequest;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.SimNode;

/** Networks without stores: three shields vote, each with a disk, and operators state versions of their own. */
class ShieldRunTest {
    private static final ItemId ROUTE = new ItemId(Kind.ROUTE, "more");
    private static final List<String> ELECTORS = List.of("sh1", "sh2", "sh3");

    private static SimCluster quiet(final Place place, final long seed) {
        final SimCluster town = new SimCluster(place, seed).open();
        town.orderOperator().stop();
        return town;
    }

    private static Place place(final long seed) {
        return seed % 2 == 0 ? Place.coastlineShields() : Place.kilimanjaroShields();
    }

    private static String patch(final Place place, final long ver, final String note) {
        return Json.text(Map.of(
                "set",
                Map.of(
                        "routes",
                        Map.of(
                                ROUTE.name(),
                                Log.row(
                                        "host",
                                        "shop.example",
                                        "prefix",
                                        "/more/",
                                        "service",
                                        place.kin().get(0).service(),
                                        "mode",
                                        "cached",
                                        "lifetimeMs",
                                        500,
                                        "any",
                                        true,
                                        "version",
                                        ver,
                                        "note",
                                        note)))));
    }

    private static String drop(final long ver) {
        return Json.text(Map.of("drop", Map.of("routes", Map.of(ROUTE.name(), ver))));
    }

    private static void state(final SimCluster town, final String at, final String text, final List<Integer> said) {
        final SimNode n = town.node(at);
        n.post(() -> n.node().orders().patch(text.getBytes(StandardCharsets.UTF_8), s -> said.add(s.status())));
    }

    /** Version and note of the route at every node. */
    private static Set<String> seen(final SimCluster town) {
        final Set<String> all = new TreeSet<>();
        town.nodes().values().forEach(n -> {
            final Item i = n.node().held().get(ROUTE);
            all.add(i.ver().n() + " "
                    + (i.live() ? Json.read(i.body(), Map.class).get("note") : "gone"));
        });
        return all;
    }

    /** All power lost: what stands afterwards stood on disks. */
    private static void restarted(final SimCluster town) {
        List.copyOf(town.nodes().keySet()).forEach(n -> town.power(n, 1000));
        town.run(9000);
    }

    private static Msg told(final SimNode n, final Msg msg) {
        final Msg[] got = new Msg[1];
        n.node().take(NodeId.of("sh3"), msg, m -> got[0] = m);
        return got[0];
    }

    @ParameterizedTest
    @ValueSource(strings = {"sh1", "sh2", "sh3"})
    void anElectorWhoseDiskWasLostDoesNotVoteBeforeItIsRebuilt(final String blank) {
        final String down = blank.equals("sh1") ? "sh2" : "sh1";
        final String left = blank.equals("sh3") ? "sh2" : "sh3";
        final SimCluster town = quiet(place(blank.hashCode()), 3);
        town.node(down).kill();
        town.loseDisk(blank, 500);
        town.run(3000);
        final List<Integer> said = new ArrayList<>();
        state(town, left, patch(town.place(), 9, "x"), said);
        for (int i = 0; i < 20; i++) {
            town.run(300);
            assertFalse(town.node(blank).node().elector().full());
            final Msg p = told(town.node(blank), new Msg.Prepare(0, ROUTE, new Ballot(1_000_000, "z")));
            final Msg a = told(
                    town.node(blank),
                    new Msg.Accept(
                            0, new Ballot(1_000_000, "z"), Item.none(ROUTE).next("{}", "z"), null));
            assertEquals(List.of(new Msg.Nay("amnesia"), new Msg.Nay("amnesia")), List.of(p, a));
        }
        assertFalse(said.contains(200), said.toString());
        town.start(down);
        town.run(4000);
        assertTrue(town.node(blank).node().elector().full());
        state(town, blank, patch(town.place(), 9, "y"), said);
        town.run(2000);
        assertEquals(200, said.get(said.size() - 1));
        assertEquals(1, seen(town).size());
    }

    private static Stream<Arguments> losses() {
        final List<Arguments> all = new ArrayList<>();
        long seed = 0;
        for (final String victim : List.of("sh1", "sh2", "sh3", "sh4", "authority")) {
            for (final String power : List.of("alone", "shields", "all")) {
                for (final boolean first : List.of(true, false)) {
                    all.add(Arguments.of(victim, power, first, ++seed));
                }
            }
        }
        return all.stream();
    }

    /** In the instant in which a write and a keyed request were answered: one disk lost, whatever else loses power. */
    @ParameterizedTest
    @MethodSource("losses")
    void anyOneDiskLostRightAfterTheAnswerLosesNothing(
            final String who, final String power, final boolean first, final long seed) {
        final SimCluster town = quiet(place(seed), seed);
        town.net().slow(seed % 3 == 0 ? 80 : 0);
        town.run(1000);
        final String victim = who.equals("authority") ? town.boss() : who;
        final List<Integer> disks = new ArrayList<>();
        final Place.EdgeRouting w = town.place().ways().stream()
                .filter(x -> x.mode().equals("once"))
                .findFirst()
                .orElseThrow();
        final ClientRequest ask = new ClientRequest(
                "POST",
                w.host(),
                w.prefix() + "1",
                "the-key",
                "{}".getBytes(),
                "application/json",
                "a-own",
                2000,
                null,
                Map.of());
        final List<String> bodies = new ArrayList<>();
        final int[] left = {2};
        final Runnable lose = () -> {
            if (--left[0] > 0) {
                return;
            }
            final List<String> gone = new ArrayList<>(
                    power.equals("all")
                            ? town.nodes().keySet()
                            : power.equals("shields")
                                    ? town.nodes().keySet().stream()
                                            .filter(n -> n.startsWith("sh"))
                                            .toList()
                                    : List.of(victim));
            gone.forEach(n -> town.power(n, n.equals(victim) ? first ? 300 : 2500 : 900 + seed * 37 % 500));
            town.node(victim).disk().lose();
        };
        town.node("ed1")
                .post(() -> town.node("ed1").node().edge().take(ask, a -> {
                    bodies.add(a.fate() + new String(a.body(), StandardCharsets.UTF_8));
                    lose.run();
                }));
        final SimNode at = town.node("sh4");
        final Map<String, Object> sent = Log.row(
                "log",
                "op",
                "what",
                "sent",
                "t",
                town.world().now(),
                "end",
                town.world().now(),
                "item",
                ROUTE.text(),
                "version",
                9,
                "note",
                "x",
                "status",
                0);
        town.log().add(sent);
        at.post(() -> at.node().orders().patch(patch(town.place(), 9, "x").getBytes(StandardCharsets.UTF_8), s -> {
            final Map<String, Object> put = new LinkedHashMap<>(sent);
            put.putAll(Log.row("what", "put", "end", town.world().now(), "status", s.status()));
            town.log().add(put);
            assertEquals(200, s.status());
            disks.add((int) ELECTORS.stream()
                    .filter(e -> town.node(e).disk().has("e/" + ROUTE.text()))
                    .count());
            lose.run();
        }));
        town.run(20_000);
        assertTrue(disks.size() == 1 && disks.get(0) >= 2, "on " + disks + " disks when it was answered");
        assertEquals(Set.of("9 x"), seen(town));
        ELECTORS.forEach(e -> assertTrue(town.node(e).node().elector().full(), e));
        town.node("ed2")
                .post(() -> town.node("ed2")
                        .node()
                        .edge()
                        .take(ask, a -> bodies.add(a.fate() + new String(a.body(), StandardCharsets.UTF_8))));
        town.run(3000);
        assertEquals(2, bodies.size());
        assertTrue(bodies.get(0).startsWith(Answer.DONE), bodies.get(0));
        assertEquals(bodies.get(0), bodies.get(1));
        final Judge judge = new Judge(town.close());
        assertTrue(judge.clean(), judge.text(3));
        assertTrue(judge.rule(13).checked() > 0);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void ofTwoOperatorsWithOneVersionOneWinsEverywhere(final long seed) {
        final SimCluster town = quiet(place(seed), seed);
        town.net().slow(seed % 3 * 40);
        if (seed > 4) {
            town.node(ELECTORS.get((int) seed % 3)).kill();
        }
        final List<String> up = town.nodes().keySet().stream()
                .filter(n -> n.startsWith("sh") && town.node(n).alive())
                .toList();
        final List<Integer> said = new ArrayList<>();
        for (int i = 1; i <= 5; i++) {
            state(town, up.get(0), patch(town.place(), 7 + i, "left" + i), said);
            state(town, up.get(1), patch(town.place(), 7 + i, "right" + i), said);
            town.run(4000);
            assertEquals(i, said.stream().filter(s -> s == 200).count(), "one of them has the number");
            assertEquals(i, said.stream().filter(s -> s == 409).count(), "the other hears so");
        }
        ELECTORS.forEach(town::start);
        town.run(5000);
        assertEquals(1, seen(town).size(), seen(town).toString());
        final Set<String> before = seen(town);
        restarted(town);
        assertEquals(before, seen(town), "on the disks");
        assertTrue(before.iterator().next().matches("12 (left|right)5"));
    }

    /** Over links as slow as a round of votes is long, with one elector down, neither keeps the other from its answer. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void twoOperatorsAtOnceAreBothAnsweredOverSlowLinks(final long seed) {
        final SimCluster town = quiet(place(seed), seed);
        town.crowd().factor(0.05);
        town.net().slow(120);
        town.node(ELECTORS.get((int) seed % 3)).kill();
        town.run(3000);
        final List<String> up = town.nodes().keySet().stream()
                .filter(n -> n.startsWith("sh") && town.node(n).alive())
                .toList();
        final List<Integer> said = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            state(town, up.get(0), patch(town.place(), 7 + i, "left" + i), said);
            state(town, up.get(1), patch(town.place(), 7 + i, "right" + i), said);
            town.run(3500);
        }
        assertEquals(6, said.stream().filter(s -> s == 200).count(), said.toString());
        assertEquals(6, said.stream().filter(s -> s == 409).count(), said.toString());
        assertEquals(12, said.size());
    }

    /** An older call that comes late, also after the item was dropped or all shields were killed, alters nothing. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void anOlderVersionThatComesLateAltersNothing(final long seed) {
        final SimCluster town = quiet(place(seed), seed);
        final List<Integer> said = new ArrayList<>();
        state(town, "sh1", patch(town.place(), 20, "new"), said);
        town.run(1000);
        state(town, "sh2", patch(town.place(), 19, "old"), said);
        town.run(1000);
        assertEquals(Set.of("20 new"), seen(town));
        state(town, "sh3", drop(25), said);
        town.run(1000);
        town.place().disks().forEach(n -> town.kill(n, 700));
        town.run(5000);
        state(town, "sh4", patch(town.place(), 24, "old"), said);
        state(town, "sh2", drop(22), said);
        town.run(2000);
        assertEquals(Set.of("25 gone"), seen(town));
        assertEquals(List.of(200, 200, 200, 200, 200), said);
        restarted(town);
        assertEquals(Set.of("25 gone"), seen(town), "on the disks");
    }

    /** All electors lose power while one disk is lost, and the one that missed the write comes back first. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void anElectorThatMissedAWriteDoesNotSpeakForItAlone(final long seed) {
        final SimCluster town = quiet(place(seed), seed);
        final String away = ELECTORS.get((int) (seed % 3));
        final String victim = ELECTORS.get((int) ((seed + 1) % 3));
        final String other = ELECTORS.get((int) ((seed + 2) % 3));
        town.kill(away, 0);
        town.run(4000);
        final List<Integer> said = new ArrayList<>();
        state(town, other, patch(town.place(), 9, "x"), said);
        town.run(1000);
        assertEquals(List.of(200), said);
        List.copyOf(town.nodes().keySet()).stream()
                .filter(n -> town.node(n).alive())
                .forEach(n -> town.power(n, 0));
        town.node(victim).disk().lose();
        town.nodes().keySet().stream().filter(n -> !n.equals(other)).forEach(town::start);
        town.run(6000);
        assertFalse(town.node(victim).node().elector().full());
        town.start(other);
        town.run(9000);
        assertEquals(Set.of("9 x"), seen(town));
    }
}
