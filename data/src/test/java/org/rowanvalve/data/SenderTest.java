package org.rowanvalve.data;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
import org.rowanvalve.common.Role;
import org.rowanvalve.common.Timing;
import org.rowanvalve.common.Ver;
import org.rowanvalve.control.ConfigView;
import org.rowanvalve.control.Holder;
import org.rowanvalve.control.ItemStore;
import org.rowanvalve.control.Json;
import org.rowanvalve.control.Origin;
import org.rowanvalve.control.Service;

/** Slots, the waiting line, and how often a request may be sent. */
class SenderTest {
    private final Ticks loop = new Ticks();
    private final Journal journal = new Journal(loop, 1000);
    private final ItemStore held = new ItemStore(loop, journal);
    private final ConfigView view = new ConfigView(held);
    private final Net net = (to, msg, wait, then) -> {};
    private final List<String> sent = new ArrayList<>();
    private final List<Consumer<Port.Got>> open = new ArrayList<>();
    private final Map<String, Port.Got> says = new HashMap<>();
    private final List<Sender.Sent> ends = new ArrayList<>();
    private final List<NodeId> peers = new ArrayList<>();
    private boolean fresh = true;
    private boolean alone;
    private final Sender sender = sender(0.2, 60);

    private Sender sender(final double ratio, final double slack) {
        return sender(ratio, slack, Role.SHIELD);
    }

    private Sender sender(final double ratio, final double slack, final Role role) {
        final Member self = new Member(NodeId.of("me"), role, "z", "127.0.0.1", 1, "b", Condition.READY, "1");
        final Port port = (to, what, gate, then) -> {
            if (!gate.open()) {
                then.accept(Port.Got.none(Port.End.BARRED, "barred"));
                return () -> {};
            }
            sent.add(to.stamp() + " " + what.path());
            final Port.Got now = says.get(to.stamp());
            if (now != null) {
                loop.post(() -> then.accept(now));
            } else {
                open.add(then);
            }
            return () -> {};
        };
        final Port plain = new Port() {
            @Override
            public Rope send(final Origin to, final Send what, final Gate gate, final Consumer<Got> then) {
                return port.send(to, what, gate, then);
            }

            @Override
            public String fault(final Origin to, final Send what, final Got got) {
                return "";
            }
        };
        final Holder holder =
                new Holder(loop, net, held, Timing.DEFAULT, journal, () -> true, List::of, (s, g, d) -> d.accept(true));
        return new Sender(
                Setup.of(self).extra(ratio, slack).build(),
                loop,
                net,
                plain,
                view,
                holder,
                new Sender.Ties(() -> fresh, () -> alone, () -> peers, () -> 11),
                journal);
    }

    private void put(final Kind kind, final String name, final long ver, final Object body) {
        held.merge(new Msg.Chosen(
                Ballot.ZERO, new Item(new ItemId(kind, name), new Ver(ver), Json.text(body), false, "")));
    }

    private void service(final double ceiling) {
        put(Kind.SERVICE, "s", 1, new Service("open", 0, 1000, 5000, ceiling, 0, ""));
    }

    private void origin(final String name, final int slots) {
        put(Kind.ORIGIN, name, 1, new Origin("s", "10.0.0.1", 80, name, "open", 0, 0, false, 1, "z", slots, 0));
    }

    private static Port.Got whole() {
        return new Port.Got(Port.End.WHOLE, 200, Map.of(), new byte[0], "");
    }

    private OriginRequest order(
            final String path, final boolean once, final int rank, final int tries, final long span) {
        return new OriginRequest(
                OriginRequest.NONE,
                new Port.Send("s", "GET", path, "id" + path, null, null, null, 0),
                once,
                loop.now() + span,
                rank,
                tries,
                false);
    }

    private void send(final Sender by, final OriginRequest o) {
        by.send(o, ends::add);
        loop.run(1);
    }

    private void send(final String path) {
        send(sender, order(path, false, 0, 3, 2000));
    }

    @Test
    void whatFindsNoFreeSlotWaitsItsTurnByRank() {
        service(0);
        origin("a", 1);
        send("/1");
        send("/2");
        assertEquals(List.of("a /1", "a /2"), sent, "one more than its slots");
        send(sender, order("/low", false, 5, 3, 2000));
        send(sender, order("/high", false, 1, 3, 2000));
        send(sender, order("/high2", false, 1, 3, 2000));
        assertEquals(2, sent.size());
        assertEquals(5, sender.busy());
        for (int i = 0; i < 5; i++) {
            open.get(i).accept(whole());
            loop.run(1);
        }
        assertEquals(List.of("a /1", "a /2", "a /high", "a /high2", "a /low"), sent);
        assertEquals(5, ends.size());
        assertEquals(0, sender.busy());
    }

