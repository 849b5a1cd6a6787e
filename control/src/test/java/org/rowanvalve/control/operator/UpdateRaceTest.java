package org.rowanvalve.control.operator;

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
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.NodeId;

/** One number, one body, whoever ends on the way; a call is in force whole or not at all. */
class UpdateRaceTest {
    private static final String ONE = UpdateCluster.call(5, "one", "a", "b", "own1");
    private static final String TWO = UpdateCluster.call(5, "two", "b", "a", "own2");

    private static NodeId n(final int i) {
        return UpdateCluster.IDS.get(i);
    }

    /** What stands of these services at a node; all nodes must agree. */
    private static List<String> standing(final UpdateCluster net, final String... names) {
        final Set<List<String>> views = new HashSet<>();
        net.living()
                .forEach(id -> views.add(Stream.of(names)
                        .map(s -> net.item(id, UpdateCluster.service(s)))
                        .map(item -> item.version().number() + " " + UpdateCluster.note(item))
                        .toList()));
        assertEquals(1, views.size(), "nodes differ: " + views);
        return views.iterator().next();
    }

    private static int clear(final UpdateCluster net, final NodeId at, final String text) {
        final UpdateCluster.Caller again = net.new Caller(text, 0);
        again.send(at);
        net.loop.run(8000);
        return again.status;
    }

    private static void nothingOf(final UpdateCluster net, final String note) {
        assertTrue(net.seen.stream().noneMatch(s -> s.endsWith(" " + note)), note + " in force: " + net.seen);
    }

    @Test
    void ofTwoBodiesUnderOneNumberOneIsTakenAndNothingOfTheOtherCall() {
        final UpdateCluster net = new UpdateCluster(1);
        assertEquals(200, clear(net, n(0), ONE));
        assertEquals(409, clear(net, n(1), TWO));
        nothingOf(net, "two");
        for (final NodeId id : UpdateCluster.IDS) {
            assertEquals(200, clear(net, id, ONE), "again at " + id);
            assertEquals(409, clear(net, id, TWO), "again at " + id);
        }
    }

    @Test
    void whatWasTakenIsAcknowledgedAfterLaterChangesToo() {
        final UpdateCluster net = new UpdateCluster(2);
        assertEquals(200, clear(net, n(0), ONE));
        assertEquals(200, clear(net, n(1), UpdateCluster.call(9, "later", "a")));
        assertEquals(200, clear(net, n(2), ONE));
        assertEquals(200, clear(net, n(3), UpdateCluster.call(7, "overtaken", "a")));
        assertEquals(409, clear(net, n(4), UpdateCluster.call(7, "another", "a")));
        assertEquals(409, clear(net, n(4), UpdateCluster.call(5, "other", "a")));
        assertEquals(List.of("9 later", "5 one", "5 one"), standing(net, "a", "b", "own1"));
        nothingOf(net, "overtaken");
    }

