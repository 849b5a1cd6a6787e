package org.rowanvalve.control.election;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.LeaseTimings;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.control.consensus.Proposer;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.store.ItemStore;

/**
 * Elects the leader, which manages leases and the voting set. Leadership is a register: whoever writes a higher term
 * into it leads, and renews it. With D and M of the leadership lease ({@link LeaseTimings#leadershipLeaseMs}), a leader
 * acts only until the send time of its last accepted renewal plus D - M; another node campaigns only D + 2M after it
 * learned the last renewal. So two leaders never act at the same time as long as clocks drift by less than M in D + 2M.
 */
public final class LeaderElection {
    /** Terms that are skipped after a loss of state: more than a partitioned side can have begun in two weeks. */
    public static final long TERM_LEAP = 1_000_000;

    private final NodeId self;
    private final String incarnation;
    private final EventLoop loop;
    private final Proposer proposer;
    private final ItemStore items;
    private final LeaseTimings timings;
    private final EventJournal journal;
    private final BooleanSupplier eligible;
    private final Listener listener;
    private final LongSupplier resumptions;
    private long validUntil = Long.MIN_VALUE;
    private long term;
    private boolean campaigning;
    private boolean renewing;
    private long writeSerial;
    private boolean leading;
    private boolean resigned;

    /**
     * {@code last}: the last instant, on this clock, at which the earlier leader could have granted; {@code wary}:
     * whether terms were skipped because the electors' state was the only copy left.
     */
    @FunctionalInterface
    public interface Listener {
        void onElected(long term, long last, boolean wary);
    }

    public LeaderElection(
            final NodeId self,
            final String incarnation,
            final EventLoop loop,
            final Proposer proposer,
            final ItemStore items,
            final LeaseTimings timings,
            final EventJournal journal,
            final BooleanSupplier eligible,
            final Listener listener,
            final LongSupplier resumptions) {
        this.resumptions = resumptions;
        this.self = self;
        this.incarnation = incarnation;
        this.loop = loop;
        this.proposer = proposer;
        this.items = items;
        this.timings = timings;
        this.journal = journal;
        this.eligible = eligible;
        this.listener = listener;
    }

    /** Begins to campaign and to renew. */
    public void start() {
        loop.scheduleRepeatedly(timings.leadershipLeaseMs() / 4, this::renew);
        loop.scheduleRepeatedly(25, this::checkLeadership);
    }

    /** Whether this node may act as leader now: its last renewal is still valid by its own clock. */
    public boolean isLeader() {
        return leading && loop.now() < validUntil;
    }

    /**
     * Still named as leader, though its last renewal has expired: it does nothing, and goes on with its term if no
     * other took over.
     */
    public boolean isUncertain() {
        return leading && loop.now() >= validUntil;
    }

    /** The last term that this node won; 0 before the first. */
    public long term() {
        return term;
    }

    private long leaseEnd(final long sentAt) {
        return sentAt + timings.leadershipLeaseMs() - timings.leadershipMarginMs();
    }

    private void stepDown() {
        if (leading) {
            leading = false;
            validUntil = Long.MIN_VALUE;
            journal.add(Event.of(EventCode.TENURE_LOST, "term", term));
        }
    }

    private void renew() {
        if (leading && !resigned && !renewing) {
            final long sentAt = loop.now();
            final long renewedTerm = term;
            renewing = true;
            writeLeadership(false, term, timings.leadershipLeaseMs() - timings.leadershipMarginMs(), result -> {
                renewing = false;
                if (renewedTerm != term) {
                    return;
                }
                if (result.isAccepted() && leading) {
                    validUntil = Math.max(validUntil, leaseEnd(sentAt));
                } else if (result.status() == Proposer.Status.CONFLICT) {
                    stepDown();
                }
            });
        }
    }

    private void writeLeadership(
            final boolean released,
            final long nextTerm,
            final long timeoutMs,
            final java.util.function.Consumer<Proposer.Result> callback) {
        final Item standing = items.get(ItemId.LEADERSHIP);
        final Leadership previous = Leadership.of(standing);
        final boolean renewal = nextTerm == term;
        final String tag = self + "-" + incarnation + "-" + nextTerm + "-" + ++writeSerial;
        proposer.propose(
                ItemId.LEADERSHIP,
                tag,
                timeoutMs,
                now -> {
                    final Leadership current = Leadership.of(now);
                    final boolean same = renewal
                            ? current.term() == nextTerm
                                    && current.incarnation().equals(incarnation)
                                    && resumptions.getAsLong() <= current.resumptions()
                            : now.version().equals(standing.version());
                    return same
                            ? Optional.of(now.successor(
                                    Json.write(new Leadership(
                                            self.text(),
                                            incarnation,
                                            nextTerm,
                                            current.renewals() + 1,
                                            released,
                                            Math.max(current.resumptions(), resumptions.getAsLong()),
                                            timings.leadershipLeaseMs(),
                                            timings.leadershipMarginMs())),
                                    tag))
                            : Optional.empty();
                },
                result -> {
                    callback.accept(result);
                    if (result.isAccepted() && nextTerm != previous.term()) {
                        campaigning = false;
                    }
                });
    }

    private void checkLeadership() {
        if (leading || campaigning || resigned || !eligible.getAsBoolean()) {
            return;
        }
        final Item standing = items.get(ItemId.LEADERSHIP);
        final Leadership current = Leadership.of(standing);
        final long learnedAt = items.learnedAt(ItemId.LEADERSHIP);
        final long now = loop.now();
        final boolean ownRecord = current.leader().equals(self.text());
        final boolean vacant = standing.version().number() == 0 || current.released();
        if (!vacant && !ownRecord && now - learnedAt < current.leaseMs(timings) + 2 * current.marginMs(timings)) {
            return;
        }
        final long lastPossibleGrant = vacant
                ? Math.min(learnedAt, now)
                : ownRecord ? now : learnedAt + current.leaseMs(timings) - current.marginMs(timings);
        campaign(standing, current, lastPossibleGrant);
    }

    private void campaign(final Item standing, final Leadership current, final long lastPossibleGrant) {
        campaigning = true;
        final long sentAt = loop.now();
        final boolean termLeapt = resumptions.getAsLong() > current.resumptions();
        final long nextTerm = current.term() + (termLeapt ? TERM_LEAP : 1);
        writeLeadership(false, nextTerm, timings.leadershipLeaseMs() - timings.leadershipMarginMs(), result -> {
            campaigning = false;
            if (result.isAccepted()) {
                leading = true;
                term = nextTerm;
                validUntil = leaseEnd(sentAt);
                journal.add(Event.of(
                        EventCode.TENURE_WON,
                        "term",
                        term,
                        "after",
                        standing.version().number()));
                listener.onElected(term, termLeapt ? loop.now() : lastPossibleGrant, termLeapt);
            }
        });
    }

    /** Resigns, so that another node need not wait for the lease of this one to expire. */
    public void resign(final Runnable callback) {
        resigned = true;
        if (!isLeader()) {
            callback.run();
            return;
        }
        stepDown();
        writeLeadership(true, term, 1500, result -> callback.run());
    }

    /** Stops acting as leader at once, without writing anything; the lease expires by itself. */
    public void abandon() {
        stepDown();
    }
}
