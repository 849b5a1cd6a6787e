package rv.data;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rv.base.Ballot;
import rv.base.Condition;
import rv.base.Item;
import rv.base.ItemId;
import rv.base.Journal;
import rv.base.Kind;
import rv.base.Mark;
import rv.base.Member;
import rv.base.Msg;
import rv.base.Net;
import rv.base.NodeId;
import rv.base.Reply;
import rv.base.Role;
import rv.base.Token;
import rv.base.Ver;
import rv.control.ConfigView;
import rv.control.ItemStore;
import rv.control.Json;
import rv.control.Match;
import rv.control.Origin;
import rv.control.Plan;
import rv.control.Purge;
import rv.control.Service;

/** A request's way through an edge, on routes whose uncached requests may go through any shield. */
class EdgeTest {
    private static final NodeId N1 = NodeId.of("n1");
    private static final NodeId N2 = NodeId.of("n2");
    private final Ticks loop = new Ticks();
    private final Journal journal = new Journal(loop, 1000);
    private final ItemStore held = new ItemStore(loop, journal);
    private final ConfigView view = new ConfigView(held);
    private final List<Asked> asked = new ArrayList<>();
    private final List<Answer> said = new ArrayList<>();
    private final Map<NodeId, Long> silence = new HashMap<>();
    private final List<NodeId> near = new ArrayList<>(List.of(N1, N2, NodeId.of("n3"), NodeId.of("n4")));
    private boolean fresh = true;
    private boolean alone;
    private long heard;
    private Sender direct;
    private final Net net = (to, msg, wait, then) -> asked.add(new Asked(to, (Msg.Fill) msg, then));
    private final Edge edge = new Edge(loop, net, view, () -> fresh, 1, journal, 1 << 20, new EdgeRouting() {
        @Override
        public List<NodeId> near() {
            return near;
        }

        @Override
        public boolean heard(final NodeId id) {
            return near.contains(id);
        }

        @Override
        public long silent(final NodeId id) {
            return silence.getOrDefault(id, 0L);
        }

        @Override
        public boolean alone() {
            return alone;
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
            return direct;
        }
    });

    private record Asked(NodeId to, Msg.Fill fill, Consumer<Reply> then) {}

    private void put(final ItemId id, final long ver, final Object body) {
        held.merge(new Msg.Chosen(Ballot.ZERO, new Item(id, new Ver(ver), Json.text(body), false, "")));
    }

    @BeforeEach
    void begin() {
        put(new ItemId(Kind.SERVICE, "s"), 1, new Service("open", 0, 1000, 5000, 0, 0, ""));
        for (final String m : List.of(Match.CACHED, Match.STATUS, Match.ONCE, Match.SINGLE)) {
            put(
                    new ItemId(Kind.ROUTE, m),
                    1,
                    new Match("/" + m + "/", "s", m, 1000, true, "", "h", List.of(), true, 2000, 0, 0, 3, ""));
        }
        put(ItemId.PLAN, 1, new Plan(1, 1, List.of(new Plan.Part("n1", 1, 1))));
    }

    private void ask(final String mode, final String range, final Map<String, String> heads) {
        edge.take(
                new ClientRequest(
                        mode.equals(Match.ONCE) || mode.equals(Match.SINGLE) ? "POST" : "GET",
                        "h",
                        "/" + mode + "/1",
                        mode.equals(Match.ONCE) ? "k" : null,
                        new byte[0],
                        null,
                        "id",
                        1200,
                        range,
                        heads),
                a -> {
                    said.add(a);
                    heard = loop.now();
                });
        loop.run(1);
    }

    private void ask(final String mode) {
        ask(mode, null, Map.of());
    }

    private Asked at(final int i) {
        return asked.get(i);
    }

    private void back(final int i, final Reply r) {
        at(i).then().accept(r);
    }

