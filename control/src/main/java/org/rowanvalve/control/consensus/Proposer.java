package org.rowanvalve.control.consensus;

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
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.AcceptRequest;
import org.rowanvalve.common.message.AcceptResponse;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.LearnNotification;
import org.rowanvalve.common.message.PrepareRequest;
import org.rowanvalve.common.message.PrepareResponse;
import org.rowanvalve.common.message.RejectedResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.store.ItemStore;
import org.rowanvalve.control.voting.Quorum;
import org.rowanvalve.control.voting.StoreHealth;
import org.rowanvalve.control.voting.VotingConfiguration;

/**
 * Proposes changes to registers. A write prepares a ballot at a majority of the voters, takes the accepted value with
 * the highest ballot, applies the update to that value, and asks the voters to accept the result. The result is chosen
 * once a write quorum has accepted it (a majority, with a store if there are stores), and is then announced to the other
 * nodes. The writes of one register are serialized; competing proposers are ordered by their ballots.
 */
public final class Proposer {
    /** Time-out of a prepare or accept request to one voter. */
    private static final long REQUEST_TIMEOUT_MILLIS = 600;

    private static final long MIN_PREPARE_TIMEOUT_MILLIS = 20;
    /** A prepare request times out this long before the deadline of its proposal. */
    private static final long PREPARE_TIMEOUT_MARGIN_MS = 20;

    private static final long MIN_CONFIRM_TIMEOUT_MILLIS = 200;
    private static final int MIN_BACKOFF_MS = 5;
    /** The random part of the backoff is below this bound, plus one step for each failed attempt. */
    private static final int BACKOFF_RANGE_MS = 15;

    private static final int BACKOFF_STEP_MS = 20;
    private static final int MAX_BACKOFF_STEPS = 8;
    /**
     * After a preemption the random backoff also grows by the duration of the last round, up to this bound, times the
     * number of attempts. Two proposers that preempt each other need a backoff range longer than one round, or they
     * continue to preempt each other.
     */
    private static final long MAX_ROUND_DURATION_MS = 400;

    private static final int MAX_ROUND_FACTOR = 3;
    /** Accept requests for these registers also prepare the next ballot, so that the next write skips the prepare. */
    private static final Set<ItemId> PRE_PROMISED = Set.of(ItemId.LEADERSHIP, ItemId.PLAN, ItemId.LEDGER);

    private final VotingConfiguration votingConfiguration;
    private final EventLoop loop;
    private final Transport transport;
    private final Random random;
    private final EventJournal journal;
    private final String proposerId;
    private final ItemStore items;
    private final Supplier<List<NodeId>> learners;
    private final StoreHealth storeHealth;
    private final Map<ItemId, PreparedBallot> preparedBallots = new HashMap<>();
    private long highestRound;

    /** A ballot that a majority promised when it accepted {@code item}; the next write skips the prepare phase. */
    private record PreparedBallot(Ballot ballot, Item item) {}

    /** The outcome of a proposal. */
    public enum Status {
        /** The value was accepted and synced by a write quorum. */
        ACCEPTED,
        /** The update did not apply to the current value, which is chosen. */
        CONFLICT,
        /** No accept request was sent, for example because the value is too large; the write does not take effect. */
        REJECTED,
        /** The outcome is not known: the value was sent in an accept request and may or may not be chosen. */
        UNKNOWN
    }

    /** {@code item}: the latest value of the register known to the proposer. */
    public record Result(Status status, Item item) {
        public boolean isAccepted() {
            return status == Status.ACCEPTED;
        }
    }

    /** Returns the new value of the register, or empty if the write does not apply to the current value. */
    @FunctionalInterface
    public interface Update {
        Optional<Item> apply(Item current);
    }

    public Proposer(
            final NodeId self,
            final String boot,
            final VotingConfiguration votingConfiguration,
            final EventLoop loop,
            final Transport transport,
            final Random random,
            final EventJournal journal,
            final ItemStore items,
            final Supplier<List<NodeId>> learners,
            final StoreHealth storeHealth) {
        this.storeHealth = storeHealth;
        this.votingConfiguration = votingConfiguration;
        this.loop = loop;
        this.transport = transport;
        this.random = random;
        this.journal = journal;
        this.proposerId = self.text() + "#" + boot;
        this.items = items;
        this.learners = learners;
        votingConfiguration.addListener(preparedBallots::clear);
    }

    /**
     * Writes one register. {@code writeId} identifies the write: if the register already has a value with this id, that
     * value is accepted again instead of applying {@code change}. After {@code timeoutMs} without a result the callback
     * gets {@link Status#UNKNOWN} or {@link Status#REJECTED}. The callback is called once, in the event loop.
     */
    public void propose(
            final ItemId id,
            final String writeId,
            final long timeoutMs,
            final Update change,
            final Consumer<Result> callback) {
        new Proposal(id, writeId, loop.now() + timeoutMs, change, callback).prepare();
    }

