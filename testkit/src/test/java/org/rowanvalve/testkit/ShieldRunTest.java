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
import org.rowanvalve.common.message.AcceptRequest;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.PrepareRequest;
import org.rowanvalve.common.message.RejectedResponse;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.log.RunLog;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.SimNode;

/** Networks without stores: three shields vote, each with a disk, and operators state versions of their own. */
class ShieldRunTest {
    private static final ItemId ROUTE = new ItemId(ItemKind.ROUTE, "more");
    private static final List<String> ELECTORS = List.of("sh1", "sh2", "sh3");

    private static String patch(final Deployment deployment, final long ver, final String note) {
        final Map<String, Object> route = ShieldNetworks.route(deployment, "/more/", ver);
        route.put("note", note);
        return Json.write(Map.of("set", Map.of("routes", Map.of(ROUTE.name(), route))));
    }

    private static String drop(final long ver) {
        return Json.write(Map.of("drop", Map.of("routes", Map.of(ROUTE.name(), ver))));
    }

    private static void state(final SimCluster cluster, final String at, final String text, final List<Integer> said) {
        final SimNode node = cluster.node(at);
        node.execute(() -> node.node()
                .updateService()
                .apply(text.getBytes(StandardCharsets.UTF_8), response -> said.add(response.status())));
    }

    /** Version and note of the route at every node. */
    private static Set<String> seen(final SimCluster cluster) {
        final Set<String> all = new TreeSet<>();
        cluster.nodes().values().forEach(node -> {
            final Item item = node.node().items().get(ROUTE);
            all.add(item.version().number() + " "
                    + (item.exists() ? Json.read(item.body(), Map.class).get("note") : "gone"));
        });
        return all;
    }

    /** All power lost: what stands afterwards stood on disks. */
    private static void restarted(final SimCluster cluster) {
        List.copyOf(cluster.nodes().keySet()).forEach(n -> cluster.power(n, 1000));
        cluster.run(9000);
    }

    private static Message told(final SimNode node, final Message msg) {
        final Message[] got = new Message[1];
        node.node().handle(NodeId.of("sh3"), msg, m -> got[0] = m);
        return got[0];
    }

