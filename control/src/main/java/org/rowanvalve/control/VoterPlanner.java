package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.IntSupplier;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Condition;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Member;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Role;

/**
 * Keeps the voting set at its wanted size, on the acting lease authority only: a voter that is leaving or has been silent
 * for too long is replaced by a standby, one a change. The change is written by ballot of the set that it ends.
 */
public final class VoterPlanner {
    /** A voter that is silent for so long is replaced. */
    public static final long SILENT = 2500;

    private static final long EACH = 100;
    private static final long SPAN = 1000;
    private static final long ANSWER = 800;
    /** How often the next standby is kept up to date. */
    private static final long WARM = 2000;
    /** The least time between two changes that nothing presses for. */
    private static final long REST = 2000;
    /** How long a change waits for voters that have not taken over yet. */
    private static final long JOINING = 3000;
    /** A standby has been heard for so long, and has not been silent for longer. */
    private static final long SETTLED = 1000;

    private final NodeId self;
    private final Electorate electorate;
    private final Membership members;
    private final FrameSync sync;
    private final Writer writer;
    private final Loop loop;
    private final Net net;
    private final Journal journal;
    private final IntSupplier losses;
    private final Comparator<Member> spread;
    private Tenure tenure;
    private long term = -1;
    private long won;
    private long changed;
    private long warmed;
    private boolean busy;

    /** What to do next: {@code out} and {@code in} may be null. */
    record Change(NodeId out, NodeId in, String why) {}

    /** {@code losses}: how many voters may be lost at once; 0 keeps the size of the set. */
    public VoterPlanner(
            final NodeId self,
            final Electorate electorate,
            final Membership members,
            final FrameSync sync,
            final Writer writer,
            final Loop loop,
            final Net net,
            final Journal journal,
            final IntSupplier losses) {
        this.self = self;
        this.electorate = electorate;
        this.members = members;
        this.sync = sync;
        this.writer = writer;
        this.loop = loop;
        this.net = net;
        this.journal = journal;
        this.losses = losses;
        this.spread = Comparator.comparingLong((Member m) -> voters(m, Member::cell))
                .thenComparingLong(m -> voters(m, VoterPlanner::region))
                .thenComparing(Member::id);
    }

    public void start(final Tenure authority) {
        tenure = authority;
        electorate.onChange(() -> changed = loop.now());
        loop.every(EACH, this::tick);
    }

    private static String region(final Member m) {
        return m.cell().substring(0, m.cell().lastIndexOf('/') + 1);
    }

    /** How many present voters share a place with this member. */
    private long voters(final Member m, final Function<Member, String> place) {
        return electorate.voters().stream()
                .map(members::get)
                .filter(v -> v != null && place.apply(v).equals(place.apply(m)))
                .count();
    }

    private void tick() {
        if (!tenure.acting()) {
            term = -1;
            return;
        }
        if (tenure.term() != term) {
            term = tenure.term();
            won = loop.now();
        }
        if (!busy && sync.fresh() && sync.settled()) {
            next().ifPresentOrElse(this::prepare, this::warm);
        }
    }

    /** Nothing is due: the standby that would be next has what it needs beforehand. */
    private void warm() {
        if (loop.now() - warmed >= WARM) {
            warmed = loop.now();
            standbys().stream()
                    .findFirst()
                    .ifPresent(standby -> net.ask(
                            standby, new Msg.CatchUp(electorate.epoch()), ANSWER, r -> electorate.refused(standby, r)));
        }
    }

    /** The next change, if one is due and the present set has taken over. */
    Optional<Change> next() {
        final List<NodeId> leaving = electorate.voters().stream()
                .filter(v -> !v.equals(self) && condition(v) == Condition.LEAVING)
                .toList();
        final List<NodeId> lost =
                electorate.voters().stream().filter(this::lost).toList();
        if (loop.now() - changed < JOINING && !joined(leaving, lost)) {
            return Optional.empty();
        }
        final List<NodeId> standbys = standbys();
        if (!leaving.isEmpty() || !lost.isEmpty()) {
            final NodeId out = leaving.isEmpty() ? lost.get(0) : leaving.get(0);
            final String why = leaving.isEmpty() ? "silent" : "leaving";
            return standbys.isEmpty() ? shrink(out, why) : Optional.of(new Change(out, standbys.get(0), why));
        }
        final boolean rested = loop.now() - changed >= REST && loop.now() - won >= REST;
        return rested && electorate.voters().size() < wanted(standbys.size()) && !standbys.isEmpty()
                ? Optional.of(new Change(null, standbys.get(0), "size"))
                : Optional.empty();
    }