    private static Reply filled(
            final String fate, final int status, final String why, final long retry, final Mark mark) {
        return Reply.of(
                new Msg.Filled(fate, why, status, new Token(1, 1), Map.of(), why.getBytes(), 0, mark, retry, "s"));
    }

    private static Reply good(final String body) {
        return filled(Answer.DONE, 200, body, 0, null);
    }

    /** A refusal says that the attempt given with the request was not used. */
    private static Reply refused(final long retry) {
        return Reply.of(filled(Answer.REFUSED, 503, "no", retry, null)
                .as(Msg.Filled.class)
                .orElseThrow()
                .withUnused(1));
    }

    private static Reply silent() {
        return Reply.lost(Reply.Trouble.NO_ANSWER);
    }

    private static Reply unsent() {
        return Reply.lost(Reply.Trouble.NOT_SENT);
    }

    private int status() {
        assertEquals(1, said.size(), "answered once");
        return said.get(0).status();
    }

    @Test
    void whatNeedsNoRightGoesThroughTheNearestShield() {
        ask(Match.STATUS);
        assertEquals(N1, at(0).to());
        assertTrue(at(0).fill().pass());
        assertFalse(at(0).fill().extra());
        assertEquals(-1, at(0).fill().shard());
        assertNull(at(0).fill().mark());
        assertTrue(at(0).fill().span() < 1200 && at(0).fill().span() > 1000);
        back(0, good("x"));
        assertEquals(200, status());
    }

    @Test
    void aShieldThatRefusedHasSentNothingSoTheNextIsNoExtraTry() {
        ask(Match.SINGLE);
        back(0, refused(500));
        back(1, unsent());
        assertEquals(N2, at(1).to());
        assertFalse(at(1).fill().extra() || at(2).fill().extra());
        back(2, refused(500));
        assertEquals(503, status());
        assertEquals(Answer.REFUSED, said.get(0).fate());
    }

    @Test
    void aReadIsAskedElsewhereAsAnExtraTryAnythingElseIsNot() {
        ask(Match.STATUS);
        back(0, silent());
        assertTrue(at(1).fill().extra());
        back(1, good("x"));
        assertEquals(200, status());
        said.clear();
        asked.clear();
        ask(Match.SINGLE);
        back(0, silent());
        loop.run(1300);
        assertEquals(1, asked.size());
        assertEquals(504, status());
        assertEquals(Answer.UNKNOWN, said.get(0).fate());
    }

    @Test
    void aShieldThatFallsSilentIsNotWaitedForByReads() {
        ask(Match.STATUS);
        loop.run(250);
        assertEquals(1, asked.size(), "it is heard from");
        silence.put(N1, 1000L);
        loop.run(100);
        assertEquals(2, asked.size());
        assertEquals(N2, at(1).to());
        back(0, good("first"));
        back(1, good("second"));
        assertEquals(200, status());
        said.clear();
        asked.clear();
        ask(Match.SINGLE);
        loop.run(900);
        assertEquals(1, asked.size(), "at most once");
    }

    @Test
    void aKeyedRequestIsAskedAgainUnderItsKey() {
        ask(Match.ONCE);
        assertEquals(0, at(0).fill().shard());
        back(0, silent());
        loop.run(70);
        assertEquals("k", at(1).fill().key());
        back(1, refused(500));
        loop.run(200);
        back(2, good("x"));
        assertEquals(200, status());
    }

    @Test
    void aRefusalPromisesNothingOnceAWayMayHaveSentIt() {
        ask(Match.ONCE);
        back(0, silent());
        loop.run(70);
        for (int i = 1; i < 20 && said.isEmpty(); i++) {
            back(i, refused(500));
            loop.run(300);
        }
        assertEquals(504, status());
        assertEquals(Answer.UNKNOWN, said.get(0).fate());
    }

