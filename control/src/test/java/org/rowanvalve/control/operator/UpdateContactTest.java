package org.rowanvalve.control.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.config.Purge;
import org.rowanvalve.control.json.Json;

/**
 * A node that is partitioned from the majority returns no outdated configuration, rejects nothing permanently and
 * acknowledges nothing.
 */
class UpdateContactTest {
    private static final long PARTITION_MS = 20_000;
    private static final long STEP_MS = 250;
    private static final int REQUEST_KINDS = 10;
    private static final NodeId OTHER = UpdateCluster.IDS.get(2);
    private static final ItemId ORIGIN = new ItemId(ItemKind.ORIGIN, "i1");

    private final UpdateCluster cluster = new UpdateCluster(77);
    private final List<String> violations = new ArrayList<>();
    private long version = 1;
    private int responses;
    private int finalResponses;

    private void assertAccepted(final NodeId at, final String update) {
        final UpdateCluster.Client client = cluster.new Client(update, 0);
        client.send(at);
        cluster.loop.run(600);
        assertEquals(200, client.status, update);
    }

    private static String route(final String name, final String service, final long version) {
        return Json.write(Map.of(
                "set",
                Map.of(
                        "routes",
                        Map.of(
                                name,
                                Map.of(
                                        "host",
                                        "h",
                                        "prefix",
                                        "/" + name + "/",
                                        "service",
                                        service,
                                        "mode",
                                        "status",
                                        "version",
                                        version)))));
    }

    private Consumer<ApiResponse> expect(final String what, final Consumer<ApiResponse> verifier) {
        final long sentAt = cluster.loop.now();
        return response -> {
            responses++;
            if (cluster.loop.now() - sentAt > 1000) {
                violations.add(what + " answered after " + (cluster.loop.now() - sentAt));
            }
            if (response.status() == 503) {
                assertTrue(response.body().get("retryAfterMs") instanceof Number, what + " states when to retry");
            } else {
                finalResponses++;
                verifier.accept(response);
            }
        };
    }

    private void check(final boolean holds, final String what, final int status) {
        if (!holds) {
            violations.add(what + " " + status + " at " + cluster.loop.now());
        }
    }

    /** Sends every kind of request at once; each response is checked against the state of the majority. */
    private void sendAllRequests(final NodeId at) {
        repeatLeave(at);
        final UpdateService updates = cluster.updateService(at);
        final long versionBefore = version;
        updates.readAll(expectConfiguration(versionBefore));
        updates.apply(
                route("r" + versionBefore, "s" + versionBefore, versionBefore)
                        .getBytes(java.nio.charset.StandardCharsets.UTF_8),
                expect(
                        "a route to the newest service",
                        response -> check(response.status() == 200, "valid", response.status())));
        updates.apply(
                UpdateCluster.setServices(versionBefore, "again", "moving")
                        .getBytes(java.nio.charset.StandardCharsets.UTF_8),
                expect(
                        "another body under a recorded version",
                        response -> check(response.status() == 409, "taken", response.status())));
        updates.apply(
                "{\"set\":".getBytes(java.nio.charset.StandardCharsets.UTF_8),
                expect(
                        "an unreadable update",
                        response -> check(response.status() == 422, "unreadable", response.status())));
        updates.refuse(
                413,
                "too long",
                expect("a long update", response -> check(response.status() == 413, "long", response.status())));
        updates.refuseInvalid(
                List.of(new ValidationError("/", "bad")),
                expect("an invalid purge", response -> check(response.status() == 422, "purge", response.status())));
        updates.purge(
                new Purge(null, "/x" + versionBefore, null, "h", null),
                expect("a purge", response -> check(response.status() == 200, "purge", response.status())));
        cluster.registry(at).onEnd("i" + versionBefore, expect("a leave", response -> {
            check(response.status() == 200, "leave", response.status());
            cluster.loop.schedule(
                    500, () -> check(hasLeft("i" + versionBefore), "acknowledged, but the origin has not left", 0));
        }));
    }

    /** An origin that left before the partition announces its leave again, in both ways. */
    private void repeatLeave(final NodeId at) {
        cluster.registry(at)
                .onEnd(
                        "i0",
                        expect(
                                "the same leave",
                                response -> check(response.status() == 200, "leave", response.status())));
        cluster.registry(at)
                .onHeartbeat(
                        "i0",
                        Origin.heartbeating("s1", "10.0.0.1", 80, "i0", true, 5, "z", 4, 0),
                        expect(
                                "the same last heartbeat",
                                response -> check(response.status() == 200, "beat", response.status())));
    }

    private boolean hasLeft(final String name) {
        final Item item = cluster.item(OTHER, new ItemId(ItemKind.ORIGIN, name));
        return item.exists() && Json.read(item.body(), Origin.class).draining();
    }

    private Consumer<Optional<Map<ItemKind, Map<String, Item>>>> expectConfiguration(final long versionBefore) {
        final Consumer<ApiResponse> responseCheck = expect("a read", response -> {});
        return all -> {
            responseCheck.accept(new ApiResponse(all.isPresent() ? 200 : 503, Map.of("retryAfterMs", 1)));
            all.ifPresent(m -> check(
                    m.get(ItemKind.SERVICE).get("moving").version().number() >= versionBefore,
                    "an old configuration, older than",
                    (int) versionBefore));
        };
    }

    private static Origin origin(final String name) {
        return Origin.heartbeating("s1", "10.0.0.1", 80, name, false, 1, "z", 4, 0);
    }