    @Test
    void eightCallsAtOnceAtDifferentNodesAreAllAcknowledgedInASecondOrTwo() {
        for (final boolean preferred : new boolean[] {true, false}) {
            final UpdateCluster net = new UpdateCluster(3);
            if (preferred) {
                net.prefer(n(1));
            }
            final List<UpdateCluster.Caller> all = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                all.add(net.new Caller(UpdateCluster.call(3, "call" + i, "s" + i, "t" + i), 0));
                all.get(i).send(n(i % 5));
            }
            net.loop.run(preferred ? 700 : 4000);
            assertEquals(
                    List.of(200), all.stream().map(c -> c.status).distinct().toList(), "preferred " + preferred);
        }
    }

    @Test
    void whatIsKeptDoesNotGrowWithTheNumberOfCalls() {
        final UpdateCluster net = new UpdateCluster(4);
        int after = 0;
        for (int v = 1; v <= 240; v++) {
            final UpdateCluster.Caller c = net.new Caller(UpdateCluster.call(1000 + v, "x", "a", "b"), 0);
            c.send(n(v % 5));
            net.loop.run(600);
            assertEquals(200, c.status);
            final int size = net.item(n(0), ItemId.LEDGER).body().length();
            after = v == 160 ? size : after;
            assertTrue(v <= 160 || size <= after + 100, "after " + v + " calls " + size + " bytes, after 160 " + after);
        }
        assertTrue(after < 8000, after + " bytes");
        assertEquals(409, clear(net, n(2), UpdateCluster.call(1140, "y", "a")), "a hundred calls later");
        assertEquals(200, clear(net, n(2), UpdateCluster.call(1, "x", "a", "b")), "long overtaken, and acknowledged");
    }

    /** Whoever took the call ends at each of its messages; another repeats, or itself once it is back, or nobody. */
    @ParameterizedTest
    @MethodSource("repeaters")
    void aCallOfAProcessThatEndsAtAnyMessageIsWholeOrNothing(final int repeats, final boolean preferred) {
        boolean done = false;
        int whole = 0;
        for (int message = 0; !done; message++) {
            final UpdateCluster net = new UpdateCluster(10 + message);
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
            final UpdateCluster net = new UpdateCluster(500 + message);
            net.endAt(n(0), message);
            net.patch(n(0), ONE, s -> {});
            final UpdateCluster.Caller other = net.new Caller(TWO, 0);
            net.loop.schedule(message % 60, () -> other.send(n(1)));
            net.loop.run(500);
            done = net.alive(n(0));
            net.end(n(0));
            net.loop.run(8000);
            final int one = clear(net, n(2), ONE);
            judge(net, one, other.status);
        }
    }

    private static void judge(final UpdateCluster net, final int one, final int two) {
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
        final UpdateCluster net = new UpdateCluster(1000 + seed);
        final Random random = new Random(seed);
        if (random.nextBoolean()) {
            net.prefer(n(random.nextInt(5)));
        }
        net.lose(random.nextInt(3) * 0.05);
        final double lost = 0.7 + 0.2 * random.nextDouble();
        final List<UpdateCluster.Caller[]> pairs = new ArrayList<>();
        for (int v = 1; v <= 4; v++) {
            final UpdateCluster.Caller one =
                    net.new Caller(UpdateCluster.call(v, "one" + v, "a", "b", "own1" + v), lost);
            final UpdateCluster.Caller two =
                    net.new Caller(UpdateCluster.call(v, "two" + v, "b", "a", "own2" + v), lost);
            pairs.add(new UpdateCluster.Caller[] {one, two});
            one.send(n(random.nextInt(5)));
            net.loop.schedule(random.nextInt(150), () -> two.send(n(random.nextInt(5))));
            net.loop.run(random.nextInt(400));
            final NodeId victim = n(random.nextInt(5));
            net.end(victim);
            net.loop.run(500 + random.nextInt(1000));
            net.start(victim);
            net.loop.run(1500);
        }
        net.lose(0);
        net.loop.run(60_000);
        for (int v = 1; v <= 4; v++) {
            judgePair(net, v, pairs.get(v - 1));
        }
        final Item a = net.item(n(0), UpdateCluster.service("a"));
        assertEquals(4, a.version().number());
        standing(net, "a", "b", "own11", "own21", "own14", "own24");
        assertEquals(UpdateCluster.note(a), standing(net, "b").get(0).substring(2));
    }

    private static void judgePair(final UpdateCluster net, final int v, final UpdateCluster.Caller[] pair) {
        assertEquals(Set.of(200, 409), Set.of(pair[0].status, pair[1].status), "exactly one of version " + v);
        for (final UpdateCluster.Caller c : pair) {
            final int i = c == pair[0] ? 1 : 2;
            if (c.status == 409) {
                nothingOf(net, (i == 1 ? "one" : "two") + v);
            } else {
                assertEquals(
                        Optional.of((long) v),
                        Optional.of(net.item(n(1), UpdateCluster.service("own" + i + v))
                                .version()
                                .number()));
            }
            assertEquals(c.status, clear(net, n(v % 5), c.text), "the same again");
        }
    }
}
