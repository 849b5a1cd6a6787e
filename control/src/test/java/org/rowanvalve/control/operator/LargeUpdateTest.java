package org.rowanvalve.control.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.control.config.Purge;
import org.rowanvalve.control.json.Json;

/** Updates of every size are acknowledged, or rejected before any part takes effect; no size stops the cluster. */
class LargeUpdateTest {
    /** About as long as the body of a route of the users' platform. */
    private static final String NOTE = "n".repeat(430);

    private static final NodeId RECEIVER = UpdateCluster.IDS.get(0);
    private final UpdateCluster cluster = new UpdateCluster(7);

    private static String setServices(final int from, final int to, final long version) {
        final Map<String, Object> services = new TreeMap<>();
        for (int i = from; i < to; i++) {
            services.put("s" + i, Map.of("kind", "open", "note", NOTE, "version", version));
        }
        return Json.write(Map.of("set", Map.of("services", services)));
    }

    private int send(final NodeId at, final String update, final long ms) {
        final List<Integer> statuses = new ArrayList<>();
        cluster.sendUpdate(at, update, statuses::add);
        cluster.loop.run(ms);
        return statuses.isEmpty() ? 0 : statuses.get(0);
    }

    private boolean isReadable(final NodeId at) {
        final List<Boolean> answers = new ArrayList<>();
        cluster.updateService(at).readAll(all -> answers.add(all.isPresent()));
        cluster.loop.run(1000);
        return answers.equals(List.of(true));
    }

    /**
     * Guards against an update that makes the ledger larger than a message, after which nothing can be confirmed or
     * read.
     */
    @ParameterizedTest
    @ValueSource(ints = {1000, 3000, 4500, 6000, 6500, 7000, 7300, 7800, 8300, 12_000})
    void updateIsAcknowledgedOrRejectedAsAWholeAndReadsContinue(final int items) {
        assertEquals(200, send(RECEIVER, setServices(0, 3, 1), 2000));
        final int status = send(RECEIVER, setServices(100, 100 + items, 2), 4000 + 3L * items);
        assertTrue(status == 200 || status == 413, items + " items: " + status);
        assertEquals(items <= 4500, status == 200, items + " items: " + status);
        UpdateCluster.IDS.forEach(id -> assertTrue(isReadable(id), items + " items, read at " + id));
        UpdateCluster.IDS.forEach(id -> assertEquals(
                status == 200, cluster.item(id, UpdateCluster.service("s100")).exists(), "in force at " + id));
        assertEquals(200, send(UpdateCluster.IDS.get(1), setServices(0, 3, 3), 3000), "a later update");
    }

    /** Guards against concurrent updates that fit one by one but not together. */
    @Test
    void concurrentUpdatesDoNotOverfillTheLedger() {
        final List<Integer> statuses = new ArrayList<>();
        for (int client = 0; client < 3; client++) {
            cluster.sendUpdate(
                    UpdateCluster.IDS.get(client), setServices(5000 * client, 5000 * client + 4000, 1), statuses::add);
        }
        cluster.loop.run(30_000);
        assertEquals(3, statuses.size());
        assertTrue(statuses.contains(200), statuses.toString());
        assertTrue(statuses.stream().allMatch(status -> status == 200 || status == 503), statuses.toString());
        for (int client = 0; client < 3; client++) {
            assertEquals(
                    200,
                    send(UpdateCluster.IDS.get(client), setServices(5000 * client, 5000 * client + 4000, 1), 20_000),
                    "the same again");
        }
        UpdateCluster.IDS.forEach(id -> assertTrue(isReadable(id)));
    }

