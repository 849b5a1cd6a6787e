package org.rowanvalve.data;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Ballot;
import org.rowanvalve.common.Condition;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Member;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;
import org.rowanvalve.common.Role;
import org.rowanvalve.common.Timing;
import org.rowanvalve.common.Ver;
import org.rowanvalve.control.ConfigView;
import org.rowanvalve.control.Holder;
import org.rowanvalve.control.ItemStore;
import org.rowanvalve.control.Json;
import org.rowanvalve.control.Match;
import org.rowanvalve.control.Origin;
import org.rowanvalve.control.Plan;
import org.rowanvalve.control.Service;

/** An edge and three real shields: to how many origins one request goes, whatever happens to messages between them. */
class AttemptsTest {
    private static final int SHIELDS = 3;
    private static final int ORIGINS = 6;
    private final Ticks loop = new Ticks();
    private final Journal journal = new Journal(loop, 1000);
    private final ItemStore held = new ItemStore(loop, journal);
    private final ConfigView view = new ConfigView(held);
    private final Map<NodeId, Shield> shields = new TreeMap<>();
    private final Map<NodeId, Long> silence = new HashMap<>();
    private final Map<String, List<String>> arrivals = new HashMap<>();
    private final Map<String, Integer> mayHaveRun = new HashMap<>();
    private final List<Answer> answers = new ArrayList<>();
    private Random dice = new Random(0);
    private final Edge edge;
    private Port.End[] ends = {};
    /** Parts of a hundred: messages that are not sent, whose answers are lost, that come late. */
    private int unsent;

    private int lost;
    private int late;

    AttemptsTest() {
        for (int i = 1; i <= SHIELDS; i++) {
            shields.put(NodeId.of("n" + i), shield("n" + i));
        }
        edge = new Edge(loop, this::carry, view, () -> true, 1, journal, 1 << 20, new EdgeRouting() {
            @Override
            public List<NodeId> near() {
                return List.copyOf(shields.keySet());
            }

            @Override
            public boolean heard(final NodeId id) {
                return true;
            }

            @Override
            public long silent(final NodeId id) {
                return silence.getOrDefault(id, 0L);
            }

            @Override
            public int places() {
                return 1;
            }

            @Override
            public int place() {
                return 0;
            }

            @Override
            public Sender direct() {
                return null;
            }

            @Override
            public boolean alone() {
                return false;
            }
        });
    }

    private Shield shield(final String name) {
        final Net toEdge = (to, msg, wait, then) -> {
            if (msg instanceof Msg.MoreAttempts m) {
                final Consumer<Reply> once = once(then);
                loop.after(wait, () -> once.accept(Reply.lost(Reply.Trouble.NO_ANSWER)));
                trouble(
                        () -> answer(new Msg.AttemptsGranted(edge.moreAttempts(NodeId.of(name), m.serial())), once),
                        () -> once.accept(Reply.lost(Reply.Trouble.NOT_SENT)));
            }
        };
        final Holder holder = new Holder(
                loop, toEdge, held, Timing.DEFAULT, journal, () -> true, List::of, (s, g, d) -> d.accept(true));
        final Setup setup = Setup.of(
                        new Member(NodeId.of(name), Role.SHIELD, "z", "127.0.0.1", 1, "b", Condition.READY, "1"))
                .extra(100, 100_000)
                .build();
        final Sender sender = new Sender(
                setup,
                loop,
                toEdge,
                new Origins(),
                view,
                holder,
                new Sender.Ties(() -> true, () -> false, List::of, () -> 1),
                journal);
        return new Shield(loop, toEdge, view, holder, sender, null, () -> true, () -> {}, setup, 1 << 20);
    }

    private static <T> Consumer<T> once(final Consumer<T> then) {
        final boolean[] heard = {false};
        return x -> {
            if (!heard[0]) {
                heard[0] = true;
                then.accept(x);
            }
        };
    }

    /** Delivers now, late, or not at all. */
    private void trouble(final Runnable deliver, final Runnable notSent) {
        final int roll = dice.nextInt(100);
        if (roll < unsent) {
            loop.after(1, notSent);
        } else {
            loop.after(roll < unsent + late ? dice.nextInt(1500) : 1, deliver);
        }
    }

