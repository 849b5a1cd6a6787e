package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.rowanvalve.common.Ballot;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;

/** Proposes changes to registers: prepare at a majority, apply, accept at a majority with a store, tell all. */
public final class Writer {
    /** Two that keep overtaking each other must draw from more than a round takes, at most so long. */
    private static final long WAIT = 400;

    private static final Set<ItemId> KEPT = Set.of(ItemId.TENURE, ItemId.PLAN, ItemId.LEDGER);
    private final Electorate electorate;
    private final Loop loop;
    private final Net net;
    private final Random dice;
    private final Journal journal;
    private final String name;
    private final ItemStore held;
    private final Supplier<List<NodeId>> all;
    private final StoreHealth stores;
    private final Map<ItemId, Warm> warm = new HashMap<>();
    private long top;

    /** A ballot that a majority promised when it accepted this value: the next write need not prepare. */
    private record Warm(Ballot ballot, Item item) {}

    public enum Fate {
        ACCEPTED,
        CLASH,
        REJECTED,
        UNKNOWN
    }

    public record Result(Fate fate, Item item) {
        public boolean ok() {
            return fate == Fate.ACCEPTED;
        }
    }

    /** Empty means: the register does not stand where the writer thought. */
    @FunctionalInterface
    public interface Change {
        Optional<Item> apply(Item now);
    }

    public Writer(
            final NodeId self,
            final String boot,
            final Electorate electorate,
            final Loop loop,
            final Net net,
            final Random dice,
            final Journal journal,
            final ItemStore held,
            final Supplier<List<NodeId>> all,
            final StoreHealth stores) {
        this.stores = stores;
        this.electorate = electorate;
        this.loop = loop;
        this.net = net;
        this.dice = dice;
        this.journal = journal;
        this.name = self.text() + "#" + boot;
        this.held = held;
        this.all = all;
        electorate.onChange(warm::clear);
    }

    public void write(
            final ItemId id, final String tag, final long span, final Change change, final Consumer<Result> then) {
        new Try(id, tag, loop.now() + span, change, then).prepare();
    }

    public void read(final ItemId id, final long span, final Consumer<Result> then) {
        write(id, "", span, Optional::of, then);
    }

    private final class Try {
        private final ItemId id;
        private final String tag;
        private final long cutoff;
        private final Change change;
        private final Consumer<Result> then;
        private Ballot ballot;
        private boolean sent;
        private boolean done;
        private int tries;
        private long begun = loop.now();
        private boolean beaten;
        private Ballot best = Ballot.ZERO;
        private Item now;
        private final Set<NodeId> yes = new HashSet<>();
        private int bad;
        private final Set<NodeId> eager = new HashSet<>();
        private Ballot after;
        private int stage;
        /** The voters whose answers count in this stage. */
        private Quorum quorum = electorate.quorum();

        Try(final ItemId id, final String tag, final long cutoff, final Change change, final Consumer<Result> then) {
            this.id = id;
            this.tag = tag;
            this.cutoff = cutoff;
            this.change = change;
            this.then = then;
        }

        private void end(final Fate fate, final Item item) {
            if (!done) {
                done = true;
                then.accept(new Result(fate, item));
            }
        }

        private void again() {
            stage++;
            if (done) {
                return;
            }
            final long took = beaten ? Math.min(WAIT, loop.now() - begun) : 0;
            beaten = false;
            final long rest = 5 + dice.nextInt(15 + 20 * Math.min(8, ++tries) + (int) (Math.min(3, tries) * took));
            if (loop.now() + rest >= cutoff) {
                end(sent ? Fate.UNKNOWN : Fate.REJECTED, held.get(id));
            } else {
                loop.after(rest, this::prepare);
            }
        }

        private void prepare() {
            if (done) {
                return;
            }
            quorum = electorate.quorum();
            final Warm ready = warm.remove(id);
            if (ready != null && tries == 0) {
                ballot = ready.ballot();
                now = ready.item();
                stage++;
                decide();
                return;
            }
            top++;
            begun = loop.now();
            ballot = new Ballot(top, name);
            best = Ballot.ZERO;
            now = Item.none(id);
            yes.clear();
            bad = 0;
            final int mine = ++stage;
            for (final NodeId e : quorum.voters()) {
                net.ask(
                        e,
                        new Msg.Prepare(quorum.epoch(), id, ballot),
                        Math.max(20, Math.min(600, cutoff - loop.now() - 20)),
                        r -> promised(e, mine, r));
            }
        }

