package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.control.Json;
import org.rowanvalve.control.Origin;
import org.rowanvalve.control.Purge;
import org.rowanvalve.data.ClientRequest;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.sim.SimCluster;

/** Networks without stores: what origins, callers and purges see of them. */
class ShieldTrafficTest {
    private static SimCluster quiet(final Place place, final long seed) {
        final SimCluster town = new SimCluster(place, seed).open();
        town.orderOperator().stop();
        return town;
    }

    private static Place place(final long seed) {
        return seed % 2 == 0 ? Place.coastlineShields() : Place.kilimanjaroShields();
    }

    /** A beat that comes late does not bring back an origin that is leaving or has ended. */
    @Test
    void aLateBeatBringsNoOriginBack() {
        final SimCluster town = quiet(Place.kilimanjaroShields(), 2);
        final String service = town.place().kin().get(0).service();
        final List<Integer> said = new ArrayList<>();
        final Origin ready = new Origin(service, "127.9.9.9", 80, "i-own", "open", 0, 0, false, 4, "", 8, 0);
        final Origin out = new Origin(service, "127.9.9.9", 80, "i-own", "open", 0, 0, true, 5, "", 8, 0);
        final Origin late = new Origin(service, "127.9.9.9", 80, "i-own", "open", 0, 0, false, 6, "", 8, 0);
        final List<Runnable> steps = List.of(
                () -> town.node("sh1").node().registry().beat("i-own", ready, s -> said.add(s.status())),
                () -> town.node("sh2").node().registry().beat("i-own", out, s -> said.add(s.status())),
                () -> town.node("sh3").node().registry().beat("i-own", ready, s -> said.add(s.status())),
                () -> town.node("sh4").node().registry().beat("i-own", late, s -> said.add(s.status())),
                () -> town.node("sh1").node().registry().end("i-own", s -> said.add(s.status())),
                () -> town.node("sh2").node().registry().beat("i-own", late, s -> said.add(s.status())));
        for (int i = 0; i < steps.size(); i++) {
            town.node("sh1").post(steps.get(i));
            town.run(1000);
            final boolean there = i == 0;
            town.nodes()
                    .values()
                    .forEach(n -> assertEquals(
                            there,
                            n.node().view().live(service, n.now()).keySet().stream()
                                    .anyMatch(o -> o.name().equals("i-own")),
                            n.id().text()));
        }
        assertEquals(List.of(200, 200, 200, 200, 200, 200), said);
    }

    /** Copies at edges and shields end with a purge of their tag, or of their host and path, and no others do. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aPurgeByTagOrPathEndsTheCopiesItNames(final boolean wide) {
        final SimCluster town = quiet(Place.kilimanjaroShields(), 4);
        town.crowd().factor(0.001);
        town.run(3000);
        final Place.EdgeRouting w = town.place().ways().stream()
                .filter(x -> x.route().equals("catalogue"))
                .findFirst()
                .orElseThrow();
        final String path = w.prefix() + "78";
        final List<String> said = new ArrayList<>();
        final Runnable ask = () -> List.of("ed1", "ed2", "ed3")
                .forEach(e -> town.node(e)
                        .post(() -> town.node(e)
                                .node()
                                .edge()
                                .take(
                                        new ClientRequest(
                                                "GET",
                                                w.host(),
                                                path,
                                                null,
                                                new byte[0],
                                                "",
                                                "p-" + e + said.size(),
                                                1000,
                                                null,
                                                Map.of()),
                                        a -> said.add(a.status() + " "
                                                + Json.read(new String(a.body(), StandardCharsets.UTF_8), Map.class)
                                                        .get("rev")))));
        ask.run();
        town.run(500);
        town.stock("shelf").change(path);
        ask.run();
        town.run(500);
        final List<Integer> purged = new ArrayList<>();
        final Purge other = new Purge(null, path + "9", null, w.host(), null);
        final Purge what =
                wide ? new Purge(null, null, null, null, Stock.tag(path)) : new Purge(null, path, null, w.host(), null);
        town.node("sh2").post(() -> town.node("sh2").node().orders().purge(other, s -> purged.add(s.status())));
        town.run(1000);
        ask.run();
        town.run(500);
        town.node("sh2").post(() -> town.node("sh2").node().orders().purge(what, s -> purged.add(s.status())));
        town.run(1000);
        ask.run();
        town.run(500);
        assertEquals(List.of(200, 200), purged);
        assertEquals(Set.of("200 1"), Set.copyOf(said.subList(0, 9)));
        assertEquals(Set.of("200 2"), Set.copyOf(said.subList(9, 12)));
    }

    /** Five times the usual requests for objects that end at once: what all holders send stays under the one rate. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void theCeilingHoldsForAllOriginsTogetherUnderASurge(final long seed) {
        final SimCluster town = new SimCluster(place(seed), seed).open();
        town.crowd().factor(5);
        town.run(12_000);
        town.crowd().factor(0.001);
        final Judge judge = new Judge(town.close());
        assertEquals(List.of(), judge.rule(16).breaches());
        assertTrue(judge.rule(16).checked() > 500);
    }
}