    @ParameterizedTest
    @ValueSource(strings = {"sh1", "sh2", "sh3"})
    void anElectorWhoseDiskWasLostDoesNotVoteBeforeItIsRebuilt(final String blank) {
        final String down = blank.equals("sh1") ? "sh2" : "sh1";
        final String left = blank.equals("sh3") ? "sh2" : "sh3";
        final SimCluster cluster = ShieldNetworks.quiet(ShieldNetworks.deployment(blank.hashCode()), 3);
        cluster.node(down).kill();
        cluster.loseDisk(blank, 500);
        cluster.run(3000);
        final List<Integer> said = new ArrayList<>();
        state(cluster, left, patch(cluster.place(), 9, "x"), said);
        for (int i = 0; i < 20; i++) {
            cluster.run(300);
            assertFalse(cluster.node(blank).node().acceptor().hasState());
            final Message p = told(cluster.node(blank), new PrepareRequest(0, ROUTE, new Ballot(1_000_000, "z")));
            final Message a = told(
                    cluster.node(blank),
                    new AcceptRequest(
                            0, new Ballot(1_000_000, "z"), Item.none(ROUTE).successor("{}", "z"), null));
            assertEquals(List.of(new RejectedResponse("amnesia"), new RejectedResponse("amnesia")), List.of(p, a));
        }
        assertFalse(said.contains(200), said.toString());
        cluster.start(down);
        cluster.run(4000);
        assertTrue(cluster.node(blank).node().acceptor().hasState());
        state(cluster, blank, patch(cluster.place(), 9, "y"), said);
        cluster.run(2000);
        assertEquals(200, said.get(said.size() - 1));
        assertEquals(1, seen(cluster).size());
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
        final SimCluster cluster = ShieldNetworks.quiet(ShieldNetworks.deployment(seed), seed);
        cluster.net().slow(seed % 3 == 0 ? 80 : 0);
        cluster.run(1000);
        final String victim = who.equals("authority") ? cluster.boss() : who;
        final List<Integer> disks = new ArrayList<>();
        final Deployment.TrafficClass traffic = cluster.place().ways().stream()
                .filter(x -> x.mode().equals("once"))
                .findFirst()
                .orElseThrow();
        final ClientRequest request = new ClientRequest(
                "POST",
                traffic.host(),
                traffic.prefix() + "1",
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
                            ? cluster.nodes().keySet()
                            : power.equals("shields")
                                    ? cluster.nodes().keySet().stream()
                                            .filter(n -> n.startsWith("sh"))
                                            .toList()
                                    : List.of(victim));
            gone.forEach(n -> cluster.power(n, n.equals(victim) ? first ? 300 : 2500 : 900 + seed * 37 % 500));
            cluster.node(victim).disk().lose();
        };
        cluster.node("ed1")
                .execute(() -> cluster.node("ed1").node().edge().handle(request, response -> {
                    bodies.add(response.fate() + new String(response.body(), StandardCharsets.UTF_8));
                    lose.run();
                }));
        final SimNode node = cluster.node("sh4");
        final Map<String, Object> sent = RunLog.row(
                "log",
                "op",
                "what",
                "sent",
                "t",
                cluster.world().now(),
                "end",
                cluster.world().now(),
                "item",
                ROUTE.text(),
                "version",
                9,
                "note",
                "x",
                "status",
                0);
        cluster.log().add(sent);
        node.execute(() -> node.node()
                .updateService()
                .apply(patch(cluster.place(), 9, "x").getBytes(StandardCharsets.UTF_8), s -> {
                    final Map<String, Object> put = new LinkedHashMap<>(sent);
                    put.putAll(RunLog.row("what", "put", "end", cluster.world().now(), "status", s.status()));
                    cluster.log().add(put);
                    assertEquals(200, s.status());
                    disks.add((int) ELECTORS.stream()
                            .filter(e -> cluster.node(e).disk().has("e/" + ROUTE.text()))
                            .count());
                    lose.run();
                }));
        cluster.run(20_000);
        assertTrue(disks.size() == 1 && disks.get(0) >= 2, "on " + disks + " disks when it was answered");
        assertEquals(Set.of("9 x"), seen(cluster));
        ELECTORS.forEach(e -> assertTrue(cluster.node(e).node().acceptor().hasState(), e));
        cluster.node("ed2")
                .execute(() -> cluster.node("ed2")
                        .node()
                        .edge()
                        .handle(
                                request,
                                response -> bodies.add(
                                        response.fate() + new String(response.body(), StandardCharsets.UTF_8))));
        cluster.run(3000);
        assertEquals(2, bodies.size());
        assertTrue(bodies.get(0).startsWith(RequestOutcome.DONE.code()), bodies.get(0));
        assertEquals(bodies.get(0), bodies.get(1));
        final Judge judge = new Judge(cluster.close());
        assertTrue(judge.clean(), judge.text(3));
        assertTrue(judge.rule(13).checked() > 0);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void ofTwoOperatorsWithOneVersionOneWinsEverywhere(final long seed) {
        final SimCluster cluster = ShieldNetworks.quiet(ShieldNetworks.deployment(seed), seed);
        cluster.net().slow(seed % 3 * 40);
        if (seed > 4) {
            cluster.node(ELECTORS.get((int) seed % 3)).kill();
        }
        final List<String> up = cluster.nodes().keySet().stream()
                .filter(n -> n.startsWith("sh") && cluster.node(n).alive())
                .toList();
        final List<Integer> said = new ArrayList<>();
        for (int i = 1; i <= 5; i++) {
            state(cluster, up.get(0), patch(cluster.place(), 7 + i, "left" + i), said);
            state(cluster, up.get(1), patch(cluster.place(), 7 + i, "right" + i), said);
            cluster.run(4000);
            assertEquals(i, said.stream().filter(s -> s == 200).count(), "one of them has the number");
            assertEquals(i, said.stream().filter(s -> s == 409).count(), "the other hears so");
        }
        ELECTORS.forEach(cluster::start);
        cluster.run(5000);
        assertEquals(1, seen(cluster).size(), seen(cluster).toString());
        final Set<String> before = seen(cluster);
        restarted(cluster);
        assertEquals(before, seen(cluster), "on the disks");
        assertTrue(before.iterator().next().matches("12 (left|right)5"));
    }