    /**
     * Reads one register by a write that keeps its value, so that the result reflects every write that completed before
     * the call.
     */
    public void read(final ItemId id, final long timeoutMs, final Consumer<Result> callback) {
        propose(id, "", timeoutMs, Optional::of, callback);
    }

    private final class Proposal {
        private final ItemId id;
        private final String writeId;
        private final long deadline;
        private final Update update;
        private final Consumer<Result> callback;
        private Ballot ballot;
        private boolean sent;
        private boolean done;
        private int attempts;
        private long startedAt = loop.now();
        private boolean preempted;
        private Ballot highestAccepted = Ballot.ZERO;
        private Item current;
        private final Set<NodeId> acknowledged = new HashSet<>();
        private int rejections;
        private final Set<NodeId> preparedNext = new HashSet<>();
        private Ballot nextBallot;
        private int phase;
        /** The voting set of the current phase; responses of other voters are not counted. */
        private Quorum quorum = votingConfiguration.quorum();

        Proposal(
                final ItemId id,
                final String writeId,
                final long deadline,
                final Update update,
                final Consumer<Result> callback) {
            this.id = id;
            this.writeId = writeId;
            this.deadline = deadline;
            this.update = update;
            this.callback = callback;
        }

        private void complete(final Status status, final Item item) {
            if (!done) {
                done = true;
                callback.accept(new Result(status, item));
            }
        }

        private void retry() {
            phase++;
            if (done) {
                return;
            }
            final long roundMs = preempted ? Math.min(MAX_ROUND_DURATION_MS, loop.now() - startedAt) : 0;
            preempted = false;
            final long delayMs = MIN_BACKOFF_MS
                    + random.nextInt(BACKOFF_RANGE_MS
                            + BACKOFF_STEP_MS * Math.min(MAX_BACKOFF_STEPS, ++attempts)
                            + (int) (Math.min(MAX_ROUND_FACTOR, attempts) * roundMs));
            if (loop.now() + delayMs >= deadline) {
                complete(sent ? Status.UNKNOWN : Status.REJECTED, items.get(id));
            } else {
                loop.schedule(delayMs, this::prepare);
            }
        }

        private void prepare() {
            if (done) {
                return;
            }
            quorum = votingConfiguration.quorum();
            final PreparedBallot prepared = preparedBallots.remove(id);
            if (prepared != null && attempts == 0) {
                ballot = prepared.ballot();
                current = prepared.item();
                phase++;
                decide();
                return;
            }
            highestRound++;
            startedAt = loop.now();
            ballot = new Ballot(highestRound, proposerId);
            highestAccepted = Ballot.ZERO;
            current = Item.none(id);
            acknowledged.clear();
            rejections = 0;
            final int requestPhase = ++phase;
            for (final NodeId voter : quorum.voters()) {
                transport.request(
                        voter,
                        new PrepareRequest(quorum.epoch(), id, ballot),
                        Math.max(
                                MIN_PREPARE_TIMEOUT_MILLIS,
                                Math.min(REQUEST_TIMEOUT_MILLIS, deadline - loop.now() - PREPARE_TIMEOUT_MARGIN_MS)),
                        reply -> onPrepareResponse(voter, requestPhase, reply));
            }
        }

        private void onPrepareResponse(final NodeId voter, final int requestPhase, final Reply reply) {
            if (onVotingSetChange(voter, requestPhase, reply)) {
                return;
            }
            final Optional<PrepareResponse> response = reply.as(PrepareResponse.class);
            response.ifPresent(
                    r -> highestRound = Math.max(highestRound, r.highestBallot().round()));
            if (phase != requestPhase || done) {
                return;
            }
            if (response.isEmpty() || !response.get().promised()) {
                preempted |= response.isPresent();
                if (++rejections > quorum.voters().size() - quorum.majority()) {
                    retry();
                }
                return;
            }
            acknowledged.add(voter);
            if (response.get().acceptedBallot().isAbove(highestAccepted)) {
                highestAccepted = response.get().acceptedBallot();
                current = response.get().item();
            }
            if (quorum.isReadQuorum(acknowledged)) {
                decide();
            }
        }

        /** Restarts the proposal with the present voting set if the voter's reply made this node adopt a later set. */
        private boolean onVotingSetChange(final NodeId voter, final int requestPhase, final Reply reply) {
            if (!votingConfiguration.isEpochMismatch(voter, reply) || quorum.epoch() == votingConfiguration.epoch()) {
                return false;
            }
            if (phase == requestPhase && !done) {
                retry();
            }
            return true;
        }