    private void answer(final Msg msg, final Consumer<Reply> then) {
        if (dice.nextInt(100) >= lost) {
            loop.after(1, () -> then.accept(Reply.of(msg)));
        } else if (dice.nextBoolean()) {
            loop.after(dice.nextInt(500), () -> then.accept(Reply.lost(Reply.Trouble.NO_ANSWER)));
        }
    }

    private void carry(final NodeId to, final Msg msg, final long wait, final Consumer<Reply> then) {
        final Consumer<Reply> once = once(then);
        loop.after(wait, () -> once.accept(Reply.lost(Reply.Trouble.NO_ANSWER)));
        trouble(
                () -> shields.get(to).take(NodeId.of("edge"), (Msg.Fill) msg, m -> answer(m, once)),
                () -> once.accept(Reply.lost(Reply.Trouble.NOT_SENT)));
    }

    /** Origins whose ends are drawn; silence where none is given. */
    private final class Origins implements Port {
        @Override
        public Rope send(final Origin to, final Send what, final Gate gate, final Consumer<Got> then) {
            final End end = ends.length == 0 ? null : ends[dice.nextInt(ends.length)];
            final boolean[] cut = {false};
            if (!gate.open()) {
                then.accept(Got.none(End.BARRED, "barred"));
                return () -> {};
            }
            if (end != End.NOT_SENT) {
                arrivals.computeIfAbsent(what.id(), k -> new ArrayList<>()).add(to.stamp());
            }
            if (end == null || end == End.WHOLE || end == End.LOST || end == End.BAD) {
                mayHaveRun.merge(what.id(), 1, Integer::sum);
            }
            if (end == null) {
                loop.after(what.span(), () -> {
                    if (!cut[0]) {
                        then.accept(Got.none(End.LOST, "no answer in time"));
                    }
                });
            } else {
                loop.after(
                        1 + dice.nextInt(400),
                        () -> then.accept(
                                end == End.WHOLE
                                        ? new Got(end, 200, Map.of(), new byte[0], "")
                                        : Got.none(end, end.name())));
            }
            return () -> cut[0] = true;
        }

        @Override
        public String fault(final Origin to, final Send sent, final Got got) {
            return "";
        }
    }

    private void put(final ItemId id, final Object body) {
        held.merge(new Msg.Chosen(Ballot.ZERO, new Item(id, new Ver(1), Json.text(body), false, "")));
    }

    private void configure(final int tries) {
        put(new ItemId(Kind.SERVICE, "s"), new Service("open", 0, 1000, 5000, 0, 0, ""));
        for (final String m : List.of(Match.CACHED, Match.STATUS, Match.SINGLE)) {
            put(
                    new ItemId(Kind.ROUTE, m),
                    new Match("/" + m + "/", "s", m, 1000, true, "", "h", List.of(), true, 4000, 400, 0, tries, ""));
        }
        put(ItemId.PLAN, new Plan(1, 1, List.of(new Plan.Part("n1", 1, 1))));
        for (int i = 0; i < ORIGINS; i++) {
            put(
                    new ItemId(Kind.ORIGIN, "o" + i),
                    new Origin("s", "10.0.0.1", 80, "o" + i, "open", 0, 0, false, 1, "z", 4, 0));
        }
    }

    private void ask(final String mode, final String id) {
        final String method = mode.equals(Match.SINGLE) ? "POST" : "GET";
        edge.take(
                new ClientRequest(
                        method, "h", "/" + mode + "/" + id, null, new byte[0], null, id, 3000, null, Map.of()),
                answers::add);
    }

    private int sent(final String id) {
        return arrivals.getOrDefault(id, List.of()).size();
    }

    /** What was seen: two attempts allowed, and each of two shields made two. */
    @Test
    void aShieldThatFallsSilentLeavesTheNextOneOnlyWhatItWasNotGiven() {
        configure(3);
        ends = new Port.End[] {Port.End.WHOLE};
        silence.put(NodeId.of("n1"), 1000L);
        ask(Match.STATUS, "earns its shield extra attempts");
        loop.run(500);
        silence.clear();
        answers.clear();
        ends = new Port.End[0];
        ask(Match.STATUS, "a");
        loop.run(100);
        assertEquals(1, sent("a"));
        silence.put(NodeId.of("n1"), 1000L);
        loop.run(3000);
        assertEquals(3, sent("a"), arrivals.toString());
        assertEquals(1, answers.size());
    }

