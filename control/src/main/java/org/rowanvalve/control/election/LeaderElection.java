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
 * Elects the leader, which manages leases and the voting set. Leadership is a lease in a register: the node that writes
 * a higher term becomes the leader and renews the lease. Let D be the duration of the lease
 * ({@link LeaseTimings#leadershipLeaseMs}) and M its margin ({@link LeaseTimings#leadershipMarginMs}). A leader acts
 * only until D - M after it sent its last accepted renewal. Another node campaigns only D + 2M after it learned of the
 * last renewal. Therefore two leaders never act at the same time as long as clocks drift by less than M in D + 2M.
 */
public final class LeaderElection {
    /**
     * The number of terms that are skipped after a loss of voter state: more than a partitioned group of nodes can have
     * started in two weeks.
     */
    public static final long SKIPPED_TERMS = 1_000_000;

    private static final long CAMPAIGN_CHECK_INTERVAL_MS = 25;
    private static final long RESIGN_TIMEOUT_MILLIS = 1500;

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
    private long writeCount;
    private boolean leading;
    private boolean resigned;

    /**
     * Called when this node has become the leader. {@code lastPossibleGrant} is the latest time, by the clock of this
     * node, at which the previous leader could have granted a lease. {@code termsSkipped} tells whether terms were
     * skipped because the state of the voters had been restored from the only remaining copy.
     */
    @FunctionalInterface
    public interface Listener {
        void onElected(long term, long lastPossibleGrant, boolean termsSkipped);
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

    /** Starts the periodic renewal of the lease and the periodic check whether to campaign. */
    public void start() {
        loop.scheduleRepeatedly(timings.leadershipLeaseMs() / 4, this::renew);
        loop.scheduleRepeatedly(CAMPAIGN_CHECK_INTERVAL_MS, this::checkLeadership);
    }

    /** Whether this node may act as leader now: its lease is still valid by its own clock. */
    public boolean isLeader() {
        return leading && loop.now() < validUntil;
    }

    /**
     * Whether this node was elected but its lease has expired by its own clock. In this state it does not act as leader;
     * if no other node has taken over, a later renewal continues the term.
     */
    public boolean isUncertain() {
        return leading && loop.now() >= validUntil;
    }

    /** The last term in which this node was elected; 0 if there is none. */
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
        final Item knownItem = items.get(ItemId.LEADERSHIP);
        final Leadership previous = Leadership.of(knownItem);
        final boolean renewal = nextTerm == term;
        final String writeId = self + "-" + incarnation + "-" + nextTerm + "-" + ++writeCount;
        proposer.propose(
                ItemId.LEADERSHIP,
                writeId,
                timeoutMs,
                currentItem -> {
                    final Leadership current = Leadership.of(currentItem);
                    final boolean unchanged = renewal
                            ? current.term() == nextTerm
                                    && current.incarnation().equals(incarnation)
                                    && resumptions.getAsLong() <= current.resumptions()
                            : currentItem.version().equals(knownItem.version());
                    return unchanged
                            ? Optional.of(currentItem.successor(
                                    Json.write(new Leadership(
                                            self.text(),
                                            incarnation,
                                            nextTerm,
                                            current.renewals() + 1,
                                            released,
                                            Math.max(current.resumptions(), resumptions.getAsLong()),
                                            timings.leadershipLeaseMs(),
                                            timings.leadershipMarginMs())),
                                    writeId))
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
        final Item knownItem = items.get(ItemId.LEADERSHIP);
        final Leadership current = Leadership.of(knownItem);
        final long learnedAt = items.learnedAt(ItemId.LEADERSHIP);
        final long now = loop.now();
        final boolean ownRecord = current.leader().equals(self.text());
        final boolean vacant = knownItem.version().number() == 0 || current.released();
        if (!vacant && !ownRecord && now - learnedAt < current.leaseMs(timings) + 2 * current.marginMs(timings)) {
            return;
        }
        final long lastPossibleGrant = vacant
                ? Math.min(learnedAt, now)
                : ownRecord ? now : learnedAt + current.leaseMs(timings) - current.marginMs(timings);
        campaign(knownItem, current, lastPossibleGrant);
    }

    private void campaign(final Item knownItem, final Leadership current, final long lastPossibleGrant) {
        campaigning = true;
        final long sentAt = loop.now();
        final boolean termsSkipped = resumptions.getAsLong() > current.resumptions();
        final long nextTerm = current.term() + (termsSkipped ? SKIPPED_TERMS : 1);
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
                        knownItem.version().number()));
                listener.onElected(term, termsSkipped ? loop.now() : lastPossibleGrant, termsSkipped);
            }
        });
    }

    /** Releases the leadership, so that another node can campaign before the lease of this node expires. */
    public void resign(final Runnable callback) {
        resigned = true;
        if (!isLeader()) {
            callback.run();
            return;
        }
        stepDown();
        writeLeadership(true, term, RESIGN_TIMEOUT_MILLIS, result -> callback.run());
    }

    /** Stops acting as leader immediately without a write; the lease in the register expires on its own. */
    public void abandon() {
        stepDown();
    }
}
