package org.rowanvalve.control.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.json.Json;

/**
 * Guards against origins that are in use again after their end was acknowledged: all orders of a handful of heartbeats and
 * ends, one after the other and at once, at several nodes whose views lag.
 */
class OriginStateOrderTest {
    private static final String NAME = "i1";
    private static final long SETTLE_MS = 1500;

    /** One call of an origin. */
    private enum Call {
        READY_1,
        READY_3,
        DRAINING,
        END;

        Origin heartbeat(final String name) {
            return switch (this) {
                case READY_1 -> origin(name, false, 1);
                case READY_3 -> origin(name, false, 3);
                case DRAINING -> origin(name, true, 2);
                case END -> throw new IllegalStateException("an end is no heartbeat");
            };
        }

        boolean isLeave() {
            return this == DRAINING || this == END;
        }

        void send(final OriginRegistry registry, final String name, final Consumer<ApiResponse> callback) {
            if (this == END) {
                registry.onEnd(name, callback);
            } else {
                registry.onHeartbeat(name, heartbeat(name), callback);
            }
        }
    }

    private static Origin origin(final String name, final boolean draining, final long sequence) {
        return Origin.heartbeating("s1", "10.0.0.1", 80, name, draining, sequence, "z", 4, 0);
    }

    private static List<List<Call>> orders(final List<Call> calls) {
        if (calls.isEmpty()) {
            return List.of(List.of());
        }
        final List<List<Call>> orders = new ArrayList<>();
        for (int i = 0; i < calls.size(); i++) {
            final List<Call> rest = new ArrayList<>(calls);
            final Call first = rest.remove(i);
            for (final List<Call> order : orders(rest)) {
                final List<Call> whole = new ArrayList<>(List.of(first));
                whole.addAll(order);
                orders.add(whole);
            }
        }
        return orders;
    }

    /** All orders of all combinations of one to four calls, some of them doubled. */
    private static List<List<Call>> allOrders() {
        final List<List<Call>> all = new ArrayList<>();
        final Call[] calls = Call.values();
        for (int mask = 1; mask < 1 << calls.length; mask++) {
            final List<Call> chosen = new ArrayList<>();
            for (int i = 0; i < calls.length; i++) {
                if ((mask & 1 << i) != 0) {
                    chosen.add(calls[i]);
                }
            }
            all.addAll(orders(chosen));
        }
        all.addAll(orders(List.of(Call.READY_1, Call.END, Call.READY_1)));
        all.addAll(orders(List.of(Call.END, Call.END, Call.READY_3)));
        return all;
    }

    /** All orders, each for an origin of its own and with each node first; the next call goes to the next node. */
    private static void play(final long pauseMs) {
        final UpdateCluster cluster = new UpdateCluster(7);
        for (final List<Call> order : allOrders()) {
            for (int firstNode = 0; firstNode < UpdateCluster.IDS.size(); firstNode++) {
                play(cluster, order, firstNode, pauseMs);
            }
        }
    }

    private static void play(
            final UpdateCluster cluster, final List<Call> order, final int firstNode, final long pauseMs) {
        final String name = "i" + cluster.loop.now();
        final List<Call> acknowledged = new ArrayList<>();
        for (int i = 0; i < order.size(); i++) {
            final Call call = order.get(i);
            final NodeId node = UpdateCluster.IDS.get((firstNode + i) % UpdateCluster.IDS.size());
            call.send(cluster.registry(node), name, response -> {
                if (response.status() == 200) {
                    acknowledged.add(call);
                }
            });
            cluster.loop.run(pauseMs);
        }
        cluster.loop.run(SETTLE_MS);
        assertEquals(order.size(), acknowledged.size(), order + ": each call is acknowledged");
        for (final NodeId node : UpdateCluster.IDS) {
            final Item item = cluster.item(node, new ItemId(ItemKind.ORIGIN, name));
            final boolean left =
                    item.exists() && Json.read(item.body(), Origin.class).draining();
            assertTrue(item.exists(), order + " at " + node);
            assertEquals(order.stream().anyMatch(Call::isLeave), left, order + " at " + node);
        }
    }

    @Test
    void anAcknowledgedLeaveHoldsInEveryOrderOfCallsOneAfterTheOther() {
        play(SETTLE_MS);
    }

    @Test
    void anAcknowledgedLeaveHoldsInEveryOrderOfCallsWithinMilliseconds() {
        play(2);
    }

    /** The order of states is total, so that taking the higher one is commutative, associative and idempotent. */
    @Test
    void statesAreOrderedFromReadyOverDrainingToEnded() {
        final List<Origin> rising = List.of(
                origin(NAME, false, 1),
                origin(NAME, false, 3),
                origin(NAME, true, 2),
                origin(NAME, true, 5),
                origin(NAME, false, 3).ended());
        for (int i = 0; i < rising.size(); i++) {
            for (int j = 0; j < rising.size(); j++) {
                assertEquals(i > j, rising.get(i).supersedes(rising.get(j)), i + " " + j);
            }
        }
        assertFalse(Origin.endedUnseen(NAME).supersedes(rising.get(4)));
        assertFalse(rising.get(4).supersedes(Origin.endedUnseen(NAME)));
    }
}