    @Test
    void aRefusalStandsWhereNothingWasEverSent() {
        ask(Match.ONCE);
        for (int i = 0; i < 20 && said.isEmpty(); i++) {
            back(i, i % 2 == 0 ? unsent() : refused(500));
            loop.run(300);
        }
        assertEquals(503, status());
        assertEquals(Answer.REFUSED, said.get(0).fate());
        assertTrue(said.get(0).retryMs() > 0);
        assertTrue(heard < 10_000 + 1200, "before the caller gives up");
    }

    @Test
    void whatTheHolderDoesNotKnowIsUnknown() {
        ask(Match.ONCE);
        back(0, filled(Answer.UNKNOWN, 502, "lost", 0, null));
        assertEquals(504, status());
    }

    @Test
    void anEarlierHoldersAnswerIsNoAnswer() {
        ask(Match.ONCE);
        put(ItemId.PLAN, 2, new Plan(2, 1, List.of(new Plan.Part("n2", 1, 2))));
        back(0, silent());
        loop.run(70);
        assertEquals(N2, at(1).to());
        back(1, good("low token"));
        assertEquals(504, status());
    }

    @Test
    void readsGoOnWithoutAHolderUnkept() {
        near.remove(N1);
        ask(Match.CACHED);
        assertTrue(at(0).fill().pass());
        back(0, good("x"));
        assertEquals(200, status());
        ask(Match.CACHED);
        assertEquals(2, asked.size(), "not kept");
    }

    /** Passed through by another shield it would cost as much of the ceiling and be kept by nobody. */
    @Test
    void aReadForWhichTheCeilingHasNoRoomIsRefusedAtOnce() {
        ask(Match.CACHED);
        back(
                0,
                Reply.of(filled(Answer.REFUSED, 503, OriginDispatch.RATE_SPENT, 1000, null)
                        .as(Msg.Filled.class)
                        .orElseThrow()
                        .withUnused(1)));
        assertEquals(1, asked.size(), "no other shield is asked");
        assertEquals(503, status());
    }

    @Test
    void readsGoOnWhereTheHolderFallsSilent() {
        ask(Match.CACHED);
        assertFalse(at(0).fill().pass());
        silence.put(N1, 1000L);
        loop.run(350);
        assertTrue(at(1).fill().pass());
        back(1, good("x"));
        back(0, good("late"));
        assertEquals(200, status());
    }

    private Mark mark() {
        return view.mark(view.route("h", "/cached/1").orElseThrow(), "/cached/1");
    }

    @Test
    void aCopyServesAllWhoWaitAndWhoComesLaterAlsoInParts() {
        ask(Match.CACHED);
        ask(Match.CACHED, "bytes=1-2", Map.of());
        assertEquals(1, asked.size());
        back(0, filled(Answer.DONE, 200, "abcd", 0, mark()));
        assertEquals(List.of(200, 206), said.stream().map(Answer::status).toList());
        ask(Match.CACHED, "bytes=9-", Map.of());
        ask(Match.CACHED);
        assertEquals(
                List.of(200, 206, 416, 200), said.stream().map(Answer::status).toList());
        assertEquals(1, asked.size());
        assertEquals("bc", new String(said.get(1).body()));
    }

    @Test
    void whatWasPurgedWhileItWasFilledIsFilledAnew() {
        ask(Match.CACHED);
        put(new ItemId(Kind.PURGE, "h.1"), 4, new Purge(null, "/cached/1", null, "h", null));
        back(0, filled(Answer.DONE, 200, "old", 0, new Mark(Map.of())));
        loop.run(70);
        assertEquals(Map.of("p/h.1", 4L), at(1).fill().mark().vers());
        put(new ItemId(Kind.PURGE, "t.1"), 5, new Purge(null, null, null, null, "t1"));
        final Map<String, Long> tagged = new HashMap<>(mark().vers());
        tagged.put("t/t1", 0L);
        back(1, filled(Answer.DONE, 200, "old", 0, new Mark(tagged)));
        loop.run(130);
        tagged.put("t/t1", 5L);
        back(2, filled(Answer.DONE, 200, "new", 0, new Mark(tagged)));
        assertEquals("new", new String(said.get(0).body()));
        assertEquals(1, said.size());
        put(new ItemId(Kind.PURGE, "t.1"), 6, new Purge(null, null, null, null, "t1"));
        ask(Match.CACHED);
        assertEquals(4, asked.size(), "the kept copy has that tag");
    }