    /** The majority side makes progress: a new version, a new service that routes may refer to and a new origin. */
    private void change() {
        version++;
        final long now = version;
        final UpdateCluster.Client client =
                cluster.new Client(UpdateCluster.setServices(now, "v" + now, "moving", "s" + now), 0);
        client.send(OTHER);
        final List<Integer> statuses = new ArrayList<>();
        cluster.registry(OTHER).onHeartbeat("i" + now, origin("i" + now), response -> statuses.add(response.status()));
        cluster.loop.run(STEP_MS);
        for (int i = 0; i < 20 && client.status == 0; i++) {
            cluster.loop.run(STEP_MS);
        }
        assertEquals(200, client.status, "version " + now);
        assertEquals(List.of(200), statuses);
    }

    static Stream<NodeId> nodes() {
        return Stream.of(UpdateCluster.IDS.get(0), UpdateCluster.IDS.get(4));
    }

    @ParameterizedTest
    @MethodSource("nodes")
    void partitionedNodeGivesNoFinalResponseDuringAndRightAfterThePartition(final NodeId partitioned) {
        assertAccepted(OTHER, UpdateCluster.setServices(1, "v1", "moving", "s1"));
        cluster.registry(OTHER).onHeartbeat("i0", origin("i0"), response -> {});
        cluster.loop.run(500);
        cluster.registry(OTHER).onEnd("i0", response -> {});
        cluster.loop.run(500);
        sendAllRequests(partitioned);
        cluster.loop.run(2);
        cluster.partition(partitioned);
        final long from = cluster.loop.now();
        while (cluster.loop.now() < from + PARTITION_MS) {
            change();
            sendAllRequests(partitioned);
        }
        cluster.loop.run(1000);
        assertEquals(List.of(), violations);
        assertEquals(0, finalResponses, "final responses without contact with a majority");
        final int during = responses;
        assertTrue(during > REQUEST_KINDS * (PARTITION_MS / STEP_MS) / 2, "only " + during);
        sendAllRequests(partitioned);
        cluster.healPartition();
        for (int i = 0; i < 20; i++) {
            change();
            sendAllRequests(partitioned);
        }
        cluster.loop.run(2000);
        assertEquals(List.of(), violations);
        assertEquals(during + 21 * REQUEST_KINDS, responses);
        assertTrue(finalResponses > 100, "only " + finalResponses + " final responses after the partition");
    }

    /**
     * An update acknowledged at the moment of the partition is in effect on the majority side, and of two bodies under
     * one version exactly one is accepted.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 5, 10, 15, 20, 25, 30, 40, 50, 60, 80, 100, 130, 160})
    void updateInProgressAtThePartitionIsDecidedOnce(final int after) {
        final NodeId partitioned = UpdateCluster.IDS.get(0);
        assertAccepted(OTHER, UpdateCluster.setServices(1, "v1", "moving"));
        final List<Integer> statuses = new ArrayList<>();
        cluster.sendUpdate(partitioned, UpdateCluster.setServices(2, "mine", "moving", "mine"), statuses::add);
        cluster.loop.run(after);
        cluster.partition(partitioned);
        cluster.loop.run(3000);
        assertEquals(1, statuses.size());
        final Item now = cluster.item(OTHER, UpdateCluster.service("mine"));
        if (statuses.get(0) == 200) {
            assertEquals(2, now.version().number());
        } else {
            assertEquals(503, statuses.get(0));
        }
        final UpdateCluster.Client other = cluster.new Client(UpdateCluster.setServices(2, "theirs", "moving"), 0);
        other.send(OTHER);
        cluster.loop.run(1500);
        assertEquals(now.version().number() == 2 ? 409 : 200, other.status);
        cluster.healPartition();
        cluster.loop.run(4000);
        final UpdateCluster.Client repeat =
                cluster.new Client(UpdateCluster.setServices(2, "mine", "moving", "mine"), 0);
        repeat.send(partitioned);
        cluster.loop.run(1500);
        assertNotEquals(other.status, repeat.status, "exactly one is confirmed");
        assertEquals(
                repeat.status == 200 ? 2 : 0,
                cluster.item(OTHER, UpdateCluster.service("mine")).version().number());
    }

    /** A leave that is repeated at other nodes while the first one is in progress is acknowledged at all of them. */
    @Test
    void concurrentLeavesAtSeveralNodesAreAllAcknowledged() {
        final List<Integer> statuses = new ArrayList<>();
        cluster.registry(OTHER).onHeartbeat("i1", origin("i1"), response -> statuses.add(response.status()));
        cluster.loop.run(1000);
        for (int i = 0; i < 5; i++) {
            cluster.registry(UpdateCluster.IDS.get(i)).onEnd("i1", response -> statuses.add(response.status()));
            cluster.loop.run(7);
        }
        cluster.loop.run(1000);
        assertEquals(List.of(200, 200, 200, 200, 200, 200), statuses);
        assertTrue(hasLeft("i1"));
        assertFalse(cluster.item(OTHER, ORIGIN).deleted());
    }

    /** An update is acknowledged only once each of its items is on the disks of a majority. */
    @Test
    void acknowledgedUpdateIsOnTheDisksOfAMajority() {
        final long[] disks = new long[1];
        cluster.sendUpdate(UpdateCluster.IDS.get(3), UpdateCluster.setServices(4, "n", "a", "b"), s -> {
            assertEquals(200, s);
            disks[0] = Math.min(
                    cluster.diskCount(UpdateCluster.service("a")), cluster.diskCount(UpdateCluster.service("b")));
        });
        cluster.loop.run(700);
        assertTrue(disks[0] >= 2, disks[0] + " disks");
    }
}
