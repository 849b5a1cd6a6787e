package org.rowanvalve.control.consensus;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.AcceptRequest;
import org.rowanvalve.common.message.AcceptResponse;
import org.rowanvalve.common.message.AcceptedChecksumsRequest;
import org.rowanvalve.common.message.AcceptedChecksumsResponse;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.PrepareRequest;
import org.rowanvalve.common.message.PrepareResponse;
import org.rowanvalve.common.message.RecordHandoverRequest;
import org.rowanvalve.common.message.Register;
import org.rowanvalve.common.message.RegisterHandoverRequest;
import org.rowanvalve.common.message.RejectedResponse;
import org.rowanvalve.common.message.StandbyPrepareResponse;
import org.rowanvalve.common.message.StateTransferRequest;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.StorageException;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.store.CollectionFloor;
import org.rowanvalve.control.store.ItemDigest;
import org.rowanvalve.control.voting.VotingConfiguration;

/**
 * The Paxos acceptor of this node for all registers. The node is a voter, or a standby that may become one.
 *
 * <p>Safety: a voter answers only requests of the current epoch of the voting set, and only while its state covers
 * every promise and every accepted value that it has reported in that epoch. Otherwise the only voter that two
 * majorities have in common could have lost its answer to the first one.
 */
public final class Acceptor {
    private static final long CATCH_UP_INTERVAL_MS = 400;
    private final NodeId self;
    private final VotingConfiguration votingConfiguration;
    private final EventLoop loop;
    private final EventJournal journal;
    private final String incarnation;
    private final boolean firstStart;
    private final AcceptorState state;
    private final AcceptorStateRecovery recovery;
    private final AcceptorHandover handover;
    private final AcceptedValueComparison comparison;
    private Runnable stateRebuilt = () -> {};
    private Runnable prefillItems = () -> {};

    public Acceptor(
            final NodeId self,
            final VotingConfiguration votingConfiguration,
            final EventLoop loop,
            final Transport transport,
            final MonitoredStorage storage,
            final EventJournal journal,
            final String incarnation,
            final boolean firstStart,
            final BooleanSupplier nothingReported) {
        this.self = self;
        this.votingConfiguration = votingConfiguration;
        this.loop = loop;
        this.journal = journal;
        this.incarnation = incarnation;
        this.firstStart = firstStart;
        state = new AcceptorState(storage, journal);
        final VoterContext context = new VoterContext(self, incarnation, votingConfiguration, loop, transport, journal);
        recovery = new AcceptorStateRecovery(
                context, state, firstStart, nothingReported, this::isVoting, () -> stateRebuilt.run());
        comparison = new AcceptedValueComparison(context, state);
        handover = new AcceptorHandover(context, state, this::onJoined);
    }

    /** Loads the state from disk, and fails if the rows cannot be read. */
    public void start() throws StorageException {
        recovery.start();
        final ChosenItem votingSet = state.load();
        if (!state.complete()) {
            if (votingConfiguration.isVoter(self)) {
                journal.add(Event.of(EventCode.AMNESIA, "boot", incarnation));
            }
            if (firstStart && votingConfiguration.quorum().stores().isEmpty()) {
                state.saveFirstStart();
            }
        }
        votingConfiguration.addListener(this::onVotingSetChange);
        if (votingSet != null) {
            votingConfiguration.reconcile(self, votingSet.item().version().number(), votingSet);
        }
        handover.onVotingSetChange();
        tick();
    }

    private void onVotingSetChange() {
        journal.add(Event.of(
                EventCode.VOTERS_SET,
                "epoch",
                votingConfiguration.epoch(),
                "voters",
                votingConfiguration.voters(),
                "voting",
                votingConfiguration.isVoter(self)));
        recovery.onVotingSetChange();
        handover.onVotingSetChange();
        catchUp();
    }

    private void tick() {
        catchUp();
        loop.schedule(CATCH_UP_INTERVAL_MS, this::tick);
    }

    /**
     * Brings a voter that cannot vote yet up to date. If it has lost no vote, it reads the state of the previous voting
     * set; if its state is lost, it reads the state of the other voters of its own epoch.
     */
    private void catchUp() {
        if (isVoting() || !votingConfiguration.isVoter(self)) {
            return;
        }
        if (votingConfiguration.epoch() > state.epoch() && state.hasLostNoVotes()) {
            prefillItems();
            handover.readPreviousSet();
        } else if (!state.complete()) {
            recovery.attempt();
        }
    }