        private void decide() {
            if (!writeId.isEmpty()
                    && writeId.equals(current.writeId())
                    && current.version().number() > 0) {
                sendAccept(current);
                return;
            }
            final Optional<Item> next = update.apply(current);
            if (next.isEmpty()) {
                phase++;
                journal.add(Event.of(
                        EventCode.CLASHED,
                        "item",
                        id.text(),
                        "ver",
                        current.version().number()));
                confirmCurrent(current);
            } else if (next.get().approximateBytes() > Item.MAX_BYTES) {
                phase++;
                complete(sent ? Status.UNKNOWN : Status.REJECTED, current);
            } else {
                sendAccept(next.get());
            }
        }

        /**
         * Has the conflicting value chosen before the conflict is reported, since only a minority of the voters may have
         * accepted that value so far.
         */
        private void confirmCurrent(final Item item) {
            if (item.version().number() == 0) {
                complete(sent ? Status.UNKNOWN : Status.CONFLICT, item);
                return;
            }
            read(
                    id,
                    Math.max(MIN_CONFIRM_TIMEOUT_MILLIS, deadline - loop.now()),
                    reply -> complete(
                            reply.isAccepted()
                                    ? sent
                                                    && reply.item().version().number()
                                                            > item.version().number()
                                            ? Status.UNKNOWN
                                            : Status.CONFLICT
                                    : sent ? Status.UNKNOWN : Status.REJECTED,
                            reply.isAccepted() ? reply.item() : item));
        }

        private void sendAccept(final Item item) {
            acknowledged.clear();
            rejections = 0;
            final int requestPhase = ++phase;
            if (item != current) {
                sent = true;
            }
            final long sentAt = loop.now();
            preparedNext.clear();
            nextBallot = PRE_PROMISED.contains(id) ? new Ballot(++highestRound, proposerId) : null;
            for (final NodeId voter : quorum.voters()) {
                transport.request(
                        voter,
                        new AcceptRequest(quorum.epoch(), ballot, item, nextBallot),
                        REQUEST_TIMEOUT_MILLIS,
                        reply -> onAcceptResponse(voter, requestPhase, sentAt, item, reply));
            }
            loop.schedule(StoreHealth.SILENCE_TIMEOUT_MILLIS, () -> checkAccepted(requestPhase, sentAt, item));
        }

        private void onAcceptResponse(
                final NodeId voter, final int requestPhase, final long sentAt, final Item item, final Reply reply) {
            if (onVotingSetChange(voter, requestPhase, reply)) {
                return;
            }
            final Optional<AcceptResponse> response = reply.as(AcceptResponse.class);
            response.ifPresent(
                    r -> highestRound = Math.max(highestRound, r.highestBallot().round()));
            final boolean accepted = response.isPresent() && response.get().accepted();
            if (accepted) {
                storeHealth.recordSync(voter);
            } else if (RejectedResponse.isStorageUnavailable(reply)) {
                storeHealth.markSilent(voter);
            }
            if (phase != requestPhase || done) {
                return;
            }
            if (!accepted) {
                preempted |= response.isPresent();
                if (response.isPresent() && storeHealth.isStore(voter)
                        || ++rejections > quorum.voters().size() - quorum.majority()) {
                    retry();
                } else {
                    checkAccepted(requestPhase, sentAt, item);
                }
                return;
            }
            acknowledged.add(voter);
            if (response.get().highestBallot().equals(nextBallot)) {
                preparedNext.add(voter);
            }
            checkAccepted(requestPhase, sentAt, item);
        }

        private void checkAccepted(final int requestPhase, final long sentAt, final Item item) {
            if (phase == requestPhase
                    && !done
                    && quorum.isWriteQuorum(acknowledged)
                    && storeHealth.allReachableSynced(acknowledged, loop.now() - sentAt)) {
                phase++;
                if (quorum.isReadQuorum(preparedNext) && quorum.epoch() == votingConfiguration.epoch()) {
                    preparedBallots.put(id, new PreparedBallot(nextBallot, item));
                }
                final ChosenItem chosen = new ChosenItem(ballot, item);
                if (item.version().number() > 0) {
                    if (sent) {
                        journal.add(Event.of(
                                EventCode.ACCEPTED,
                                "item",
                                id.text(),
                                "ver",
                                item.version().number(),
                                "tag",
                                item.writeId()));
                    }
                    items.merge(chosen);
                    announce(chosen);
                }
                complete(sent && isCollected(item) ? Status.UNKNOWN : Status.ACCEPTED, item);
            }
        }

        /**
         * Whether the version of a value counts as garbage collected, so that no node learns the value. This happens if
         * this node was held up after it had chosen the version.
         */
        private boolean isCollected(final Item item) {
            return items.collectionFloor().covers(id, item.version().number());
        }
    }

    private void announce(final ChosenItem chosen) {
        final List<NodeId> recipients = new ArrayList<>(learners.get());
        votingConfiguration.voters().stream()
                .filter(voter -> !recipients.contains(voter))
                .forEach(recipients::add);
        transport.send(recipients, new LearnNotification(List.of(chosen)));
    }
}