    @Test
    void aShieldMakesFurtherAttemptsAsTheEdgeGrantsThem() {
        configure(3);
        ask(Match.STATUS, "a");
        loop.run(3500);
        assertEquals(3, sent("a"), "one more after each silence");
        ends = new Port.End[] {Port.End.TURNED};
        ask(Match.STATUS, "b");
        loop.run(3500);
        assertEquals(3, arrivals.get("b").size());
        ask(Match.SINGLE, "c");
        loop.run(3500);
        assertEquals(3, arrivals.get("c").size());
        assertEquals(Answer.REFUSED, answers.get(2).fate());
    }

    @Test
    void whereNothingIsLeftNoOtherShieldIsAsked() {
        configure(1);
        ask(Match.STATUS, "a");
        silence.put(NodeId.of("n1"), 1000L);
        loop.run(3500);
        assertEquals(1, sent("a"));
        assertEquals(504, answers.get(0).status());
    }

    @Test
    void anotherNodeThanTheOneThatWasAskedIsGrantedNothing() {
        configure(3);
        ask(Match.STATUS, "a");
        final NodeId n1 = NodeId.of("n1");
        assertEquals(0, edge.moreAttempts(NodeId.of("n2"), 1));
        assertEquals(0, edge.moreAttempts(n1, 99));
        assertEquals(1, edge.moreAttempts(n1, 1));
        assertEquals(1, edge.moreAttempts(n1, 1));
        assertEquals(0, edge.moreAttempts(n1, 1));
        loop.run(3500);
        assertEquals(0, edge.moreAttempts(n1, 1), "it has ended");
    }

    /** Lost, late and unsent messages, shields that fall silent and come back, origins that end in every way. */
    @Test
    void noRequestReachesMoreOriginsThanItsRouteAllowsAndNoneThatMayRunOnceRunsTwice() {
        int reached = 0;
        int several = 0;
        for (int seed = 0; seed < 200; seed++) {
            final AttemptsTest one = new AttemptsTest();
            one.dice = new Random(seed);
            final int tries = 1 + seed % 4;
            one.play(tries);
            for (final Map.Entry<String, List<String>> e : one.arrivals.entrySet()) {
                final int sent = e.getValue().size();
                assertTrue(sent <= tries, "seed " + seed + ": " + e.getKey() + " " + e.getValue());
                reached++;
                several += sent > 1 ? 1 : 0;
            }
            for (final Map.Entry<String, Answer> e : one.said.entrySet()) {
                if (e.getKey().startsWith(Match.SINGLE)) {
                    final int ran = one.mayHaveRun.getOrDefault(e.getKey(), 0);
                    assertTrue(ran <= 1, "seed " + seed + ": " + e.getKey());
                    assertFalse(
                            ran > 0 && e.getValue().fate().equals(Answer.REFUSED),
                            "seed " + seed + ": refused, and has run: " + e.getKey());
                }
            }
        }
        assertTrue(reached > 2000 && several > 500, reached + " reached an origin, " + several + " several times");
    }

    private final Map<String, Answer> said = new TreeMap<>();

    private void play(final int tries) {
        configure(tries);
        final Port.End[] all = {
            Port.End.WHOLE, Port.End.WHOLE, Port.End.NOT_SENT, Port.End.TURNED, Port.End.LOST, Port.End.BAD, null
        };
        ends = new Port.End[4];
        for (int i = 0; i < ends.length; i++) {
            ends[i] = all[dice.nextInt(all.length)];
        }
        unsent = dice.nextInt(30);
        lost = dice.nextInt(40);
        late = dice.nextInt(40);
        final List<String> modes = List.of(Match.STATUS, Match.SINGLE, Match.CACHED);
        final Set<String> open = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            final String mode = modes.get(dice.nextInt(modes.size()));
            final String id = mode + i;
            final String method = mode.equals(Match.SINGLE) ? "POST" : "GET";
            open.add(id);
            edge.take(
                    new ClientRequest(
                            method, "h", "/" + mode + "/" + id, null, new byte[0], null, id, 3000, null, Map.of()),
                    a -> {
                        assertTrue(open.remove(id), "answered once: " + id);
                        said.put(id, a);
                    });
            silence.put(NodeId.of("n" + (1 + dice.nextInt(SHIELDS))), dice.nextBoolean() ? 1000L : 0L);
            loop.run(dice.nextInt(300));
        }
        loop.run(20_000);
        assertEquals(Set.of(), open, "each is answered");
    }
}