    /** Of an even number one that is gone can be spared: the majority needs one less. */
    private Optional<Change> shrink(final NodeId out, final String why) {
        final int size = electorate.voters().size();
        return size > 2 && size % 2 == 0 ? Optional.of(new Change(out, null, why)) : Optional.empty();
    }

    /** As many as the losses need, but an odd number and no more than there are. */
    private int wanted(final int standbys) {
        final int most = electorate.voters().size() + standbys;
        final int odd = most % 2 == 0 ? most - 1 : most;
        return losses.getAsInt() == 0 ? 0 : Math.min(2 * losses.getAsInt() + 1, odd);
    }

    /** Whether every voter that is here has answered in the present epoch. */
    private boolean joined(final List<NodeId> leaving, final List<NodeId> lost) {
        return electorate.voters().stream()
                .allMatch(v -> sync.confirmedBy(v) || leaving.contains(v) || lost.contains(v));
    }

    private Condition condition(final NodeId id) {
        final Member m = members.get(id);
        return m == null ? Condition.UNREADY : m.condition();
    }

    /** Silence counts from the last word, and for one that was never heard from the beginning of this authority's term. */
    private boolean lost(final NodeId id) {
        if (id.equals(self) || loop.now() - won < SETTLED) {
            return false;
        }
        final long silence = members.silence(id);
        return Math.min(silence, members.get(id) == null ? loop.now() - won : silence) >= SILENT;
    }

    private List<NodeId> standbys() {
        return members.live(Role.SHIELD).stream()
                .filter(m -> !electorate.has(m.id()))
                .filter(m -> m.condition() != Condition.LEAVING && m.condition() != Condition.UNREADY)
                .filter(m -> members.silence(m.id()) < SETTLED && members.age(m.id()) >= SETTLED)
                .sorted(spread)
                .map(Member::id)
                .toList();
    }

    /** The standby gets ready first, so that the set stands still for a moment only. */
    private void prepare(final Change change) {
        busy = true;
        journal.add(Event.of(
                Code.VOTERS_PROPOSED,
                "epoch",
                electorate.epoch() + 1,
                "out",
                String.valueOf(change.out()),
                "in",
                String.valueOf(change.in()),
                "why",
                change.why()));
        if (change.in() == null) {
            write(change);
            return;
        }
        net.ask(change.in(), new Msg.CatchUp(electorate.epoch()), ANSWER, r -> {
            electorate.refused(change.in(), r);
            if (r.as(Msg.CaughtUp.class).filter(Msg.CaughtUp::ok).isPresent() && tenure.acting()) {
                write(change);
            } else {
                busy = false;
                journal.add(Event.of(Code.STANDBY_LATE, "node", change.in().text()));
            }
        });
    }

    private void write(final Change change) {
        final long epoch = electorate.epoch();
        final List<String> present =
                electorate.voters().stream().map(this::address).toList();
        final List<String> next = new ArrayList<>();
        electorate.voters().stream()
                .filter(v -> !v.equals(change.out()))
                .map(this::address)
                .forEach(next::add);
        if (change.in() != null) {
            next.add(address(change.in()));
        }
        final String body = Json.text(new VoterSet(next, present));
        final String tag = "voters-" + self + "-" + term + "-" + (epoch + 1) + "-" + loop.now();
        writer.write(
                ItemId.VOTERS,
                tag,
                SPAN,
                now -> now.ver().n() == epoch ? Optional.of(now.next(body, tag)) : Optional.empty(),
                r -> {
                    busy = false;
                    journal.add(Event.of(
                            Code.VOTERS_WRITTEN,
                            "epoch",
                            epoch + 1,
                            "fate",
                            r.fate().name()));
                });
    }

    private String address(final NodeId id) {
        final Member m = members.get(id);
        return electorate.addresses().stream()
                .filter(a -> VoterAddress.parse(a).id().equals(id))
                .findFirst()
                .orElseGet(() ->
                        new VoterAddress(id, m == null ? "0.0.0.0" : m.host(), m == null ? 0 : m.port()).toString());
    }
}
