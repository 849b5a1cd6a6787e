package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.SimNode;

/** Whole nodes with a configuration whose state fills several messages, and disks that are lost one after the other. */
class LargeConfigurationTest {
    private static final int CALLS = 6;
    private static final int PER_CALL = 1000;
    private static final String NOTE = "n".repeat(400);
    private static final long DOWN_MS = 300;
    private static final long CATCH_UP_MS = 6000;
    private static final long CALL_MS = 20_000;

    private static byte[] call(final int number) {
        final Map<String, Object> services = new TreeMap<>();
        for (int i = 0; i < PER_CALL; i++) {
            services.put("large" + (PER_CALL * number + i), Map.of("kind", "open", "note", NOTE, "version", 1));
        }
        return Json.write(Map.of("set", Map.of("services", services))).getBytes(StandardCharsets.UTF_8);
    }

    private static void apply(final SimCluster cluster, final String shield, final int number) {
        final List<Integer> statuses = new ArrayList<>();
        final SimNode node = cluster.node(shield);
        node.execute(() -> node.node().updateService().apply(call(number), r -> statuses.add(r.status())));
        cluster.run(CALL_MS);
        assertEquals(List.of(200), statuses, "call " + number);
    }

    private static Set<String> readBack(final SimCluster cluster, final String shield) {
        final List<Optional<Map<ItemKind, Map<String, Item>>>> answers = new ArrayList<>();
        final SimNode node = cluster.node(shield);
        node.execute(() -> node.node().updateService().readAll(answers::add));
        cluster.run(2000);
        assertEquals(1, answers.size());
        return answers.get(0)
                .map(all -> new HashSet<>(all.get(ItemKind.SERVICE).keySet()))
                .orElse(new HashSet<>());
    }

    /** Guards against a voter that never reads a large state back, so that one more lost disk ends the system. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void disksThatAreLostOneAfterTheOtherLoseNothing(final long seed) {
        final Deployment deployment = ShieldNetworks.deployment(seed);
        final SimCluster cluster = ShieldNetworks.quiet(deployment, seed);
        cluster.crowd().factor(0.1);
        cluster.run(1000);
        for (int number = 0; number < CALLS; number++) {
            apply(
                    cluster,
                    deployment
                            .shieldNames()
                            .get(number % deployment.shieldNames().size()),
                    number);
        }
        final Set<String> before = readBack(cluster, "sh1");
        assertTrue(before.size() >= CALLS * PER_CALL, before.size() + " services");
        for (final String lost : List.of("sh1", "sh2", "sh3", "sh1")) {
            cluster.loseDisk(lost, DOWN_MS);
            cluster.run(DOWN_MS + CATCH_UP_MS);
        }
        for (final String shield : deployment.shieldNames()) {
            assertEquals(before, readBack(cluster, shield), "at " + shield);
        }
    }
}