    /** Guards against an update that fits but is delayed for as long as it shares a batch with another one. */
    @Test
    void ofTwoUpdatesInABatchTheOneThatFitsIsRecorded() {
        final List<Integer> statuses = new ArrayList<>();
        cluster.sendUpdate(RECEIVER, setServices(0, 1, 1), statuses::add);
        cluster.sendUpdate(RECEIVER, setServices(5000, 9000, 1), statuses::add);
        cluster.sendUpdate(RECEIVER, setServices(10_000, 14_000, 1), statuses::add);
        cluster.loop.run(30_000);
        statuses.sort(null);
        assertEquals(List.of(200, 200, 503), statuses);
    }

    /** Guards against a voter that crashes during a large update: the other nodes complete what it has recorded. */
    @Test
    void largeUpdateIsCompletedAfterItsReceiverCrashes() {
        cluster.sendUpdate(RECEIVER, setServices(0, 4000, 1), status -> {});
        cluster.loop.run(600);
        cluster.crash(RECEIVER);
        cluster.loop.run(30_000);
        final NodeId other = UpdateCluster.IDS.get(1);
        assertEquals(200, send(other, setServices(0, 4000, 1), 16_000));
        assertTrue(isReadable(other));
    }

    /** Guards against a single item that does not fit into a message. */
    @Test
    void itemTooLargeForAMessageIsNeverProposed() {
        final List<Integer> statuses = new ArrayList<>();
        final String path = "/" + "p".repeat(Item.MAX_BYTES);
        cluster.updateService(RECEIVER)
                .purge(new Purge(null, path, null, "h.example", null), response -> statuses.add(response.status()));
        cluster.loop.run(4000);
        assertEquals(List.of(503), statuses);
        UpdateCluster.IDS.forEach(id -> assertTrue(isReadable(id)));
    }

    /** Guards against an item that is larger than a page and is therefore never sent to a node that lacks it. */
    @Test
    void nodeThatMissedALargeItemLearnsIt() {
        final NodeId absent = UpdateCluster.IDS.get(4);
        cluster.partition(absent);
        cluster.sendUpdate(RECEIVER, setServices(0, 4000, 1), status -> {});
        cluster.loop.run(400);
        cluster.healPartition();
        cluster.loop.run(3000);
        assertTrue(isReadable(absent));
        assertEquals(200, send(absent, setServices(0, 4000, 1), 16_000));
    }

    /** Guards against a ledger that lists every item for ever, so that each change writes and sends all of them. */
    @Test
    void ledgerDoesNotGrowWithTheNumberOfItems() {
        for (int part = 0; part < 3; part++) {
            assertEquals(200, send(RECEIVER, setServices(1000 * part, 1000 * part + 1000, 1), 8000));
        }
        cluster.loop.run(10_000);
        assertEquals(200, send(RECEIVER, setServices(5000, 5001, 1), 2000));
        final int length = cluster.item(RECEIVER, ItemId.LEDGER).body().length();
        assertTrue(length < 2000, "ledger of " + length + " characters");
        assertEquals(409, send(UpdateCluster.IDS.get(1), setServices(0, 1, 1).replace(NOTE, "another"), 2000));
        assertEquals(200, send(UpdateCluster.IDS.get(1), setServices(0, 1, 1), 2000), "the same again");
        assertEquals(
                409, send(UpdateCluster.IDS.get(3), setServices(1500, 1501, 1).replace(NOTE, "another"), 2000));
    }

    /** Guards against a recorded history that outgrows the ledger if every item changes again and again. */
    @Test
    void numberOfRecordedVersionsIsBounded() {
        for (int version = 1; version <= 6; version++) {
            for (int part = 0; part < 4; part++) {
                assertEquals(
                        200,
                        send(RECEIVER, setServices(1000 * part, 1000 * part + 1000, version), 6000),
                        "version " + version);
            }
        }
        final int length = cluster.item(RECEIVER, ItemId.LEDGER).body().length();
        assertTrue(length < Item.MAX_BYTES / 4, "ledger of " + length + " characters");
        assertEquals(409, send(RECEIVER, setServices(0, 1, 6).replace(NOTE, "another"), 2000), "the last number");
    }
}
