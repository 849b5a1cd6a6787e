package org.rowanvalve.control.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.control.config.Purge;
import org.rowanvalve.control.json.Json;

/**
 * The total size of what operators define is limited when an update is received, since no voter could leave a state
 * that does not fit into its memory.
 */
class ConfigurationLimitTest {
    private static final String NOTE = "n".repeat(430);
    private static final int SERVICES_PER_BATCH = 400;
    private static final int LIMIT_BYTES = 1 << 20;
    private static final int MAX_BATCHES = 8;
    private static final NodeId FIRST = UpdateCluster.IDS.get(0);
    private final UpdateCluster cluster = new UpdateCluster(11, new UpdateLimits(LIMIT_BYTES, LIMIT_BYTES));

    private static String setServices(final int from, final int to) {
        final Map<String, Object> services = new TreeMap<>();
        for (int i = from; i < to; i++) {
            services.put("s" + i, Map.of("kind", "open", "note", NOTE, "version", 1));
        }
        return Json.write(Map.of("set", Map.of("services", services)));
    }

    private static String batch(final int number) {
        return setServices(SERVICES_PER_BATCH * number, SERVICES_PER_BATCH * number + SERVICES_PER_BATCH);
    }

    private static String deleteServices(final int from, final int to) {
        final Map<String, Object> versions = new TreeMap<>();
        for (int i = from; i < to; i++) {
            versions.put("s" + i, 2);
        }
        return Json.write(Map.of("drop", Map.of("services", versions)));
    }

    private int send(final NodeId at, final String update) {
        final List<Integer> statuses = new ArrayList<>();
        cluster.sendUpdate(at, update, statuses::add);
        cluster.loop.run(6000);
        return statuses.isEmpty() ? 0 : statuses.get(0);
    }

    private boolean exists(final NodeId at, final int number) {
        return cluster.item(at, UpdateCluster.service("s" + number)).exists();
    }

    /** Adds batches of services until one is rejected; returns the number of the rejected batch. */
    private int fill() {
        int batch = 0;
        int status = send(FIRST, batch(batch));
        while (status == 200 && batch < MAX_BATCHES) {
            batch++;
            status = send(FIRST, batch(batch));
        }
        assertEquals(413, status);
        return batch;
    }

    /** Guards against a configuration that grows until no process can keep it in memory, not even after a restart. */
    @Test
    void updateBeyondTheLimitIsRejectedAsAWholeAtEveryNode() {
        final int rejected = fill();
        assertTrue(rejected >= 3, "accepted batches: " + rejected);
        for (final NodeId id : UpdateCluster.IDS) {
            assertEquals(413, send(id, batch(rejected)), "at " + id);
            assertEquals(200, send(id, batch(rejected - 1)), "an accepted batch again at " + id);
            assertFalse(exists(id, SERVICES_PER_BATCH * rejected));
            assertTrue(exists(id, SERVICES_PER_BATCH * rejected - 1));
        }
    }

    /** Guards against a full configuration from which nothing can be deleted and in which nothing can be changed. */
    @Test
    void fullConfigurationCanBeReducedAndChanged() {
        final int rejected = fill();
        final String changed =
                setServices(0, 10).replace("\"version\":1", "\"version\":5").replace("nnnn", "mmmm");
        assertEquals(200, send(FIRST, changed), "a change of the same size");
        assertEquals(200, send(FIRST, deleteServices(100, 100 + SERVICES_PER_BATCH)));
        assertEquals(200, send(UpdateCluster.IDS.get(2), batch(rejected)));
        UpdateCluster.IDS.forEach(id -> assertTrue(exists(id, SERVICES_PER_BATCH * rejected), "at " + id));
    }

    /**
     * Guards against a configuration above the limit that cannot be reduced, after the limit was lowered or because an
     * earlier release allowed more.
     */
    @Test
    void configurationAboveTheLimitCanBeReducedAndChanged() {
        final int rejected = fill();
        cluster.restart(new UpdateLimits(LIMIT_BYTES, LIMIT_BYTES / 2));
        assertEquals(413, send(FIRST, batch(rejected)));
        final String changed =
                setServices(0, 10).replace("\"version\":1", "\"version\":5").replace("nnnn", "mmmm");
        assertEquals(200, send(FIRST, changed), "a change of the same size");
        assertEquals(200, send(UpdateCluster.IDS.get(3), deleteServices(100, 200)));
        UpdateCluster.IDS.forEach(id -> assertFalse(exists(id, 150), "at " + id));
        assertEquals(413, send(FIRST, setServices(100, 200).replace("\"version\":1", "\"version\":9")));
    }

    /**
     * Guards against purges that use up the limit of the configuration; a long-running cluster accumulates any number
     * of purges.
     */
    @Test
    void purgesDoNotCountTowardsTheLimit() {
        for (int i = 0; i < 600; i++) {
            final String path = "/" + i + "p".repeat(2048);
            cluster.updateService(FIRST).purge(new Purge(null, path, null, "h.example", null), response -> {});
            cluster.loop.run(20);
        }
        cluster.loop.run(5000);
        assertEquals(200, send(FIRST, batch(0)));
        assertEquals(200, send(UpdateCluster.IDS.get(1), batch(1)));
    }

    /** Guards against concurrent updates that fit one by one but not together. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void concurrentUpdatesDoNotExceedTheLimitTogether(final long seed) {
        final UpdateCluster cluster = new UpdateCluster(seed, new UpdateLimits(LIMIT_BYTES, LIMIT_BYTES));
        final List<UpdateCluster.Client> clients = new ArrayList<>();
        for (int number = 0; number < 8; number++) {
            final UpdateCluster.Client client = cluster.new Client(batch(number), 0.2);
            clients.add(client);
            client.send(UpdateCluster.IDS.get(number % UpdateCluster.IDS.size()));
        }
        cluster.loop.run(60_000);
        for (int number = 0; number < 8; number++) {
            final int status = clients.get(number).status;
            assertTrue(status == 200 || status == 413, "batch " + number + ": " + status);
            for (final NodeId id : UpdateCluster.IDS) {
                final boolean exists = cluster.item(id, UpdateCluster.service("s" + SERVICES_PER_BATCH * number))
                        .exists();
                assertEquals(status == 200, exists, "batch " + number + " at " + id);
            }
        }
        assertTrue(clients.stream().anyMatch(client -> client.status == 413));
        assertTrue(clients.stream().filter(client -> client.status == 200).count() >= 3);
    }

    /**
     * Guards against requests that list every item although few have changed; such requests delay all other traffic on
     * a slow link.
     */
    @Test
    void requestsForItemsGrowWithTheChangesAndNotWithTheItems() {
        final UpdateCluster cluster = new UpdateCluster(3);
        final List<Integer> largest = new ArrayList<>();
        for (int batch = 0; batch < 6; batch++) {
            final List<Integer> statuses = new ArrayList<>();
            cluster.sendUpdate(FIRST, setServices(1000 * batch, 1000 * batch + 1000), statuses::add);
            cluster.loop.run(10_000);
            assertEquals(List.of(200), statuses);
            cluster.takeLargestRequestBytes();
            cluster.sendUpdate(FIRST, setServices(20_000 + 200 * batch, 20_200 + 200 * batch), statuses::add);
            cluster.loop.run(5000);
            assertEquals(List.of(200, 200), statuses);
            largest.add(cluster.takeLargestRequestBytes());
        }
        assertTrue(largest.get(0) > 0);
        assertTrue(largest.get(5) < 2 * largest.get(0), "request sizes in bytes: " + largest);
    }
}
