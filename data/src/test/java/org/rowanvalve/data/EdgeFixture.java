package org.rowanvalve.data;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.rowanvalve.common.Ballot;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Mark;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;
import org.rowanvalve.common.Token;
import org.rowanvalve.common.Ver;
import org.rowanvalve.control.ConfigView;
import org.rowanvalve.control.ItemStore;
import org.rowanvalve.control.Json;
import org.rowanvalve.control.Match;
import org.rowanvalve.control.Plan;
import org.rowanvalve.control.Service;

/** An edge on a loop of virtual time, whose shields answer by hand. */
abstract class EdgeFixture {
    static final NodeId N1 = NodeId.of("n1");
    static final NodeId N2 = NodeId.of("n2");
    final Ticks loop = new Ticks();
    final Journal journal = new Journal(loop, 1000);
    final ItemStore held = new ItemStore(loop, journal);
    final ConfigView view = new ConfigView(held);
    final List<Asked> asked = new ArrayList<>();
    final List<Answer> said = new ArrayList<>();
    final Map<NodeId, Long> silence = new HashMap<>();
    final List<NodeId> near = new ArrayList<>(List.of(N1, N2, NodeId.of("n3"), NodeId.of("n4")));
    boolean fresh = true;
    boolean alone;
    long heard;
    Sender direct;
    final Net net = (to, msg, wait, then) -> asked.add(new Asked(to, (Msg.Fill) msg, then));
    final Edge edge = new Edge(loop, net, view, () -> fresh, 1, journal, 1 << 20, new EdgeRouting() {
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

    record Asked(NodeId to, Msg.Fill fill, Consumer<Reply> then) {}

    void put(final ItemId id, final long ver, final Object body) {
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

    void aim(final String mode, final long ms) {
        put(
                new ItemId(Kind.ROUTE, mode),
                2,
                new Match("/" + mode + "/", "s", mode, 1000, true, "", "h", List.of(), true, 2000, ms, 0, 3, ""));
    }

    void ask(final String mode, final String range, final Map<String, String> heads) {
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

    void ask(final String mode) {
        ask(mode, null, Map.of());
    }

    Asked at(final int i) {
        return asked.get(i);
    }

    void back(final int i, final Reply r) {
        at(i).then().accept(r);
    }

    static Reply filled(final String fate, final int status, final String why, final long retry, final Mark mark) {
        return Reply.of(
                new Msg.Filled(fate, why, status, new Token(1, 1), Map.of(), why.getBytes(), 0, mark, retry, "s"));
    }

    static Reply good(final String body) {
        return filled(Answer.DONE, 200, body, 0, null);
    }

    /** A refusal says that the attempt given with the request was not used. */
    static Reply refused(final long retry) {
        return Reply.of(filled(Answer.REFUSED, 503, "no", retry, null)
                .as(Msg.Filled.class)
                .orElseThrow()
                .withUnused(1));
    }

    static Reply silent() {
        return Reply.lost(Reply.Trouble.NO_ANSWER);
    }

    static Reply unsent() {
        return Reply.lost(Reply.Trouble.NOT_SENT);
    }

    int status() {
        assertEquals(1, said.size(), "answered once");
        return said.get(0).status();
    }
}
