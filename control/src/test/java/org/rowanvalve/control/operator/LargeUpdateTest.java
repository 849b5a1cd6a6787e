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

/** Calls of every size: each is acknowledged, or refused before any of it takes effect; no size stops the cluster. */
class LargeUpdateTest {
    /** About as long as the body of a route of the users' platform. */
    private static final String NOTE = "n".repeat(430);

    private static final NodeId RECEIVER = UpdateCluster.IDS.get(0);
    private final UpdateCluster net = new UpdateCluster(7);

    private static String call(final int from, final int to, final long version) {
        final Map<String, Object> services = new TreeMap<>();
        for (int i = from; i < to; i++) {
            services.put("s" + i, Map.of("kind", "open", "note", NOTE, "version", version));
        }
        return Json.write(Map.of("set", Map.of("services", services)));
    }

    private int send(final NodeId at, final String call, final long ms) {
        final List<Integer> statuses = new ArrayList<>();
        net.patch(at, call, statuses::add);
        net.loop.run(ms);
        return statuses.isEmpty() ? 0 : statuses.get(0);
    }

    private boolean isReadable(final NodeId at) {
        final List<Boolean> answers = new ArrayList<>();
        net.orders(at).readAll(all -> answers.add(all.isPresent()));
        net.loop.run(1000);
        return answers.equals(List.of(true));
    }

    /** Guards against a call whose ledger fits into no message, after which nothing is confirmed or read again. */
    @ParameterizedTest
    @ValueSource(ints = {1000, 3000, 4500, 6000, 6500, 7000, 7300, 7800, 8300, 12_000})
    void aCallIsAcknowledgedOrRefusedWholeAndReadsGoOn(final int items) {
        assertEquals(200, send(RECEIVER, call(0, 3, 1), 2000));
        final int status = send(RECEIVER, call(100, 100 + items, 2), 4000 + 3L * items);
        assertTrue(status == 200 || status == 413, items + " items: " + status);
        assertEquals(items <= 4500, status == 200, items + " items: " + status);
        UpdateCluster.IDS.forEach(id -> assertTrue(isReadable(id), items + " items, read at " + id));
        UpdateCluster.IDS.forEach(id -> assertEquals(
                status == 200, net.item(id, UpdateCluster.service("s100")).exists(), "in force at " + id));
        assertEquals(200, send(UpdateCluster.IDS.get(1), call(0, 3, 3), 3000), "a later call");
    }

    /** Guards against two calls that fit alone and not together. */
    @Test
    void callsThatComeAtOnceDoNotOverfillTheLedger() {
        final List<Integer> statuses = new ArrayList<>();
        for (int caller = 0; caller < 3; caller++) {
            net.patch(UpdateCluster.IDS.get(caller), call(5000 * caller, 5000 * caller + 4000, 1), statuses::add);
        }
        net.loop.run(30_000);
        assertEquals(3, statuses.size());
        assertTrue(statuses.contains(200), statuses.toString());
        assertTrue(statuses.stream().allMatch(status -> status == 200 || status == 503), statuses.toString());
        for (int caller = 0; caller < 3; caller++) {
            assertEquals(
                    200,
                    send(UpdateCluster.IDS.get(caller), call(5000 * caller, 5000 * caller + 4000, 1), 20_000),
                    "the same again");
        }
        UpdateCluster.IDS.forEach(id -> assertTrue(isReadable(id)));
    }

    /** Guards against a call that has room and is held up for as long as another one comes with it. */
    @Test
    void ofTwoCallsInOneBatchTheOneThatHasRoomIsTaken() {
        final List<Integer> statuses = new ArrayList<>();
        net.patch(RECEIVER, call(0, 1, 1), statuses::add);
        net.patch(RECEIVER, call(5000, 9000, 1), statuses::add);
        net.patch(RECEIVER, call(10_000, 14_000, 1), statuses::add);
        net.loop.run(30_000);
        statuses.sort(null);
        assertEquals(List.of(200, 200, 503), statuses);
    }

    /** Guards against a voter that ends within a large call: what it has taken is completed by the others. */
    @Test
    void aLargeCallWhoseReceiverEndsIsCompleted() {
        net.patch(RECEIVER, call(0, 4000, 1), status -> {});
        net.loop.run(600);
        net.end(RECEIVER);
        net.loop.run(30_000);
        final NodeId other = UpdateCluster.IDS.get(1);
        assertEquals(200, send(other, call(0, 4000, 1), 16_000));
        assertTrue(isReadable(other));
    }

    /** Guards against a single order that no message bears. */
    @Test
    void anItemThatFitsIntoNoMessageIsNeverProposed() {
        final List<Integer> statuses = new ArrayList<>();
        final String path = "/" + "p".repeat(Item.MAX_BYTES);
        net.orders(RECEIVER).purge(new Purge(null, path, null, "h.example", null), r -> statuses.add(r.status()));
        net.loop.run(4000);
        assertEquals(List.of(503), statuses);
        UpdateCluster.IDS.forEach(id -> assertTrue(isReadable(id)));
    }

    /** Guards against an item that is larger than a page and so is never sent to a node that lacks it. */
    @Test
    void aNodeThatMissedALargeItemLearnsIt() {
        final NodeId absent = UpdateCluster.IDS.get(4);
        net.cut(absent);
        net.patch(RECEIVER, call(0, 4000, 1), status -> {});
        net.loop.run(400);
        net.heal();
        net.loop.run(3000);
        assertTrue(isReadable(absent));
        assertEquals(200, send(absent, call(0, 4000, 1), 16_000));
    }

    /** Guards against a ledger that names every item for ever, so that each change writes and sends all of them. */
    @Test
    void theLedgerDoesNotGrowWithTheItemsThatStand() {
        for (int part = 0; part < 3; part++) {
            assertEquals(200, send(RECEIVER, call(1000 * part, 1000 * part + 1000, 1), 8000));
        }
        net.loop.run(10_000);
        assertEquals(200, send(RECEIVER, call(5000, 5001, 1), 2000));
        final int length = net.item(RECEIVER, ItemId.LEDGER).body().length();
        assertTrue(length < 2000, "ledger of " + length + " characters");
        assertEquals(409, send(UpdateCluster.IDS.get(1), call(0, 1, 1).replace(NOTE, "another"), 2000));
        assertEquals(200, send(UpdateCluster.IDS.get(1), call(0, 1, 1), 2000), "the same again");
        assertEquals(409, send(UpdateCluster.IDS.get(3), call(1500, 1501, 1).replace(NOTE, "another"), 2000));
    }

    /** Guards against a remembered history that outgrows the ledger where every item changes again and again. */
    @Test
    void manyVersionsOfManyItemsAreRememberedUpToABound() {
        for (int version = 1; version <= 6; version++) {
            for (int part = 0; part < 4; part++) {
                assertEquals(
                        200,
                        send(RECEIVER, call(1000 * part, 1000 * part + 1000, version), 6000),
                        "version " + version);
            }
        }
        final int length = net.item(RECEIVER, ItemId.LEDGER).body().length();
        assertTrue(length < Item.MAX_BYTES / 4, "ledger of " + length + " characters");
        assertEquals(409, send(RECEIVER, call(0, 1, 6).replace(NOTE, "another"), 2000), "the last number");
    }
}