    /** What one caller has already is no answer for another who waits for the same fill. */
    @Test
    void oneCallersConditionsDoNotGoWithAFillForMany() {
        ask(Match.CACHED, null, Map.of("If-None-Match", "\"v1\"", "Accept-Language", "sw"));
        ask(Match.CACHED);
        assertEquals(Map.of("Accept-Language", "sw"), at(0).fill().heads());
        ask(Match.STATUS, null, Map.of("If-None-Match", "\"v1\""));
        assertEquals(Map.of("If-None-Match", "\"v1\""), at(1).fill().heads());
    }

    @Test
    void withAStaleFrameOnlyWhatNeedsNoRightGoesOnAndOnlyWhereNobodyCanBeHeard() {
        fresh = false;
        ask(Match.STATUS);
        ask(Match.CACHED);
        assertEquals(List.of(503, 503), said.stream().map(Answer::status).toList());
        assertEquals(0, asked.size());
        alone = true;
        ask(Match.STATUS);
        ask(Match.CACHED);
        assertTrue(at(0).fill().pass() && at(1).fill().pass());
        edge.take(
                new ClientRequest("GET", "h", "/nowhere/1", null, new byte[0], null, "id", 1200, null, Map.of()),
                said::add);
        assertEquals(503, said.get(2).status(), "no 404 without a confirmed frame");
    }

    /** Once only needs a holder; everything else an origin takes from the edge itself, as long as no shield is heard of. */
    @Test
    void anEdgeThatHearsNoShieldSendsReadsItself() {
        final Yes port = new Yes(loop, new ArrayList<>());
        final List<Port.Send> sent = port.sent();
        final Member self = new Member(NodeId.of("e"), Role.EDGE, "z", "127.0.0.1", 1, "b", Condition.READY, "1");
        direct = new Sender(
                Setup.of(self).build(),
                loop,
                net,
                port,
                view,
                null,
                new Sender.Ties(() -> fresh, () -> alone, List::of, () -> 2),
                journal);
        put(new ItemId(Kind.ORIGIN, "o"), 1, new Origin("s", "10.0.0.1", 80, "o", "open", 0, 0, false, 1, "z", 4, 0));
        ask(Match.STATUS);
        loop.run(5);
        assertEquals(1, asked.size(), "a shield is there");
        asked.clear();
        near.clear();
        ask(Match.STATUS);
        ask(Match.CACHED, "bytes=1-2", Map.of("If-None-Match", "\"v1\""));
        loop.run(5);
        assertEquals(List.of(200, 206), said.stream().map(Answer::status).toList());
        assertEquals(Map.of("x", "y"), said.get(0).heads());
        assertEquals(
                List.of("/status/1", "/cached/1"),
                sent.stream().map(Port.Send::path).toList());
        assertEquals(Map.of(), sent.get(1).heads());
        assertEquals("id", sent.get(0).id());
        ask(Match.ONCE);
        loop.run(1200);
        assertEquals(2, sent.size());
    }

    @Test
    void whereNoShieldIsHeardOfTheRefusalComesAtOnce() {
        near.clear();
        final long begun = loop.now();
        ask(Match.STATUS);
        ask(Match.CACHED);
        assertEquals(List.of(503, 503), said.stream().map(Answer::status).toList());
        assertTrue(loop.now() - begun < 10);
        ask(Match.ONCE);
        loop.run(1200);
        assertEquals(503, said.get(2).status());
    }
}
