package org.rowanvalve.control.view;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.DigestResponse;
import org.rowanvalve.common.message.LearnNotification;
import org.rowanvalve.common.message.MissingItemsResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.LeaseTimings;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.store.ItemPage;
import org.rowanvalve.control.store.ItemStore;
import org.rowanvalve.control.voting.Quorum;
import org.rowanvalve.control.voting.VotingConfiguration;

/**
 * Confirms this node's view of the configuration: asks the voters whether it has all items they have accepted, and
 * takes those it lacks. A majority that confirms a request proves that the view was complete when the request was sent,
 * since every chosen item is at one of them at least.
 */
public final class ViewSynchronizer {
    private static final long NEVER = Long.MIN_VALUE / 2;
    private final VotingConfiguration votingConfiguration;
    private final EventLoop loop;
    private final Transport transport;
    private final ItemStore items;
    private LeaseTimings timings;
    private final EventJournal journal;
    private final Consumer<ChosenItem> learner;
    private final Consumer<NodeId> onContact;
    private final Map<NodeId, Long> confirmedBy = new HashMap<>();
    private final Map<NodeId, VoterQuery> queries = new LinkedHashMap<>();
    private Quorum quorum;
    private long previousConfirmation = NEVER;
    private static final long INTERVAL_MS = 300;
    private static final long STARTUP_MS = 6000;
    private boolean wasFresh;
    private long staleSince;
    private int ticks;
    private final ViewWaitReport waitReport;

    public ViewSynchronizer(
            final VotingConfiguration votingConfiguration,
            final EventLoop loop,
            final Transport transport,
            final ItemStore items,
            final LeaseTimings timings,
            final EventJournal journal,
            final Consumer<ChosenItem> learner,
            final Consumer<NodeId> onContact) {
        this.onContact = onContact;
        this.learner = learner;
        this.votingConfiguration = votingConfiguration;
        this.loop = loop;
        this.transport = transport;
        this.items = items;
        this.timings = timings;
        this.quorum = votingConfiguration.quorum();
        this.journal = journal;
        this.waitReport = new ViewWaitReport(loop, journal, items);
        openQueries();
        votingConfiguration.addListener(this::onVotingSetChange);
    }

    /**
     * What the earlier voters confirmed stays valid for its time; their answers do not count among those of the new
     * set.
     */
    private void onVotingSetChange() {
        previousConfirmation = Math.max(previousConfirmation, majorityConfirmedAt());
        confirmedBy.clear();
        quorum = votingConfiguration.quorum();
        openQueries();
        loop.execute(this::poll);
    }

    /** From now on a view counts as confirmed for as long as these time-outs say. */
    public void timings(final LeaseTimings next) {
        timings = next;
    }

    /** How old a confirmation may be for the view to be fresh. */
    public long maxAgeMs() {
        return timings.maxViewAgeMs();
    }

    /** Begins to ask the voters. */
    public void start() {
        staleSince = loop.now();
        loop.execute(this::poll);
        loop.scheduleRepeatedly(INTERVAL_MS / 3, this::tick);
    }

    /**
     * The voters are asked more often for a while after a start or a loss of confirmation, so that service is back
     * soon.
     */
    private void tick() {
        if (isFresh()) {
            staleSince = loop.now();
        }
        waitReport.onTick(isFresh());
        if (++ticks % 3 == 0 || !isFresh() && loop.now() - staleSince < STARTUP_MS) {
            poll();
        }
    }

    /** Asks every voter, whether the view is fresh or not; one that has a question open, once that has ended. */
    public void poll() {
        final boolean now = isFresh();
        if (now != wasFresh) {
            wasFresh = now;
            journal.add(Event.of(now ? EventCode.FRAME_FRESH : EventCode.FRAME_STALE, "age", now ? ageMs() : -1));
        }
        queries.values().forEach(VoterQuery::ask);
    }

    private void openQueries() {
        queries.values().forEach(VoterQuery::cancel);
        queries.clear();
        quorum.voters()
                .forEach(voter -> queries.put(
                        voter,
                        new VoterQuery(voter, quorum.epoch(), loop, transport, items, waitReport, new Answers())));
    }

    private final class Answers implements VoterQuery.Listener {
        @Override
        public void onReply(final NodeId voter, final Reply reply) {
            votingConfiguration.isEpochMismatch(voter, reply);
            if (reply.as(DigestResponse.class).isPresent()) {
                onContact.accept(voter);
            }
        }

        @Override
        public void onItems(final NodeId voter, final MissingItemsResponse response) {
            waitReport.onItems(response.items().size());
            response.items().forEach(learner);
            if (response.wanted() != null && !response.wanted().isEmpty()) {
                transport.request(
                        voter,
                        new LearnNotification(ItemPage.of(items.chosenItems(response.wanted()))
                                .items()),
                        500,
                        ignored -> {});
            }
        }

        @Override
        public void onConfirmed(final NodeId voter, final long epoch, final long sentAt) {
            recordConfirmation(epoch, voter, sentAt);
        }
    }

    private void recordConfirmation(final long epoch, final NodeId voter, final long sentAt) {
        if (epoch == quorum.epoch()) {
            confirmedBy.merge(voter, sentAt, Math::max);
        }
    }

    /** The latest instant for which a majority has confirmed this node's view. */
    public long confirmedAt() {
        return Math.max(previousConfirmation, majorityConfirmedAt());
    }

    /** Whether a majority of the present voting set has confirmed a view of this node since that set began. */
    public boolean isConfirmedInEpoch() {
        return majorityConfirmedAt() > NEVER;
    }

    /** Whether this voter has answered in the present epoch. */
    public boolean hasConfirmed(final NodeId voter) {
        return confirmedBy.containsKey(voter);
    }

    private long majorityConfirmedAt() {
        if (confirmedBy.size() < quorum.majority()) {
            return NEVER;
        }
        final List<Long> times = new ArrayList<>(confirmedBy.values());
        times.sort(Comparator.reverseOrder());
        return times.get(quorum.majority() - 1);
    }

    /** Time since the latest instant for which a majority has confirmed this node's view, in ms. */
    public long ageMs() {
        return loop.now() - confirmedAt();
    }

    /** Whether the view is young enough to serve what a purge or a change of configuration could concern. */
    public boolean isFresh() {
        return ageMs() < timings.maxViewAgeMs();
    }

    /** Discards all confirmations, as after a pause of the process. */
    public void reset() {
        confirmedBy.clear();
        previousConfirmation = NEVER;
    }

    /** The callback gets true once a majority has confirmed the view for an instant not before {@code since}. */
    public void awaitConfirmation(final long since, final long timeoutMs, final Consumer<Boolean> callback) {
        poll();
        checkConfirmation(since, loop.now() + timeoutMs, callback);
    }

    private void checkConfirmation(final long since, final long deadline, final Consumer<Boolean> callback) {
        if (confirmedAt() >= since || loop.now() >= deadline) {
            callback.accept(confirmedAt() >= since);
        } else {
            loop.schedule(10, () -> checkConfirmation(since, deadline, callback));
        }
    }
}
