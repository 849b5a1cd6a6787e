package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Timing;

/** Asks the electors whether this node holds all they have accepted, and takes what it lacks. */
public final class FrameSync {
    private static final long NEVER = Long.MIN_VALUE / 2;
    private final Electorate electorate;
    private final Loop loop;
    private final Net net;
    private final ItemStore held;
    private Timing timing;
    private final Journal journal;
    private final Consumer<Msg.Chosen> take;
    private final Consumer<NodeId> alive;
    private final Map<NodeId, Long> good = new HashMap<>();
    private Quorum quorum;
    private long earlier = NEVER;
    private static final long EACH = 300;
    private static final long HASTE = 6000;
    private boolean was;
    private long since;
    private int ticks;

    public FrameSync(
            final Electorate electorate,
            final Loop loop,
            final Net net,
            final ItemStore held,
            final Timing timing,
            final Journal journal,
            final Consumer<Msg.Chosen> take,
            final Consumer<NodeId> alive) {
        this.alive = alive;
        this.take = take;
        this.electorate = electorate;
        this.loop = loop;
        this.net = net;
        this.held = held;
        this.timing = timing;
        this.quorum = electorate.quorum();
        this.journal = journal;
        electorate.onChange(this::moved);
    }

    /** What the earlier voters confirmed stays true for its moment; their answers don't count among those of the new set. */
    private void moved() {
        earlier = Math.max(earlier, confirmed());
        good.clear();
        quorum = electorate.quorum();
        loop.post(this::round);
    }

    /** From now on a frame counts for as long as these times say. */
    public void timing(final Timing next) {
        timing = next;
    }

    public void start() {
        since = loop.now();
        loop.post(this::round);
        loop.every(EACH / 3, this::tick);
    }

    /** Asked more often for a while after a start or a loss, so that service is back soon. */
    private void tick() {
        if (fresh()) {
            since = loop.now();
        }
        if (++ticks % 3 == 0 || !fresh() && loop.now() - since < HASTE) {
            round();
        }
    }

    public void round() {
        final boolean now = fresh();
        if (now != was) {
            was = now;
            journal.add(Event.of(now ? Code.FRAME_FRESH : Code.FRAME_STALE, "age", now ? age() : -1));
        }
        for (final NodeId e : quorum.voters()) {
            final long epoch = quorum.epoch();
            final long sent = loop.now();
            net.ask(e, new Msg.Query(epoch, held.digest().all()), 700, r -> {
                electorate.refused(e, r);
                r.as(Msg.Same.class).ifPresent(s -> {
                    alive.accept(e);
                    if (s.same()) {
                        confirm(epoch, e, sent);
                    } else {
                        fetch(epoch, e, sent, held.digest().apart(s.sums()));
                    }
                });
            });
        }
    }

    /** Cells that did not differ were equal after the question was sent, so its send time stands for all. */
    private void fetch(final long epoch, final NodeId e, final long sent, final List<Integer> cells) {
        if (cells.isEmpty()) {
            confirm(epoch, e, sent);
            return;
        }
        net.ask(
                e,
                new Msg.Vers(epoch, cells, held.vers(cells)),
                1000,
                r -> r.as(Msg.Give.class).ifPresent(g -> {
                    g.list().forEach(take);
                    if (g.all()) {
                        confirm(epoch, e, sent);
                    }
                    if (g.want() != null && !g.want().isEmpty()) {
                        net.ask(e, new Msg.Learn(held.chosen(g.want())), 500, x -> {});
                    }
                }));
    }

    private void confirm(final long epoch, final NodeId e, final long sent) {
        if (epoch == quorum.epoch()) {
            good.merge(e, sent, Math::max);
        }
    }

    /** The newest instant for which a majority has confirmed this node's frame. */
    public long sure() {
        return Math.max(earlier, confirmed());
    }

    /** Whether a majority of the present set has confirmed a frame of this node since it became the present one. */
    public boolean settled() {
        return confirmed() > NEVER;
    }

    /** Whether this voter has answered in the present epoch. */
    public boolean confirmedBy(final NodeId voter) {
        return good.containsKey(voter);
    }

    private long confirmed() {
        if (good.size() < quorum.need()) {
            return NEVER;
        }
        final List<Long> times = new ArrayList<>(good.values());
        times.sort(Comparator.reverseOrder());
        return times.get(quorum.need() - 1);
    }

    public long age() {
        return loop.now() - sure();
    }

    public boolean fresh() {
        return age() < timing.fresh();
    }

    public void drop() {
        good.clear();
        earlier = NEVER;
    }

    /** Hears true once a majority has confirmed the frame for an instant not before {@code at}. */
    public void after(final long at, final long span, final Consumer<Boolean> then) {
        round();
        await(at, loop.now() + span, then);
    }

    private void await(final long at, final long cutoff, final Consumer<Boolean> then) {
        if (sure() >= at || loop.now() >= cutoff) {
            then.accept(sure() >= at);
        } else {
            loop.after(10, () -> await(at, cutoff, then));
        }
    }
}
