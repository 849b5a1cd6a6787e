package org.rowanvalve.data;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Ballot;
import org.rowanvalve.common.Condition;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Mark;
import org.rowanvalve.common.Member;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Role;
import org.rowanvalve.common.Timing;
import org.rowanvalve.common.Token;
import org.rowanvalve.common.Ver;
import org.rowanvalve.control.ConfigView;
import org.rowanvalve.control.Holder;
import org.rowanvalve.control.ItemStore;
import org.rowanvalve.control.Json;
import org.rowanvalve.control.Match;
import org.rowanvalve.control.Service;

/** A shield that cannot do what an edge asks: how long it takes to say so, and what it says of the attempts. */
class ShieldTest {
    private static final NodeId EDGE = NodeId.of("edge");
    private final Ticks loop = new Ticks();
    private final Journal journal = new Journal(loop, 100);
    private final ItemStore held = new ItemStore(loop, journal);
    private final ConfigView view = new ConfigView(held);
    private final Net net = (to, msg, wait, then) -> {};
    private final List<Msg.Filled> answers = new ArrayList<>();
    private final Setup setup = Setup.of(
                    new Member(NodeId.of("n1"), Role.SHIELD, "z", "127.0.0.1", 1, "b", Condition.READY, "1"))
            .build();
    private final Holder holder =
            new Holder(loop, net, held, Timing.DEFAULT, journal, () -> true, List::of, (s, g, d) -> d.accept(true));
    private final Sender sender = new Sender(
            setup,
            loop,
            net,
            new Yes(loop, new ArrayList<>()),
            view,
            holder,
            new Sender.Ties(() -> true, () -> false, List::of, () -> 1),
            journal);
    private final Shield shield =
            new Shield(loop, net, view, holder, sender, null, () -> true, () -> {}, setup, 1 << 20);

    private void route(final String mode, final long aim) {
        put(new ItemId(Kind.SERVICE, "s"), new Service("open", 0, 1000, 5000, 0, 0, ""));
        put(
                new ItemId(Kind.ROUTE, "r"),
                new Match("/", "s", mode, 1000, true, "", "h", List.of(), true, 2000, aim, 0, 3, ""));
    }

    private void put(final ItemId id, final Object body) {
        held.merge(new Msg.Chosen(Ballot.ZERO, new Item(id, new Ver(1), Json.text(body), false, "")));
    }

    private void ask(final Mark mark, final boolean pass, final Integer attempts) {
        final int shard = ShardRouting.shard(view.named("r").orElseThrow(), "/x", null, setup.shards(), 1, 0);
        shield.take(
                EDGE,
                new Msg.Fill(
                        1,
                        "r",
                        "GET",
                        "h",
                        "/x",
                        shard,
                        Token.ZERO,
                        mark,
                        null,
                        null,
                        null,
                        1500,
                        "id",
                        pass,
                        false,
                        Map.of(),
                        attempts),
                m -> answers.add((Msg.Filled) m));
        loop.run(1);
    }

    /** The edge knows of a purge that this node has not heard of. */
    @Test
    void aReadWaitsForNewsForAQuarterOfItsAimAtMost() {
        route(Match.CACHED, 200);
        ask(new Mark(Map.of("p/h.1", 9L)), false, 1);
        loop.run(40);
        assertEquals(0, answers.size(), "it may hear of it");
        loop.run(60);
        assertEquals("the holder's frame is behind", answers.get(0).why());
        answers.clear();
        route(Match.STATUS, 200);
        held.merge(new Msg.Chosen(
                Ballot.ZERO,
                new Item(
                        new ItemId(Kind.ROUTE, "r"),
                        new Ver(2),
                        Json.text(new Match(
                                "/", "s", Match.STATUS, 0, true, "", "h", List.of(), true, 2000, 200, 0, 3, "")),
                        false,
                        "")));
        ask(new Mark(Map.of("p/h.1", 9L)), false, 1);
        loop.run(300);
        assertEquals(0, answers.size(), "nothing else has less time than before");
    }

    @Test
    void whatSentNothingSaysThatItsAttemptsAreUnused() {
        route(Match.CACHED, 200);
        ask(null, false, 1);
        assertEquals("not the holder", answers.get(0).why());
        assertEquals(1, answers.get(0).unused());
        ask(null, true, 2);
        assertEquals(
                "no origin of the service is known or left to try",
                answers.get(1).why());
        assertEquals(2, answers.get(1).unused());
        ask(null, true, null);
        assertEquals(0, answers.get(2).unused(), "nothing was given by an edge that counts none");
    }
}
