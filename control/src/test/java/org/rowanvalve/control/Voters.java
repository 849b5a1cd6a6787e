package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.rowanvalve.common.Ballot;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;

/** Three electors that answer at once, and one node's part of the control plane that asks them. */
final class Voters implements Net {
    static final List<NodeId> ALL = List.of(NodeId.of("a"), NodeId.of("b"), NodeId.of("c"));
    final Ticks loop = new Ticks();
    final Journal journal = new Journal(loop, 100);
    final ItemStore held = new ItemStore(loop, journal);
    final ConfigView view = new ConfigView(held);
    final Set<NodeId> deaf = new HashSet<>();
    /** These confirm frames, but do not vote. */
    final Set<NodeId> mute = new HashSet<>();

    final List<Item> written = new ArrayList<>();
    /** What the electors hold and this node does not. */
    final List<Msg.Chosen> news = new ArrayList<>();

    final Electorate electorate = Electorate.of(new Quorum(ALL, Set.of()));
    final FrameSync sync = new FrameSync(
            electorate, loop, this, held, org.rowanvalve.common.Timing.DEFAULT, journal, held::merge, e -> {});
    final Writer writer = new Writer(
            NodeId.of("z"),
            "1",
            electorate,
            loop,
            this,
            new Random(1),
            journal,
            held,
            () -> List.of(),
            new StoreHealth(electorate.quorum(), loop, journal));
    private final Map<NodeId, Map<ItemId, Msg.Slot>> memory = new HashMap<>();
    private long tags;

    String tag() {
        return "t" + ++tags;
    }

    /** The frame is confirmed from now on, as long as a majority answers. */
    void confirm() {
        sync.start();
        loop.run(310);
    }

    void put(final ItemId id, final long ver, final Object body) {
        held.merge(new Msg.Chosen(
                Ballot.ZERO, new Item(id, new org.rowanvalve.common.Ver(ver), Json.text(body), false, "")));
    }

    @Override
    public void ask(final NodeId to, final Msg msg, final long wait, final Consumer<Reply> then) {
        final boolean vote = msg instanceof Msg.Prepare || msg instanceof Msg.Accept;
        if (deaf.contains(to) || vote && mute.contains(to)) {
            loop.after(wait, () -> then.accept(Reply.lost(Reply.Trouble.NO_ANSWER)));
        } else {
            loop.after(1, () -> then.accept(Reply.of(answer(to, msg))));
        }
    }

    private Msg answer(final NodeId who, final Msg msg) {
        final Map<ItemId, Msg.Slot> mine = memory.computeIfAbsent(who, k -> new HashMap<>());
        if (msg instanceof Msg.Prepare p) {
            final Msg.Slot s = mine.getOrDefault(p.id(), new Msg.Slot(Ballot.ZERO, Ballot.ZERO, Item.none(p.id())));
            final boolean ok = p.ballot().above(s.promised());
            if (ok) {
                mine.put(p.id(), new Msg.Slot(p.ballot(), s.at(), s.item()));
            }
            return new Msg.Promise(ok, ok ? p.ballot() : s.promised(), s.at(), s.item());
        }
        if (msg instanceof Msg.Accept a) {
            mine.put(a.item().id(), new Msg.Slot(a.ballot(), a.ballot(), a.item()));
            written.add(a.item());
            return new Msg.Accepted(true, a.ballot());
        }
        if (msg instanceof Msg.Vers) {
            return new Msg.Give(news, true, List.of());
        }
        return msg instanceof Msg.Query
                ? new Msg.Same(news.isEmpty(), java.util.Collections.nCopies(Digest.CELLS, 1L))
                : new Msg.Ok();
    }
}