    private void prefillItems() {
        prefillItems.run();
    }

    private void onJoined() {
        stateRebuilt.run();
    }

    /**
     * Sets a listener that runs once this voter can vote after rebuilding a lost state or joining a new voting set.
     * Chosen items that the node has learned meanwhile are not part of the state read from the other voters.
     */
    public void onStateRebuilt(final Runnable listener) {
        stateRebuilt = listener;
    }

    /**
     * Sets the supplier of all chosen items known to this node. They are merged into the state before a handover, so
     * that the previous voters need not send them.
     */
    public void prefillItems(final Supplier<? extends Iterable<ChosenItem>> knownItems) {
        prefillItems = () -> knownItems.get().forEach(this::merge);
    }

    public void connectRecords(final RecordHandover records) {
        handover.connectRecords(records);
        recovery.connectRecords(records);
    }

    /**
     * Compares the values accepted here with those accepted by the other voters. {@code learner} receives every value
     * that is found to be chosen; {@code examined} receives the registers that were compared, if enough voters respond.
     */
    void compareAcceptedValues(final Consumer<ChosenItem> learner, final Consumer<Collection<ItemId>> examined) {
        comparison.run(learner, examined);
    }

    /** Responds to another voter's comparison once every value that the checksums cover is synced here. */
    public void acceptedChecksums(final AcceptedChecksumsRequest request, final Consumer<Message> callback) {
        final Optional<Message> rejection = rejection(request.epoch());
        if (rejection.isPresent()) {
            callback.accept(rejection.get());
            return;
        }
        if (!ItemDigest.isBucketCount(request.buckets())) {
            callback.accept(new RejectedResponse("no such number of buckets"));
            return;
        }
        final List<Long> checksums = AcceptorState.checksums(state.registers().values(), request.buckets());
        state.whenSynced(() -> callback.accept(new AcceptedChecksumsResponse(checksums)));
    }

    /** Whether this voter's state is complete: it is not lost, or it has been rebuilt since. */
    public boolean hasState() {
        return state.complete();
    }

    /** Whether this node votes in the current epoch. */
    public boolean isVoting() {
        return state.complete() && state.epoch() == votingConfiguration.epoch() && votingConfiguration.isVoter(self);
    }

    /** The response that rejects a request of this epoch, or empty if the request may be answered. */
    public Optional<Message> rejection(final long epoch) {
        if (epoch != votingConfiguration.epoch()) {
            return Optional.of(votingConfiguration.epochMismatch());
        }
        return isVoting()
                ? Optional.empty()
                : Optional.of(new RejectedResponse(state.complete() ? "not voting" : "amnesia"));
    }

    /** How often this state, or a state that it was rebuilt from, was the only copy left. */
    public long resumptions() {
        return state.resumptions();
    }

    public ItemDigest digest() {
        return state.digest();
    }

    public Map<ItemId, Register> registers() {
        return state.registers();
    }

    /**
     * Adds a listener that receives the ID of each register in the event loop, right after the register was changed or
     * removed.
     */
    public void addRegisterListener(final Consumer<ItemId> listener) {
        state.addRegisterListener(listener);
    }

    public Version version(final ItemId id) {
        return state.register(id).item().version();
    }

    /** Like {@link #rejection}, but also rejects votes while the storage is stalled. */
    private Optional<Message> voteRejection(final long epoch) {
        return rejection(epoch)
                .or(() -> state.isStalled()
                        ? Optional.of(new RejectedResponse(RejectedResponse.STORAGE_UNAVAILABLE))
                        : Optional.empty());
    }

    /** Handles phase one of a write. The response is sent once the promise is synced. */
    public void prepare(final PrepareRequest request, final Consumer<Message> callback) {
        final Optional<Message> rejection = voteRejection(request.epoch());
        if (rejection.isPresent()) {
            callback.accept(rejection.get());
            return;
        }
        final Register register = state.register(request.id());
        if (!request.ballot().isAbove(register.promisedBallot())
                || request.ballot().round() <= state.ballotFloor()) {
            callback.accept(new PrepareResponse(false, state.highestBallot(register), register.acceptedBallot(), null));
            return;
        }
        final Register updated = new Register(request.ballot(), register.acceptedBallot(), register.item());
        state.put(updated);
        state.save(
                updated,
                () -> callback.accept(
                        new PrepareResponse(true, request.ballot(), updated.acceptedBallot(), updated.item())));
    }

