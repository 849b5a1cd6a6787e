package org.rowanvalve.control.view;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
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
 * Confirms this node's view of the configuration: asks the voters whether this node has all items that they have
 * accepted, and learns the missing ones. If a majority of the voters confirms a request, the view was complete when the
 * request was sent, since every majority includes a voter that has accepted the chosen item.
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
    private LongConsumer confirmationListener = time -> {};
    private final Map<NodeId, Long> confirmedBy = new HashMap<>();
    private final Map<NodeId, VoterQuery> queries = new LinkedHashMap<>();
    private Quorum quorum;
    private long previousConfirmation = NEVER;
    private static final long INTERVAL_MS = 300;
    private static final long STARTUP_MS = 6000;
    private static final long LEARN_TIMEOUT_MILLIS = 500;
    private static final long POLL_MS = 10;
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
     * A confirmation by a majority of the previous voters stays valid until it expires. Confirmations by individual
     * previous voters do not count towards a majority of the new voting set.
     */
    private void onVotingSetChange() {
        previousConfirmation = Math.max(previousConfirmation, majorityConfirmedAt());
        confirmedBy.clear();
        quorum = votingConfiguration.quorum();
        openQueries();
        loop.execute(this::poll);
    }

    /** Replaces the timings, which determine how long a view stays fresh after its confirmation. */
    public void timings(final LeaseTimings newTimings) {
        timings = newTimings;
    }

    /** The maximum age of a confirmation, in ms, at which the view is fresh. */
    public long maxAgeMs() {
        return timings.maxViewAgeMs();
    }

    /** Starts the periodic requests to the voters. */
    public void start() {
        staleSince = loop.now();
        loop.execute(this::poll);
        loop.scheduleRepeatedly(INTERVAL_MS / 3, this::tick);
    }

    /**
     * Asks the voters every {@link #INTERVAL_MS}, and three times as often during the first {@link #STARTUP_MS} without
     * a fresh view, so that the node resumes service soon after a start or a loss of confirmation.
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

    /** Asks every voter, whether the view is fresh or not; a voter with an open request is asked after it has ended. */
    public void poll() {
        final boolean fresh = isFresh();
        if (fresh != wasFresh) {
            wasFresh = fresh;
            journal.add(Event.of(fresh ? EventCode.FRAME_FRESH : EventCode.FRAME_STALE, "age", fresh ? ageMs() : -1));
        }
        queries.values().forEach(VoterQuery::ask);
    }

    private void openQueries() {
        queries.values().forEach(VoterQuery::cancel);
        queries.clear();
        quorum.voters()
                .forEach(voter -> queries.put(
                        voter,
                        new VoterQuery(
                                voter, quorum.epoch(), loop, transport, items, waitReport, new ResponseHandler())));
    }

    private final class ResponseHandler implements VoterQuery.Listener {
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
                        LEARN_TIMEOUT_MILLIS,
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
            if (majorityConfirmedAt() > NEVER) {
                confirmationListener.accept(majorityConfirmedAt());
            }
        }
    }

    /** Sets the listener that gets the time of each confirmation by a majority, before the view counts as fresh. */
    public void onConfirmation(final LongConsumer listener) {
        confirmationListener = listener;
    }

    /** The latest time for which a majority has confirmed this node's view, in ms of the monotonic clock. */
    public long confirmedAt() {
        return Math.max(previousConfirmation, majorityConfirmedAt());
    }

    /** Whether a majority of the present voting set has confirmed the view of this node in the present epoch. */
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

    /** The time since {@link #confirmedAt}, in ms. */
    public long ageMs() {
        return loop.now() - confirmedAt();
    }

    /** Whether the view is recent enough to serve content that a purge or a change of configuration could affect. */
    public boolean isFresh() {
        return ageMs() < timings.maxViewAgeMs();
    }

    /** Discards all confirmations, for example after a pause of the process. */
    public void reset() {
        confirmedBy.clear();
        previousConfirmation = NEVER;
    }

    /**
     * Calls {@code callback} with true once a majority has confirmed the view for {@code since} or later, or with false
     * after the time-out.
     */
    public void awaitConfirmation(final long since, final long timeoutMs, final Consumer<Boolean> callback) {
        poll();
        checkConfirmation(since, loop.now() + timeoutMs, callback);
    }

    private void checkConfirmation(final long since, final long deadline, final Consumer<Boolean> callback) {
        if (confirmedAt() >= since || loop.now() >= deadline) {
            callback.accept(confirmedAt() >= since);
        } else {
            loop.schedule(POLL_MS, () -> checkConfirmation(since, deadline, callback));
        }
    }
}