    /** Over links as slow as a round of votes is long, with one elector down, neither keeps the other from its answer. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void twoOperatorsAtOnceAreBothAnsweredOverSlowLinks(final long seed) {
        final SimCluster cluster = ShieldNetworks.quiet(ShieldNetworks.deployment(seed), seed);
        cluster.crowd().factor(0.05);
        cluster.net().slow(120);
        cluster.node(ELECTORS.get((int) seed % 3)).kill();
        cluster.run(3000);
        final List<String> up = cluster.nodes().keySet().stream()
                .filter(n -> n.startsWith("sh") && cluster.node(n).alive())
                .toList();
        final List<Integer> said = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            state(cluster, up.get(0), patch(cluster.place(), 7 + i, "left" + i), said);
            state(cluster, up.get(1), patch(cluster.place(), 7 + i, "right" + i), said);
            cluster.run(3500);
        }
        assertEquals(6, said.stream().filter(s -> s == 200).count(), said.toString());
        assertEquals(6, said.stream().filter(s -> s == 409).count(), said.toString());
        assertEquals(12, said.size());
    }

    /** An older call that comes late, also after the item was dropped or all shields were killed, alters nothing. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void anOlderVersionThatComesLateAltersNothing(final long seed) {
        final SimCluster cluster = ShieldNetworks.quiet(ShieldNetworks.deployment(seed), seed);
        final List<Integer> said = new ArrayList<>();
        state(cluster, "sh1", patch(cluster.place(), 20, "new"), said);
        cluster.run(1000);
        state(cluster, "sh2", patch(cluster.place(), 19, "old"), said);
        cluster.run(1000);
        assertEquals(Set.of("20 new"), seen(cluster));
        state(cluster, "sh3", drop(25), said);
        cluster.run(1000);
        cluster.place().disks().forEach(n -> cluster.kill(n, 700));
        cluster.run(5000);
        state(cluster, "sh4", patch(cluster.place(), 24, "old"), said);
        state(cluster, "sh2", drop(22), said);
        cluster.run(2000);
        assertEquals(Set.of("25 gone"), seen(cluster));
        assertEquals(List.of(200, 200, 200, 200, 200), said);
        restarted(cluster);
        assertEquals(Set.of("25 gone"), seen(cluster), "on the disks");
    }

    /** All electors lose power while one disk is lost, and the one that missed the write comes back first. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void anElectorThatMissedAWriteDoesNotSpeakForItAlone(final long seed) {
        final SimCluster cluster = ShieldNetworks.quiet(ShieldNetworks.deployment(seed), seed);
        final String away = ELECTORS.get((int) (seed % 3));
        final String victim = ELECTORS.get((int) ((seed + 1) % 3));
        final String other = ELECTORS.get((int) ((seed + 2) % 3));
        cluster.kill(away, 0);
        cluster.run(4000);
        final List<Integer> said = new ArrayList<>();
        state(cluster, other, patch(cluster.place(), 9, "x"), said);
        cluster.run(1000);
        assertEquals(List.of(200), said);
        List.copyOf(cluster.nodes().keySet()).stream()
                .filter(n -> cluster.node(n).alive())
                .forEach(n -> cluster.power(n, 0));
        cluster.node(victim).disk().lose();
        cluster.nodes().keySet().stream().filter(n -> !n.equals(other)).forEach(cluster::start);
        cluster.run(6000);
        assertFalse(cluster.node(victim).node().acceptor().hasState());
        cluster.start(other);
        cluster.run(9000);
        assertEquals(Set.of("9 x"), seen(cluster));
    }
}
