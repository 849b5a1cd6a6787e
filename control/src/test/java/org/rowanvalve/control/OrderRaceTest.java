package org.rowanvalve.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.NodeId;

/** One number, one body, whoever ends on the way; a call is in force whole or not at all. */
class OrderRaceTest {
    private static final String ONE = OrderCluster.call(5, "one", "a", "b", "own1");
    private static final String TWO = OrderCluster.call(5, "two", "b", "a", "own2");

    private static NodeId n(final int i) {
        return OrderCluster.IDS.get(i);
    }

    /** What stands of these services at a node; all nodes must agree. */
    private static List<String> standing(final OrderCluster net, final String... names) {
        final Set<List<String>> views = new HashSet<>();
        net.living()
                .forEach(id -> views.add(Stream.of(names)
                        .map(s -> net.item(id, OrderCluster.service(s)))
                        .map(i -> i.ver().n() + " " + OrderCluster.note(i))
                        .toList()));
        assertEquals(1, views.size(), "nodes differ: " + views);
        return views.iterator().next();
    }

    private static int clear(final OrderCluster net, final NodeId at, final String text) {
        final OrderCluster.Caller again = net.new Caller(text, 0);
        again.send(at);
        net.loop.run(8000);
        return again.status;
    }

    private static void nothingOf(final OrderCluster net, final String note) {
        assertTrue(net.seen.stream().noneMatch(s -> s.endsWith(" " + note)), note + " in force: " + net.seen);
    }

    @Test
    void ofTwoBodiesUnderOneNumberOneIsTakenAndNothingOfTheOtherCall() {
        final OrderCluster net = new OrderCluster(1);
        assertEquals(200, clear(net, n(0), ONE));
        assertEquals(409, clear(net, n(1), TWO));
        nothingOf(net, "two");
        for (final NodeId id : OrderCluster.IDS) {
            assertEquals(200, clear(net, id, ONE), "again at " + id);
            assertEquals(409, clear(net, id, TWO), "again at " + id);
        }
    }

    @Test
    void whatWasTakenIsAcknowledgedAfterLaterChangesToo() {
        final OrderCluster net = new OrderCluster(2);
        assertEquals(200, clear(net, n(0), ONE));
        assertEquals(200, clear(net, n(1), OrderCluster.call(9, "later", "a")));
        assertEquals(200, clear(net, n(2), ONE));
        assertEquals(200, clear(net, n(3), OrderCluster.call(7, "overtaken", "a")));
        assertEquals(409, clear(net, n(4), OrderCluster.call(7, "another", "a")));
        assertEquals(409, clear(net, n(4), OrderCluster.call(5, "other", "a")));
        assertEquals(List.of("9 later", "5 one", "5 one"), standing(net, "a", "b", "own1"));
        nothingOf(net, "overtaken");
    }

