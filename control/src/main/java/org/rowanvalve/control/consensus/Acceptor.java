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
 * One voter over all registers, or a standby that may become one. It answers only in the present epoch of the voting
 * set, and only with a state that holds all it ever answered in that epoch; else two majorities could miss each other.
 */
public final class Acceptor {
    private static final long RETRY_MS = 400;
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
            final BooleanSupplier virgin) {
        this.self = self;
        this.votingConfiguration = votingConfiguration;
        this.loop = loop;
        this.journal = journal;
        this.incarnation = incarnation;
        this.firstStart = firstStart;
        state = new AcceptorState(storage, journal);
        final VoterContext context = new VoterContext(self, incarnation, votingConfiguration, loop, transport, journal);
        recovery =
                new AcceptorStateRecovery(context, state, firstStart, virgin, this::isVoting, () -> stateRebuilt.run());
        comparison = new AcceptedValueComparison(context, state);
        handover = new AcceptorHandover(context, state, this::onJoined);
    }

    /** Reads the state from disk; fails where it cannot be read. */
    public void start() throws StorageException {
        recovery.start();
        final ChosenItem set = state.load();
        if (!state.complete()) {
            if (votingConfiguration.isVoter(self)) {
                journal.add(Event.of(EventCode.AMNESIA, "boot", incarnation));
            }
            if (firstStart && votingConfiguration.quorum().stores().isEmpty()) {
                state.saveFirstStart();
            }
        }
        votingConfiguration.addListener(this::onVotingSetChange);
        if (set != null) {
            votingConfiguration.reconcile(self, set.item().version().number(), set);
        }
        handover.onVotingSetChange();
        tick();
    }

    /** Called when the voting set has changed. */
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
        loop.schedule(RETRY_MS, this::tick);
    }

    /** A voter that cannot vote yet reads the earlier set, or, where its state was lost, the others of its own set. */
    private void catchUp() {
        if (isVoting() || !votingConfiguration.isVoter(self)) {
            return;
        }
        if (votingConfiguration.epoch() > state.epoch() && state.isContinuous()) {
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
     * Sets what runs once a lost state is rebuilt: what the node has learned meanwhile is not in what was read from
     * others.
     */
    public void onStateRebuilt(final Runnable job) {
        stateRebuilt = job;
    }

    /** {@code known}: all chosen items that this node holds; they need not be handed over. */
    public void prefillItems(final Supplier<? extends Iterable<ChosenItem>> known) {
        prefillItems = () -> known.get().forEach(this::merge);
    }

    public void connectRecords(final RecordHandover store) {
        handover.recordHandover(store);
        recovery.recordHandover(store);
    }

    /**
     * Compares what was accepted here with what the other voters accepted. {@code learner} gets every value that is
     * found to be chosen; {@code examined} the registers that were compared, where enough voters answer.
     */
    void compareAcceptedValues(final Consumer<ChosenItem> learner, final Consumer<Collection<ItemId>> examined) {
        comparison.run(learner, examined);
    }

    /** Answers another voter's comparison once all that its checksums cover is synced here. */
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

    /** Whether this voter lacks none of the state that it once had. */
    public boolean hasState() {
        return state.complete();
    }

    /** Whether this voter answers in the present epoch. */
    public boolean isVoting() {
        return state.complete() && state.epoch() == votingConfiguration.epoch() && votingConfiguration.isVoter(self);
    }

    /** Why a request of this epoch is not answered here; empty where it is. */
    public Optional<Message> rejection(final long epoch) {
        if (epoch != votingConfiguration.epoch()) {
            return Optional.of(votingConfiguration.epochMismatch());
        }
        return isVoting()
                ? Optional.empty()
                : Optional.of(new RejectedResponse(state.complete() ? "not voting" : "amnesia"));
    }

    /** How often this state, or the one it was rebuilt from, was the only copy left. */
    public long resumptions() {
        return state.resumptions();
    }

    public ItemDigest digest() {
        return state.digest();
    }

    public Map<ItemId, Register> registers() {
        return state.registers();
    }

    /** {@code listener} gets the name of each register right after it has changed or was removed, in the event loop. */
    public void addRegisterListener(final Consumer<ItemId> listener) {
        state.addRegisterListener(listener);
    }

    public Version version(final ItemId id) {
        return state.register(id).item().version();
    }

    /** Why a vote of this epoch isn't given here; empty where it is. */
    private Optional<Message> voteRejection(final long epoch) {
        return rejection(epoch)
                .or(() -> state.isStalled()
                        ? Optional.of(new RejectedResponse(RejectedResponse.STORAGE_UNAVAILABLE))
                        : Optional.empty());
    }

    /** Phase one of a write; the response leaves once the promise is synced. */
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

    /** Phase two of a write; the response leaves once the value is synced. */
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
     * Drops the registers of collected items; the ballot floor keeps what was promised or accepted for them from coming
     * back.
     */
    public void collect(final CollectionFloor sweep) {
        final List<Register> dead = !state.complete() || state.isStalled()
                ? List.of()
                : state.registers().values().stream()
                        .filter(register -> register.item().id().kind().sharesVersionCounter()
                                && sweep.covers(
                                        register.item().id(),
                                        register.item().version().number())
                                && sweep.floor(register.item().id().kind()) > 0)
                        .toList();
        if (!dead.isEmpty()) {
            state.drop(dead);
        }
    }

    /** A chosen value may be stored at any time: whoever prepares above its ballot reads it from a majority anyway. */
    public void learn(final ChosenItem chosen) {
        if (isVoting() && merge(chosen)) {
            state.save(state.register(chosen.item().id()), () -> {});
        }
    }

    private boolean merge(final ChosenItem chosen) {
        final Register register = state.register(chosen.item().id());
        final boolean news = chosen.item().version().isAbove(register.item().version())
                && chosen.ballot().isAbove(register.acceptedBallot());
        if (news) {
            final Ballot promised =
                    chosen.ballot().isAbove(register.promisedBallot()) ? chosen.ballot() : register.promisedBallot();
            state.put(new Register(promised, chosen.ballot(), chosen.item()));
        }
        return news;
    }

    /** Answers a voter of the same epoch that lost its state. */
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
     * Prepares to be a voter of the next set. {@code current}: this node's view was confirmed by the present voters.
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

    /** An operator vouches that one voter holds all: its copy is taken without a majority. */
    public void vouch(final NodeId from, final Consumer<Boolean> then) {
        recovery.vouch(from, then);
    }
}
