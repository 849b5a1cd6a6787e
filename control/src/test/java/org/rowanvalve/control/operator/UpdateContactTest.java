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

/** A node that is cut off gives no old configuration, refuses nothing for good and acknowledges nothing. */
class UpdateContactTest {
    private static final long CUT = 20_000;
    private static final long STEP = 250;
    private static final int KINDS = 10;
    private static final NodeId OTHER = UpdateCluster.IDS.get(2);
    private static final ItemId ORIGIN = new ItemId(ItemKind.ORIGIN, "i1");

    private final UpdateCluster net = new UpdateCluster(77);
    private final List<String> wrong = new ArrayList<>();
    private long version = 1;
    private int answers;
    private int contacts;

    private void on(final NodeId at, final String call) {
        final UpdateCluster.Caller c = net.new Caller(call, 0);
        c.send(at);
        net.loop.run(600);
        assertEquals(200, c.status, call);
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

    private Consumer<ApiResponse> expect(final String what, final Consumer<ApiResponse> check) {
        final long asked = net.loop.now();
        return r -> {
            answers++;
            if (net.loop.now() - asked > 1000) {
                wrong.add(what + " answered after " + (net.loop.now() - asked));
            }
            if (r.status() == 503) {
                assertTrue(r.body().get("retryAfterMs") instanceof Number, what + " says when to come back");
            } else {
                contacts++;
                check.accept(r);
            }
        };
    }

    private void must(final boolean holds, final String what, final int status) {
        if (!holds) {
            wrong.add(what + " " + status + " at " + net.loop.now());
        }
    }

    /** Every kind of question at once; each checks its own answer against what the other side has. */
    private void ask(final NodeId at) {
        leaveAgain(at);
        final UpdateService orders = net.orders(at);
        final long stood = version;
        orders.readAll(expectWhole(stood));
        orders.apply(
                route("r" + stood, "s" + stood, stood).getBytes(java.nio.charset.StandardCharsets.UTF_8),
                expect("a route to the newest service", r -> must(r.status() == 200, "valid", r.status())));
        orders.apply(
                UpdateCluster.call(stood, "again", "moving").getBytes(java.nio.charset.StandardCharsets.UTF_8),
                expect("another body of a number that was taken", r -> must(r.status() == 409, "taken", r.status())));
        orders.apply(
                "{\"set\":".getBytes(java.nio.charset.StandardCharsets.UTF_8),
                expect("an unreadable call", r -> must(r.status() == 422, "unreadable", r.status())));
        orders.refuse(413, "too long", expect("a long call", r -> must(r.status() == 413, "long", r.status())));
        orders.refuseInvalid(
                List.of(new ValidationError("/", "bad")),
                expect("an invalid purge", r -> must(r.status() == 422, "purge", r.status())));
        orders.purge(
                new Purge(null, "/x" + stood, null, "h", null),
                expect("a purge", r -> must(r.status() == 200, "purge", r.status())));
        net.registry(at).onEnd("i" + stood, expect("a leave", r -> {
            must(r.status() == 200, "leave", r.status());
            net.loop.schedule(500, () -> must(left("i" + stood), "acknowledged and not left", 0));
        }));
    }

    /** An origin that has left before the cut says so again, in both ways. */
    private void leaveAgain(final NodeId at) {
        net.registry(at).onEnd("i0", expect("the same leave", r -> must(r.status() == 200, "leave", r.status())));
        net.registry(at)
                .onHeartbeat(
                        "i0",
                        Origin.heartbeating("s1", "10.0.0.1", 80, "i0", true, 5, "z", 4, 0),
                        expect("the same last beat", r -> must(r.status() == 200, "beat", r.status())));
    }

    private boolean left(final String name) {
        final Item item = net.item(OTHER, new ItemId(ItemKind.ORIGIN, name));
        return item.exists() && Json.read(item.body(), Origin.class).draining();
    }

    private Consumer<Optional<Map<ItemKind, Map<String, Item>>>> expectWhole(final long stood) {
        final Consumer<ApiResponse> check = expect("a read", r -> {});
        return all -> {
            check.accept(new ApiResponse(all.isPresent() ? 200 : 503, Map.of("retryAfterMs", 1)));
            all.ifPresent(m -> must(
                    m.get(ItemKind.SERVICE).get("moving").version().number() >= stood,
                    "an old configuration, older than",
                    (int) stood));
        };
    }

    private static Origin origin(final String name) {
        return Origin.heartbeating("s1", "10.0.0.1", 80, name, false, 1, "z", 4, 0);
    }

    /** The other side goes on: a new version, a new service that routes may name, a new origin. */
    private void change() {
        version++;
        final long now = version;
        final UpdateCluster.Caller c = net.new Caller(UpdateCluster.call(now, "v" + now, "moving", "s" + now), 0);
        c.send(OTHER);
        final List<Integer> said = new ArrayList<>();
        net.registry(OTHER).onHeartbeat("i" + now, origin("i" + now), r -> said.add(r.status()));
        net.loop.run(STEP);
        for (int i = 0; i < 20 && c.status == 0; i++) {
            net.loop.run(STEP);
        }
        assertEquals(200, c.status, "version " + now);
        assertEquals(List.of(200), said);
    }

    static Stream<NodeId> nodes() {
        return Stream.of(UpdateCluster.IDS.get(0), UpdateCluster.IDS.get(4));
    }

    @ParameterizedTest
    @MethodSource("nodes")
    void forAllOfTwentySecondsAndTheFirstSecondAfter(final NodeId lost) {
        on(OTHER, UpdateCluster.call(1, "v1", "moving", "s1"));
        net.registry(OTHER).onHeartbeat("i0", origin("i0"), r -> {});
        net.loop.run(500);
        net.registry(OTHER).onEnd("i0", r -> {});
        net.loop.run(500);
        ask(lost);
        net.loop.run(2);
        net.cut(lost);
        final long from = net.loop.now();
        while (net.loop.now() < from + CUT) {
            change();
            ask(lost);
        }
        net.loop.run(1000);
        assertEquals(List.of(), wrong);
        assertEquals(0, contacts, "answered out of contact");
        final int during = answers;
        assertTrue(during > KINDS * (CUT / STEP) / 2, "only " + during);
        ask(lost);
        net.heal();
        for (int i = 0; i < 20; i++) {
            change();
            ask(lost);
        }
        net.loop.run(2000);
        assertEquals(List.of(), wrong);
        assertEquals(during + 21 * KINDS, answers);
        assertTrue(contacts > 100, "only " + contacts + " answered in contact again");
    }

    /** What was said yes to at the moment of the cut stands on the other side, and after a no nothing does. */
    @ParameterizedTest
    @ValueSource(ints = {0, 5, 10, 15, 20, 25, 30, 40, 50, 60, 80, 100, 130, 160})
    void theCutComesWhileAnOrderIsUnderWay(final int after) {
        final NodeId lost = UpdateCluster.IDS.get(0);
        on(OTHER, UpdateCluster.call(1, "v1", "moving"));
        final List<Integer> said = new ArrayList<>();
        net.patch(lost, UpdateCluster.call(2, "mine", "moving", "mine"), said::add);
        net.loop.run(after);
        net.cut(lost);
        net.loop.run(3000);
        assertEquals(1, said.size());
        final Item now = net.item(OTHER, UpdateCluster.service("mine"));
        if (said.get(0) == 200) {
            assertEquals(2, now.version().number());
        } else {
            assertEquals(503, said.get(0));
        }
        final UpdateCluster.Caller other = net.new Caller(UpdateCluster.call(2, "theirs", "moving"), 0);
        other.send(OTHER);
        net.loop.run(1500);
        assertEquals(now.version().number() == 2 ? 409 : 200, other.status);
        net.heal();
        net.loop.run(4000);
        final UpdateCluster.Caller repeat = net.new Caller(UpdateCluster.call(2, "mine", "moving", "mine"), 0);
        repeat.send(lost);
        net.loop.run(1500);
        assertNotEquals(other.status, repeat.status, "exactly one is confirmed");
        assertEquals(
                repeat.status == 200 ? 2 : 0,
                net.item(OTHER, UpdateCluster.service("mine")).version().number());
    }

    /** A leave that is repeated at another node while the first is under way is acknowledged at both. */
    @Test
    void aLeaveSaidAtTwoNodesAtOnceIsAcknowledgedAtBoth() {
        final List<Integer> said = new ArrayList<>();
        net.registry(OTHER).onHeartbeat("i1", origin("i1"), r -> said.add(r.status()));
        net.loop.run(1000);
        for (int i = 0; i < 5; i++) {
            net.registry(UpdateCluster.IDS.get(i)).onEnd("i1", r -> said.add(r.status()));
            net.loop.run(7);
        }
        net.loop.run(1000);
        assertEquals(List.of(200, 200, 200, 200, 200, 200), said);
        assertTrue(left("i1"));
        assertFalse(net.item(OTHER, ORIGIN).deleted());
    }

    /** An order is acknowledged only once each of its items is on the disks of a majority. */
    @Test
    void anAcknowledgedCallIsOnTheDisksOfAMajority() {
        final long[] disks = new long[1];
        net.patch(UpdateCluster.IDS.get(3), UpdateCluster.call(4, "n", "a", "b"), s -> {
            assertEquals(200, s);
            disks[0] = Math.min(net.disks(UpdateCluster.service("a")), net.disks(UpdateCluster.service("b")));
        });
        net.loop.run(700);
        assertTrue(disks[0] >= 2, disks[0] + " disks");
    }
}