    /** Handles phase two of a write. The response is sent once the accepted value is synced. */
    public void accept(final AcceptRequest request, final Consumer<Message> callback) {
        final Optional<Message> rejection = voteRejection(request.epoch());
        if (rejection.isPresent()) {
            callback.accept(rejection.get());
            return;
        }
        final Ballot ballot = request.ballot();
        final Item item = request.item();
        final Register register = state.register(item.id());
        if (register.promisedBallot().isAbove(ballot) || ballot.round() <= state.ballotFloor()) {
            callback.accept(new AcceptResponse(false, state.highestBallot(register)));
            return;
        }
        final Ballot promised =
                request.nextBallot() != null && request.nextBallot().isAbove(ballot) ? request.nextBallot() : ballot;
        final Register updated = new Register(promised, ballot, item);
        state.put(updated);
        state.save(updated, () -> callback.accept(new AcceptResponse(true, updated.promisedBallot())));
    }

    /**
     * Drops the registers of garbage-collected items. The ballot floor rises to their ballots, so that a delayed
     * message cannot restore a dropped promise or value.
     */
    public void collect(final CollectionFloor collectionFloor) {
        final List<Register> collected = !state.complete() || state.isStalled()
                ? List.of()
                : state.registers().values().stream()
                        .filter(register -> register.item().id().kind().sharesVersionCounter()
                                && collectionFloor.covers(
                                        register.item().id(),
                                        register.item().version().number())
                                && collectionFloor.floor(register.item().id().kind()) > 0)
                        .toList();
        if (!collected.isEmpty()) {
            state.drop(collected);
        }
    }

    /**
     * Stores a chosen value. This is safe at any time, since every prepare with a higher ballot reads this value, or a
     * later one, from a majority anyway.
     */
    public void learn(final ChosenItem chosen) {
        if (isVoting() && merge(chosen)) {
            state.save(state.register(chosen.item().id()), () -> {});
        }
    }

    private boolean merge(final ChosenItem chosen) {
        final Register register = state.register(chosen.item().id());
        final boolean isNewer = chosen.item().version().isAbove(register.item().version())
                && chosen.ballot().isAbove(register.acceptedBallot());
        if (isNewer) {
            final Ballot promised =
                    chosen.ballot().isAbove(register.promisedBallot()) ? chosen.ballot() : register.promisedBallot();
            state.put(new Register(promised, chosen.ballot(), chosen.item()));
        }
        return isNewer;
    }

    /** Responds to a voter of the same epoch that has lost its state. */
    public void transferState(final NodeId from, final StateTransferRequest request, final Consumer<Message> callback) {
        if (request.epoch() != votingConfiguration.epoch()) {
            callback.accept(votingConfiguration.epochMismatch());
        } else {
            recovery.transferState(from, request, callback);
        }
    }

    public void handOverRegisters(
            final NodeId from, final RegisterHandoverRequest request, final Consumer<Message> callback) {
        handover.handOverRegisters(from, request, callback);
    }

    public void handOverRecords(
            final NodeId from, final RecordHandoverRequest request, final Consumer<Message> callback) {
        handover.handOverRecords(from, request, callback);
    }

    /**
     * Prepares this node to become a voter of the next set. {@code current}: whether the current voters have confirmed
     * this node's view.
     */
    public void prepareStandby(final long epoch, final boolean current, final Consumer<Message> callback) {
        if (epoch != votingConfiguration.epoch()) {
            callback.accept(votingConfiguration.epochMismatch());
        } else if (votingConfiguration.isVoter(self) || !current || state.isStalled()) {
            callback.accept(new StandbyPrepareResponse(false));
        } else {
            state.saveStandby(
                    epoch, () -> callback.accept(new StandbyPrepareResponse(epoch == votingConfiguration.epoch())));
        }
    }

    /**
     * Rebuilds the state from a single voter, without a majority, after an operator has vouched that this voter's state
     * is complete.
     */
    public void vouch(final NodeId from, final Consumer<Boolean> callback) {
        recovery.vouch(from, callback);
    }
}
