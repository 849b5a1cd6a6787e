package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.control.config.Purge;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.operator.ApiResponse;
import org.rowanvalve.data.node.Node;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.SimNode;

/**
 * What all shields have to do after they ended together must not follow from how much was changed before: on processors
 * that handle a message in its time, service is back as soon after hundreds of changes as after a few.
 */
class RecoveryAfterChangesTest {
    private static final long MICROS_PER_MESSAGE = 500;
    private static final long MICROS_PER_KILOBYTE = 50;
    private static final long CHANGE_INTERVAL_MS = 60;
    private static final int FEW = 20;
    private static final int MANY = 400;
    /** From the start of the processes until every shield has a confirmed view. */
    private static final long BOUND_MS = 1500;

    /** As long with the edges, which start anew too, and with a voter that reads the others' state. */
    private static final long ALL_POWER_BOUND_MS = 4000;

    private static final long STEP_MS = 50;
    private static final long PATIENCE_MS = 15_000;
    private static final long RETRY_MS = 300;
    private static final long DOWN_MS = 900;

    private static byte[] routeAdded(final Deployment deployment, final int number) {
        final Map<String, Object> route = ShieldNetworks.route(deployment, "/added" + number + "/", 1000 + number);
        route.putAll(Map.of("timeoutMs", 2000, "aimMs", 300, "rank", 1, "tries", 2));
        final Map<String, Object> update = new LinkedHashMap<>();
        update.put("set", Map.of("routes", Map.of("added" + number, route)));
        if (number % MANY > 0) {
            update.put("drop", Map.of("routes", Map.of("added" + (number - 1), 1000 + number)));
        }
        return Json.write(update).getBytes(StandardCharsets.UTF_8);
    }

    /** A network in which so many routes were added, and dropped again, and as many objects purged. */
    private static SimCluster changed(final Deployment deployment, final long seed, final int changes) {
        final SimCluster cluster = ShieldNetworks.quiet(deployment, seed);
        cluster.crowd().factor(0.02);
        change(cluster, deployment, 0, changes);
        cluster.nodes().values().forEach(node -> node.messageCost(MICROS_PER_MESSAGE, MICROS_PER_KILOBYTE));
        return cluster;
    }

    private static void change(final SimCluster cluster, final Deployment deployment, final int from, final int to) {
        final List<String> taken = new ArrayList<>();
        for (int i = from; i < to; i++) {
            final int number = i;
            final byte[] update = routeAdded(deployment, i);
            final Purge purge = new Purge(null, "/p/" + i, null, "shop.example", null);
            untilTaken(
                    cluster,
                    1 + i % 3,
                    (node, back) -> node.updateService().apply(update, back),
                    () -> taken.add("route " + number));
            untilTaken(
                    cluster,
                    1 + i % 3,
                    (node, back) -> node.updateService().purge(purge, back),
                    () -> taken.add("purge " + number));
            cluster.run(CHANGE_INTERVAL_MS + 5 * deployment.regionMs());
        }
        cluster.run(4000);
        assertEquals(2 * (to - from), taken.size());
    }

    /** As an operator: sends a call that was not taken again, to the next shield. */
    private static void untilTaken(
            final SimCluster cluster,
            final int shield,
            final BiConsumer<Node, Consumer<ApiResponse>> call,
            final Runnable taken) {
        final SimNode node = cluster.node("sh" + shield);
        node.execute(() -> call.accept(node.node(), response -> {
            if (response.status() == 200) {
                taken.run();
            } else {
                cluster.world().in(RETRY_MS, () -> untilTaken(cluster, 1 + shield % 3, call, taken));
            }
        }));
    }

    private static boolean hasConfirmedViews(final SimCluster cluster) {
        return cluster.nodes().values().stream()
                .allMatch(node -> node.alive() && node.node().viewSynchronizer().isFresh());
    }

    /** From the start of the processes until every view is confirmed, in ms. */
    private static long recoveryMs(final SimCluster cluster) {
        cluster.run(DOWN_MS + STEP_MS);
        long waitedMs = STEP_MS;
        while (!hasConfirmedViews(cluster) && waitedMs < PATIENCE_MS) {
            cluster.run(STEP_MS);
            waitedMs += STEP_MS;
        }
        return waitedMs;
    }

    private static void endAllShields(final SimCluster cluster) {
        cluster.place().shieldNames().forEach(shield -> cluster.kill(shield, DOWN_MS));
    }

    private static void assertRecovers(final SimCluster cluster, final long boundMs, final String after) {
        final long tookMs = recoveryMs(cluster);
        assertTrue(tookMs <= boundMs, after + ": " + tookMs + " ms");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void viewsAreConfirmedAsSoonAfterHundredsOfChangesAsAfterAFew(final long seed) {
        final Deployment deployment = ShieldNetworks.deployment(seed);
        final SimCluster few = changed(deployment, seed, FEW);
        endAllShields(few);
        assertRecovers(few, BOUND_MS, "all shields, " + FEW + " changes");
        final SimCluster many = changed(deployment, seed, MANY);
        endAllShields(many);
        assertRecovers(many, BOUND_MS, "all shields, " + MANY + " changes");
    }

    /** The edges lose what they know too, and one voter its disk, so it rebuilds while all others ask for everything. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void allPowerAndADiskAreRecoveredFromAfterHundredsOfChanges(final long seed) {
        final SimCluster cluster = changed(ShieldNetworks.deployment(seed), seed, MANY);
        final List<String> lost = seed < 3 ? List.of("sh" + seed) : List.of();
        final long before = cluster.node("ed1").node().items().all().size();
        cluster.blackout(lost, DOWN_MS);
        cluster.run(600);
        assertRecovers(cluster, ALL_POWER_BOUND_MS, "all power, disks lost: " + lost);
        for (final SimNode node : cluster.nodes().values()) {
            assertEquals(before, node.node().items().all().size(), "items at " + node.id());
        }
    }

    /** Ends of all shields in a row, each before the last one is long over, with changes between them. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void endsInARowDoNotAddUp(final long seed) {
        final Deployment deployment = ShieldNetworks.deployment(seed);
        final SimCluster cluster = changed(deployment, seed, MANY / 2);
        for (int series = 1; series <= 5; series++) {
            endAllShields(cluster);
            assertRecovers(cluster, BOUND_MS, "end " + series);
            cluster.run(5000);
            change(cluster, deployment, MANY * series, MANY * series + FEW);
        }
    }
}