    @Test
    void aTurnThatWouldComeTooLateIsRefusedAtOnce() {
        service(0);
        origin("a", 1);
        send("/1");
        send("/2");
        send(sender, order("/soon", false, 0, 3, 100));
        assertEquals(1, ends.size(), "not held until its cutoff");
        assertFalse(ends.get(0).ran());
        assertEquals(Port.End.NOT_SENT, ends.get(0).got().end());
        assertTrue(ends.get(0).retryMs() >= 250 && ends.get(0).retryMs() <= 1000);
        send(sender, order("/later", false, 0, 3, 700));
        assertEquals(1, ends.size());
        loop.run(700);
        assertEquals(
                2,
                ends.stream()
                        .filter(e -> e.got().why().equals("every origin is busy"))
                        .count(),
                "its time to be served has passed");
    }

    @Test
    void otherShieldsRequestsTakeSlotsToo() {
        service(0);
        origin("a", 1);
        peers.add(NodeId.of("n2"));
        sender.told(NodeId.of("n2"), new Msg.Busy(Map.of("a", 2)));
        send("/1");
        assertEquals(List.of(), sent);
        sender.told(NodeId.of("n2"), new Msg.Busy(Map.of()));
        loop.run(1);
        assertEquals(List.of("a /1"), sent);
    }

    /** A request waits for another origin than the one that has room: the line is not turned round and round. */
    @Test
    void roomAtAnOriginThatWasTriedAlreadyDoesNotTurnTheLineForEver() {
        service(0);
        origin("a", 2);
        origin("b", 2);
        says.put("a", Port.Got.none(Port.End.TURNED, "full"));
        sender.told(NodeId.of("n2"), new Msg.Busy(Map.of("b", 4)));
        for (int i = 0; i < 10; i++) {
            says.put("a", whole());
            send("/earn" + i);
        }
        ends.clear();
        says.put("a", Port.Got.none(Port.End.TURNED, "full"));
        assertTimeoutPreemptively(Duration.ofSeconds(10), () -> send("/1"));
        assertEquals("a /1", sent.get(sent.size() - 1));
        assertEquals(0, ends.size(), "it waits for the other");
        says.put("b", whole());
        assertTimeoutPreemptively(Duration.ofSeconds(10), () -> sender.told(NodeId.of("n2"), new Msg.Busy(Map.of())));
        loop.run(1);
        assertEquals("b /1", sent.get(sent.size() - 1));
        assertEquals(Port.End.WHOLE, ends.get(0).got().end());
    }

    @Test
    void anOriginThatCannotBeReachedIsNoExtraTry() {
        service(0);
        for (final String n : List.of("a", "b", "c")) {
            origin(n, 4);
            says.put(n, Port.Got.none(Port.End.NOT_SENT, "no circuit"));
        }
        origin("d", 4);
        says.put("d", whole());
        send(sender(0, 0), order("/1", true, 0, 1, 2000));
        loop.run(10);
        assertEquals(4, sent.size());
        assertEquals(Port.End.WHOLE, ends.get(0).got().end());
    }

    /** The budget goes by requests, so what one request earns does not rise with the origins that cannot be reached. */
    @Test
    void aRequestEarnsItsPartOfATryOnce() {
        service(0);
        for (final String n : List.of("a", "b", "c", "d", "e")) {
            origin(n, 4);
            says.put(n, Port.Got.none(Port.End.NOT_SENT, "no circuit"));
        }
        origin("f", 4);
        says.put("f", Port.Got.none(Port.End.TURNED, "full"));
        origin("g", 4);
        says.put("g", Port.Got.none(Port.End.TURNED, "full"));
        send(sender(0.2, 4000), order("/1", false, 0, 3, 2000));
        loop.run(10);
        assertEquals(6, sent.size(), "no extra try was earned by one request: " + sent);
        assertEquals(Port.End.TURNED, ends.get(0).got().end());
    }

    @Test
    void whatMayRunOnceIsNeverSentAgainOnceItMayHaveRun() {
        service(0);
        origin("a", 4);
        origin("b", 4);
        for (final Port.End end : List.of(Port.End.LOST, Port.End.BAD)) {
            sent.clear();
            ends.clear();
            says.put("a", Port.Got.none(end, "lost"));
            says.put("b", Port.Got.none(end, "lost"));
            send(sender(100, 100_000), order("/1", true, 0, 5, 2000));
            loop.run(2100);
            assertEquals(1, sent.size(), end.name());
            assertTrue(ends.get(0).ran());
        }
    }