    @Test
    void eightCallsAtOnceAtDifferentNodesAreAllAcknowledgedInASecondOrTwo() {
        for (final boolean preferred : new boolean[] {true, false}) {
            final OrderCluster net = new OrderCluster(3);
            if (preferred) {
                net.prefer(n(1));
            }
            final List<OrderCluster.Caller> all = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                all.add(net.new Caller(OrderCluster.call(3, "call" + i, "s" + i, "t" + i), 0));
                all.get(i).send(n(i % 5));
            }
            net.loop.run(preferred ? 700 : 4000);
            assertEquals(
                    List.of(200), all.stream().map(c -> c.status).distinct().toList(), "preferred " + preferred);
        }
    }

    @Test
    void whatIsKeptDoesNotGrowWithTheNumberOfCalls() {
        final OrderCluster net = new OrderCluster(4);
        int after = 0;
        for (int v = 1; v <= 240; v++) {
            final OrderCluster.Caller c = net.new Caller(OrderCluster.call(1000 + v, "x", "a", "b"), 0);
            c.send(n(v % 5));
            net.loop.run(600);
            assertEquals(200, c.status);
            final int size = net.item(n(0), ItemId.LEDGER).body().length();
            after = v == 160 ? size : after;
            assertTrue(v <= 160 || size <= after + 100, "after " + v + " calls " + size + " bytes, after 160 " + after);
        }
        assertTrue(after < 8000, after + " bytes");
        assertEquals(409, clear(net, n(2), OrderCluster.call(1140, "y", "a")), "a hundred calls later");
        assertEquals(200, clear(net, n(2), OrderCluster.call(1, "x", "a", "b")), "long overtaken, and acknowledged");
    }

    /** Whoever took the call ends at each of its messages; another repeats, or itself once it is back, or nobody. */
    @ParameterizedTest
    @MethodSource("repeaters")
    void aCallOfAProcessThatEndsAtAnyMessageIsWholeOrNothing(final int repeats, final boolean preferred) {
        boolean done = false;
        int whole = 0;
        for (int message = 0; !done; message++) {
            final OrderCluster net = new OrderCluster(10 + message);
            if (preferred) {
                net.prefer(n(0));
            }
            final boolean[] answered = {false};
            net.endAt(n(0), message);
            net.patch(preferred ? n(3) : n(0), ONE, s -> answered[0] = true);
            net.loop.run(450);
            done = net.alive(n(0));
            net.end(n(0));
            net.loop.run(800);
            if (repeats == 0) {
                net.start(n(0));
                net.loop.run(1500);
            }
            if (repeats >= 0) {
                assertEquals(200, clear(net, n(repeats), ONE), "ended at message " + message);
                assertEquals(409, clear(net, n(2), TWO));
            }
            net.loop.run(6000);
            final List<String> now = standing(net, "a", "b", "own1");
            if (repeats >= 0 || !now.equals(List.of("0 gone", "0 gone", "0 gone"))) {
                assertEquals(List.of("5 one", "5 one", "5 one"), now, "ended at message " + message);
                whole++;
            }
            nothingOf(net, "two");
            assertTrue(message < 400, "it never gets through");
        }
        assertTrue(whole > 2, "only " + whole);
    }

    static Stream<org.junit.jupiter.params.provider.Arguments> repeaters() {
        return Stream.of(-1, 0, 1, 4)
                .flatMap(r -> Stream.of(false, true).map(p -> org.junit.jupiter.params.provider.Arguments.of(r, p)));
    }

    /** The first caller's process ends at each message, while another operator's call meets it in opposite order. */
    @Test
    void aCallThatMeetsOneOfAProcessThatEndsDecidesIt() {
        boolean done = false;
        for (int message = 0; !done; message++) {
            final OrderCluster net = new OrderCluster(500 + message);
            net.endAt(n(0), message);
            net.patch(n(0), ONE, s -> {});
            final OrderCluster.Caller other = net.new Caller(TWO, 0);
            net.loop.after(message % 60, () -> other.send(n(1)));
            net.loop.run(500);
            done = net.alive(n(0));
            net.end(n(0));
            net.loop.run(8000);
            final int one = clear(net, n(2), ONE);
            judge(net, one, other.status);
        }
    }

    private static void judge(final OrderCluster net, final int one, final int two) {
        assertEquals(Set.of(200, 409), Set.of(one, two), "exactly one is confirmed");
        final String won = one == 200 ? "one" : "two";
        final String lost = one == 200 ? "two" : "one";
        nothingOf(net, lost);
        assertEquals(List.of("5 " + won, "5 " + won), standing(net, "a", "b"));
    }

    static LongStream seeds() {
        return LongStream.range(0, 200);
    }

    /** Lost answers, lost messages, ends and starts, two operators on shared items, repeats at many nodes at once. */
    @ParameterizedTest
    @MethodSource("seeds")
    void twoOperatorsRaceOverSharedItemsWithLostAnswers(final long seed) {
        final OrderCluster net = new OrderCluster(1000 + seed);
        final Random dice = new Random(seed);
        if (dice.nextBoolean()) {
            net.prefer(n(dice.nextInt(5)));
        }
        net.lose(dice.nextInt(3) * 0.05);
        final double lost = 0.7 + 0.2 * dice.nextDouble();
        final List<OrderCluster.Caller[]> pairs = new ArrayList<>();
        for (int v = 1; v <= 4; v++) {
            final OrderCluster.Caller one = net.new Caller(OrderCluster.call(v, "one" + v, "a", "b", "own1" + v), lost);
            final OrderCluster.Caller two = net.new Caller(OrderCluster.call(v, "two" + v, "b", "a", "own2" + v), lost);
            pairs.add(new OrderCluster.Caller[] {one, two});
            one.send(n(dice.nextInt(5)));
            net.loop.after(dice.nextInt(150), () -> two.send(n(dice.nextInt(5))));
            net.loop.run(dice.nextInt(400));
            final NodeId victim = n(dice.nextInt(5));
            net.end(victim);
            net.loop.run(500 + dice.nextInt(1000));
            net.start(victim);
            net.loop.run(1500);
        }
        net.lose(0);
        net.loop.run(60_000);
        for (int v = 1; v <= 4; v++) {
            judgePair(net, v, pairs.get(v - 1));
        }
        final Item a = net.item(n(0), OrderCluster.service("a"));
        assertEquals(4, a.ver().n());
        standing(net, "a", "b", "own11", "own21", "own14", "own24");
        assertEquals(OrderCluster.note(a), standing(net, "b").get(0).substring(2));
    }

    private static void judgePair(final OrderCluster net, final int v, final OrderCluster.Caller[] pair) {
        assertEquals(Set.of(200, 409), Set.of(pair[0].status, pair[1].status), "exactly one of version " + v);
        for (final OrderCluster.Caller c : pair) {
            final int i = c == pair[0] ? 1 : 2;
            if (c.status == 409) {
                nothingOf(net, (i == 1 ? "one" : "two") + v);
            } else {
                assertEquals(
                        Optional.of((long) v),
                        Optional.of(net.item(n(1), OrderCluster.service("own" + i + v))
                                .ver()
                                .n()));
            }
            assertEquals(c.status, clear(net, n(v % 5), c.text), "the same again");
        }
    }
}
