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
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.config.Purge;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.origin.StandInBackend;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.sim.SimCluster;

/** Networks without stores: what origins, callers and purges see of them. */
class ShieldTrafficTest {
    /** A beat that comes late does not bring back an origin that is leaving or has ended. */
    @Test
    void aLateBeatBringsNoOriginBack() {
        final SimCluster cluster = ShieldNetworks.quiet(Deployment.kilimanjaroShields(), 2);
        final String service = cluster.place().kin().get(0).service();
        final List<Integer> said = new ArrayList<>();
        final Origin ready = new Origin(service, "127.9.9.9", 80, "i-own", ServiceKind.OPEN, 0, 0, false, 4, "", 8, 0);
        final Origin out = new Origin(service, "127.9.9.9", 80, "i-own", ServiceKind.OPEN, 0, 0, true, 5, "", 8, 0);
        final Origin late = new Origin(service, "127.9.9.9", 80, "i-own", ServiceKind.OPEN, 0, 0, false, 6, "", 8, 0);
        final List<Runnable> steps = List.of(
                () -> cluster.node("sh1")
                        .node()
                        .originRegistry()
                        .onHeartbeat("i-own", ready, response -> said.add(response.status())),
                () -> cluster.node("sh2")
                        .node()
                        .originRegistry()
                        .onHeartbeat("i-own", out, response -> said.add(response.status())),
                () -> cluster.node("sh3")
                        .node()
                        .originRegistry()
                        .onHeartbeat("i-own", ready, response -> said.add(response.status())),
                () -> cluster.node("sh4")
                        .node()
                        .originRegistry()
                        .onHeartbeat("i-own", late, response -> said.add(response.status())),
                () -> cluster.node("sh1")
                        .node()
                        .originRegistry()
                        .onEnd("i-own", response -> said.add(response.status())),
                () -> cluster.node("sh2")
                        .node()
                        .originRegistry()
                        .onHeartbeat("i-own", late, response -> said.add(response.status())));
        for (int i = 0; i < steps.size(); i++) {
            cluster.node("sh1").execute(steps.get(i));
            cluster.run(1000);
            final boolean there = i == 0;
            cluster.nodes()
                    .values()
                    .forEach(node -> assertEquals(
                            there,
                            node.node().configuration().liveOrigins(service, node.now()).keySet().stream()
                                    .anyMatch(other -> other.name().equals("i-own")),
                            node.id().text()));
        }
        assertEquals(List.of(200, 200, 200, 200, 200, 200), said);
    }

    /** Copies at edges and shields end with a purge of their tag, or of their host and path, and no others do. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aPurgeByTagOrPathEndsTheCopiesItNames(final boolean wide) {
        final SimCluster cluster = ShieldNetworks.quiet(Deployment.kilimanjaroShields(), 4);
        cluster.crowd().factor(0.001);
        cluster.run(3000);
        final Deployment.TrafficClass traffic = cluster.place().ways().stream()
                .filter(x -> x.route().equals("catalogue"))
                .findFirst()
                .orElseThrow();
        final String path = traffic.prefix() + "78";
        final List<String> said = new ArrayList<>();
        final Runnable ask = () -> List.of("ed1", "ed2", "ed3")
                .forEach(e -> cluster.node(e)
                        .execute(() -> cluster.node(e)
                                .node()
                                .edge()
                                .handle(
                                        new ClientRequest(
                                                "GET",
                                                traffic.host(),
                                                path,
                                                null,
                                                new byte[0],
                                                "",
                                                "p-" + e + said.size(),
                                                1000,
                                                null,
                                                Map.of()),
                                        response -> said.add(response.status() + " "
                                                + Json.read(
                                                                new String(response.body(), StandardCharsets.UTF_8),
                                                                Map.class)
                                                        .get("rev")))));
        ask.run();
        cluster.run(500);
        cluster.stock("shelf").change(path);
        ask.run();
        cluster.run(500);
        final List<Integer> purged = new ArrayList<>();
        final Purge other = new Purge(null, path + "9", null, traffic.host(), null);
        final Purge what = wide
                ? new Purge(null, null, null, null, StandInBackend.tag(path))
                : new Purge(null, path, null, traffic.host(), null);
        cluster.node("sh2")
                .execute(() -> cluster.node("sh2").node().updateService().purge(other, s -> purged.add(s.status())));
        cluster.run(1000);
        ask.run();
        cluster.run(500);
        cluster.node("sh2")
                .execute(() -> cluster.node("sh2").node().updateService().purge(what, s -> purged.add(s.status())));
        cluster.run(1000);
        ask.run();
        cluster.run(500);
        assertEquals(List.of(200, 200), purged);
        assertEquals(Set.of("200 1"), Set.copyOf(said.subList(0, 9)));
        assertEquals(Set.of("200 2"), Set.copyOf(said.subList(9, 12)));
    }

    /** Five times the usual requests for objects that end at once: what all holders send stays under the one rate. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void theCeilingHoldsForAllOriginsTogetherUnderASurge(final long seed) {
        final SimCluster cluster = new SimCluster(ShieldNetworks.deployment(seed), seed).open();
        cluster.crowd().factor(5);
        cluster.run(12_000);
        cluster.crowd().factor(0.001);
        final Judge judge = new Judge(cluster.close());
        assertEquals(List.of(), judge.rule(16).breaches());
        assertTrue(judge.rule(16).checked() > 500);
    }
}