    @Test
    void silenceIsNoReasonToSendItAgainEither() {
        service(0);
        origin("a", 4);
        origin("b", 4);
        send(sender(100, 100_000), order("/1", true, 0, 5, 9000));
        loop.run(8000);
        assertEquals(1, sent.size());
        assertEquals(0, ends.size(), "and the answer is waited for");
        sent.clear();
        send(sender(100, 100_000), order("/2", false, 0, 5, 9000));
        loop.run(8000);
        assertEquals(2, sent.size(), "a read is tried elsewhere, as far as there are origins");
    }

    @Test
    void oneThatTurnedItAwayHasNotRunItAndTheNextIsAskedWithinTriesAndBudget() {
        service(0);
        for (final String n : List.of("a", "b", "c")) {
            origin(n, 4);
            says.put(n, Port.Got.none(Port.End.TURNED, "full"));
        }
        send(sender(100, 100_000), order("/1", true, 0, 2, 2000));
        loop.run(10);
        assertEquals(2, sent.size(), "as many as its route allows");
        assertFalse(ends.get(0).ran());
        sent.clear();
        send(sender(0, 0), order("/2", true, 0, 3, 2000));
        loop.run(10);
        assertEquals(1, sent.size(), "no budget, no second origin");
    }

    @Test
    void anAddressThatAnotherHasTakenIsAskedOnce() {
        service(0);
        origin("a", 4);
        origin("b", 4);
        says.put("a", Port.Got.none(Port.End.STRANGE, "status 421"));
        says.put("b", whole());
        final Sender by = sender(100, 100_000);
        for (int i = 0; i < 10; i++) {
            send(by, order("/" + i, true, 0, 3, 2000));
            loop.run(3000);
        }
        assertEquals(1, sent.stream().filter(t -> t.startsWith("a ")).count(), sent.toString());
        assertEquals(
                10, ends.stream().filter(e -> e.got().end() == Port.End.WHOLE).count());
    }

    /** The budget is the shields' to spend: edges are many, and none knows what the others do. */
    @Test
    void anEdgeThatSendsItselfMakesNoExtraTry() {
        service(0);
        for (int i = 0; i < 40; i++) {
            origin("o" + i, 4);
            says.put("o" + i, Port.Got.none(Port.End.TURNED, "full"));
        }
        send(sender(100, 60, Role.EDGE), order("/1", false, 0, 40, 9000));
        loop.run(100);
        assertEquals(1, sent.size());
        sent.clear();
        send(sender(100, 60), order("/2", false, 0, 40, 9000));
        loop.run(100);
        assertEquals(1 + 6, sent.size(), "a shield: 0.4 of 60 over four at least");
    }

    @Test
    void withoutAFrameNothingLeavesUnlessNobodyCanBeHeard() {
        service(0);
        origin("a", 4);
        fresh = false;
        send("/1");
        assertEquals(List.of(), sent);
        assertFalse(ends.get(0).ran());
        alone = true;
        send("/2");
        assertEquals(List.of("a /2"), sent);
    }

    @Test
    void aLeavingOriginGetsNothingMoreAndADroppedServiceNeither() {
        service(0);
        origin("a", 4);
        put(Kind.ORIGIN, "a", 2, new Origin("s", "10.0.0.1", 80, "a", "open", 0, 0, true, 2, "z", 4, 0));
        send("/1");
        assertEquals(List.of(), sent);
        origin("b", 4);
        held.merge(new Msg.Chosen(Ballot.ZERO, new Item(new ItemId(Kind.SERVICE, "s"), new Ver(2), "", true, "")));
        send("/2");
        assertEquals(List.of(), sent);
        assertEquals(List.of(false, false), ends.stream().map(Sender.Sent::ran).toList());
    }

    @Test
    void whatPassesNoHolderHasATenthOfTheCeiling() {
        service(100);
        origin("a", 0);
        says.put("a", whole());
        for (int i = 0; i < 200; i++) {
            sender.send(order("/" + i, false, 0, 3, 2000), ends::add);
            loop.run(50);
        }
        assertTrue(sent.size() >= 90 && sent.size() <= 101, "10 a second for 10 s, not " + sent.size());
        assertTrue(ends.stream()
                .filter(e -> e.got().end() == Port.End.NOT_SENT)
                .allMatch(e -> e.retryMs() >= 1000 && !e.ran()));
    }
}