        private void promised(final NodeId e, final int mine, final Reply r) {
            if (moved(e, mine, r)) {
                return;
            }
            final Optional<Msg.Promise> got = r.as(Msg.Promise.class);
            got.ifPresent(p -> top = Math.max(top, p.high().round()));
            if (stage != mine || done) {
                return;
            }
            if (got.isEmpty() || !got.get().ok()) {
                beaten |= got.isPresent();
                if (++bad > quorum.voters().size() - quorum.need()) {
                    again();
                }
                return;
            }
            yes.add(e);
            if (got.get().at().above(best)) {
                best = got.get().at();
                now = got.get().item();
            }
            if (quorum.read(yes)) {
                decide();
            }
        }

        /** A voter that goes by a later set ends the stage: it begins anew among the present voters. */
        private boolean moved(final NodeId voter, final int mine, final Reply r) {
            if (!electorate.refused(voter, r) || quorum.epoch() == electorate.epoch()) {
                return false;
            }
            if (stage == mine && !done) {
                again();
            }
            return true;
        }

        private void decide() {
            if (!tag.isEmpty() && tag.equals(now.tag()) && now.ver().n() > 0) {
                offer(now);
                return;
            }
            final Optional<Item> next = change.apply(now);
            if (next.isEmpty()) {
                stage++;
                journal.add(Event.of(
                        Code.CLASHED, "item", id.text(), "ver", now.ver().n()));
                settle(now);
            } else {
                offer(next.get());
            }
        }

        /** The standing value may be held by a minority only: it is made sure before the loser hears of it. */
        private void settle(final Item standing) {
            if (standing.ver().n() == 0) {
                end(sent ? Fate.UNKNOWN : Fate.CLASH, standing);
                return;
            }
            read(
                    id,
                    Math.max(200, cutoff - loop.now()),
                    r -> end(
                            r.ok()
                                    ? sent
                                                    && r.item().ver().n()
                                                            > standing.ver().n()
                                            ? Fate.UNKNOWN
                                            : Fate.CLASH
                                    : sent ? Fate.UNKNOWN : Fate.REJECTED,
                            r.ok() ? r.item() : standing));
        }

        private void offer(final Item item) {
            yes.clear();
            bad = 0;
            final int mine = ++stage;
            if (item != now) {
                sent = true;
            }
            final long from = loop.now();
            eager.clear();
            after = KEPT.contains(id) ? new Ballot(++top, name) : null;
            for (final NodeId e : quorum.voters()) {
                net.ask(
                        e,
                        new Msg.Accept(quorum.epoch(), ballot, item, after),
                        600,
                        r -> accepted(e, mine, from, item, r));
            }
            loop.after(StoreHealth.HUSH, () -> settled(mine, from, item));
        }

        private void accepted(final NodeId e, final int mine, final long from, final Item item, final Reply r) {
            if (moved(e, mine, r)) {
                return;
            }
            final Optional<Msg.Accepted> got = r.as(Msg.Accepted.class);
            got.ifPresent(a -> top = Math.max(top, a.high().round()));
            final boolean ok = got.isPresent() && got.get().ok();
            if (ok) {
                stores.heard(e);
            } else if (Msg.Nay.disk(r)) {
                stores.failing(e);
            }
            if (stage != mine || done) {
                return;
            }
            if (!ok) {
                beaten |= got.isPresent();
                if (got.isPresent() && stores.has(e) || ++bad > quorum.voters().size() - quorum.need()) {
                    again();
                } else {
                    settled(mine, from, item);
                }
                return;
            }
            yes.add(e);
            if (got.get().high().equals(after)) {
                eager.add(e);
            }
            settled(mine, from, item);
        }

        private void settled(final int mine, final long from, final Item item) {
            if (stage == mine && !done && quorum.write(yes) && stores.enough(yes, loop.now() - from)) {
                stage++;
                if (quorum.read(eager) && quorum.epoch() == electorate.epoch()) {
                    warm.put(id, new Warm(after, item));
                }
                final Msg.Chosen won = new Msg.Chosen(ballot, item);
                if (item.ver().n() > 0) {
                    if (sent) {
                        journal.add(Event.of(
                                Code.ACCEPTED,
                                "item",
                                id.text(),
                                "ver",
                                item.ver().n(),
                                "tag",
                                item.tag()));
                    }
                    held.merge(won);
                    tell(won);
                }
                end(Fate.ACCEPTED, item);
            }
        }
    }

    private void tell(final Msg.Chosen won) {
        final List<NodeId> to = new ArrayList<>(all.get());
        electorate.voters().stream().filter(e -> !to.contains(e)).forEach(to::add);
        net.tell(to, new Msg.Learn(List.of(won)));
    }
}
