package org.rowanvalve.control.consensus;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.RecordHandoverRequest;
import org.rowanvalve.common.message.RecordHandoverResponse;
import org.rowanvalve.common.message.RegisterHandoverRequest;
import org.rowanvalve.common.message.RegisterHandoverResponse;
import org.rowanvalve.common.message.RegisterPosition;
import org.rowanvalve.common.message.RejectedResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.voting.VotingConfiguration;

/**
 * Hands the state of one voting set over to the next. A voter of the previous set seals its epoch: once the chosen
 * later set is synced on its disk, it answers no more requests of the previous epoch and hands over its state. A voter
 * of the later set reads the state of a majority of the sealed previous set, syncs this state together with the new
 * epoch, and votes only after that.
 *
 * <p>A late voter may instead read a single voter of its own epoch. This is safe because that voter has already read
 * such a majority, and the late voter itself has promised nothing in this epoch.
 */
final class AcceptorHandover {
    private static final long RETRY_MS = 100;
    private static final long TIMEOUT_MILLIS = 500;
    private final NodeId self;
    private final VotingConfiguration votingConfiguration;
    private final AcceptorState state;
    private final EventLoop loop;
    private final Transport transport;
    private final EventJournal journal;
    private final Runnable joined;
    private final List<Runnable> waitingForSeal = new ArrayList<>();
    private RecordHandover recordHandover = RecordHandover.NONE;
    private PreviousSetRead currentRead;

    /** {@code joined}: runs once this voter votes in the current epoch. */
    AcceptorHandover(final VoterContext context, final AcceptorState state, final Runnable joined) {
        this.self = context.self();
        this.votingConfiguration = context.votingConfiguration();
        this.state = state;
        this.loop = context.loop();
        this.transport = context.transport();
        this.journal = context.journal();
        this.joined = joined;
    }

    void connectRecords(final RecordHandover records) {
        recordHandover = records;
    }

    /**
     * Called when the voting set has changed. Syncs the new set, which seals the previous epoch: this voter answers no
     * more requests of it.
     */
    void onVotingSetChange() {
        currentRead = null;
        seal();
    }

    private void seal() {
        votingConfiguration
                .chosenSet()
                .filter(set -> set.item().version().number() > state.sealedEpoch())
                .ifPresent(this::seal);
    }

    private void seal(final ChosenItem votingSet) {
        state.saveVotingSet(votingSet, this::onSealed, () -> loop.schedule(RETRY_MS, this::seal));
    }

    private void onSealed() {
        if (state.sealedEpoch() < votingConfiguration.epoch()) {
            return;
        }
        final List<Runnable> waiting = List.copyOf(waitingForSeal);
        waitingForSeal.clear();
        waiting.forEach(Runnable::run);
        if (currentRead != null) {
            currentRead.countOwnState();
        }
    }

    /**
     * Whether this voter may hand over its state: the state is complete, and it is of the current epoch, or of the
     * previous one in which this node was a voter.
     */
    private boolean canHandOver() {
        final long currentEpoch = votingConfiguration.epoch();
        return state.complete()
                && !recordHandover.isIncomplete()
                && (state.epoch() == currentEpoch
                        || state.epoch() == currentEpoch - 1
                                && votingConfiguration.previousVoters().contains(self));
    }

    /**
     * Runs {@code respond} once the epochs before the requester's voting set are sealed on this disk. The request
     * contains that chosen set, so it starts the sealing if this voter has not learned the set yet.
     */
    private void whenSealed(
            final NodeId from, final ChosenItem votingSet, final Consumer<Message> callback, final Runnable respond) {
        final long requestedEpoch = votingSet.item().version().number();
        votingConfiguration.reconcile(from, requestedEpoch, votingSet);
        final Runnable respondIfCurrent = () -> {
            if (votingConfiguration.epoch() != requestedEpoch) {
                callback.accept(votingConfiguration.epochMismatch());
            } else if (canHandOver()) {
                respond.run();
            } else {
                callback.accept(new RejectedResponse("nothing to hand over"));
            }
        };
        if (state.sealedEpoch() >= votingConfiguration.epoch()) {
            respondIfCurrent.run();
        } else {
            waitingForSeal.add(respondIfCurrent);
        }
    }

    void handOverRegisters(final NodeId from, final RegisterHandoverRequest request, final Consumer<Message> callback) {
        whenSealed(from, request.votingSet(), callback, () -> callback.accept(page(request)));
    }

    void handOverRecords(final NodeId from, final RecordHandoverRequest request, final Consumer<Message> callback) {
        whenSealed(
                from,
                request.votingSet(),
                callback,
                () -> callback.accept(recordHandover.page(request.checksums(), request.afterKey())));
    }

    /** A request without a position gets pages of whole buckets. */
    private RegisterHandoverResponse page(final RegisterHandoverRequest request) {
        final boolean withinBuckets = request.position() != null;
        final RegisterPosition from =
                withinBuckets ? request.position() : new RegisterPosition(request.fromBucket(), null);
        final RegisterTable.Page page = state.page(request.checksums(), from, withinBuckets);
        return new RegisterHandoverResponse(
                state.epoch(),
                state.highestRound(),
                state.resumptions(),
                state.founders(),
                page.registers(),
                page.next() == null
                        ? RegisterHandoverResponse.LAST_PAGE
                        : page.next().bucket(),
                withinBuckets ? page.next() : null);
    }

    /**
     * Requests the state that is still missing. Called repeatedly until this voter votes or the voting set changes
     * again.
     */
    void readPreviousSet() {
        if (currentRead == null || currentRead.epoch != votingConfiguration.epoch()) {
            currentRead = new PreviousSetRead(votingConfiguration.chosenSet().orElseThrow());
        }
        currentRead.requestMissing();
    }

    /** The read of the previous voting set's state by a voter of one epoch. */
    private final class PreviousSetRead {
        private final ChosenItem votingSet;
        private final long epoch;
        private final List<NodeId> previousVoters = votingConfiguration.previousVoters();
        private final Set<NodeId> requested = new HashSet<>();
        private final Set<NodeId> completed = new HashSet<>();
        private boolean hasMajority;
        private boolean writing;

        PreviousSetRead(final ChosenItem votingSet) {
            this.votingSet = votingSet;
            this.epoch = votingSet.item().version().number();
        }

        private boolean isCurrent() {
            return currentRead == this && !writing && votingConfiguration.epoch() == epoch;
        }

        void requestMissing() {
            countOwnState();
            finish();
            final Set<NodeId> sources = new HashSet<>(previousVoters);
            sources.addAll(votingConfiguration.voters());
            sources.remove(self);
            sources.removeAll(completed);
            final List<Long> checksums = state.checksums();
            for (final NodeId source : sources) {
                if (isCurrent() && requested.add(source)) {
                    readRegisters(source, checksums, RegisterPosition.START);
                }
            }
        }

        /**
         * Counts this voter's own state of the previous epoch like a state that was read, once that epoch is sealed.
         */
        void countOwnState() {
            final boolean isOwnStateSealed = state.sealedEpoch() >= epoch && state.epoch() == epoch - 1;
            if (isCurrent() && isOwnStateSealed && previousVoters.contains(self) && canHandOver()) {
                countSource(self, state.epoch());
            }
        }

        private void failed(final NodeId source, final Reply reply) {
            votingConfiguration.isEpochMismatch(source, reply);
            requested.remove(source);
            if (isCurrent()) {
                loop.schedule(RETRY_MS, () -> {
                    if (isCurrent()) {
                        requestMissing();
                    }
                });
            }
        }

        private void readRegisters(final NodeId source, final List<Long> checksums, final RegisterPosition from) {
            transport.request(
                    source, new RegisterHandoverRequest(votingSet, checksums, from), TIMEOUT_MILLIS, reply -> {
                        final RegisterHandoverResponse response =
                                reply.as(RegisterHandoverResponse.class).orElse(null);
                        if (response == null || !isCurrent()) {
                            failed(source, reply);
                            return;
                        }
                        state.adopt(response.founders(), response.ballotFloor(), response.resumptions());
                        response.registers().forEach(state::merge);
                        if (response.next() == null) {
                            readRecords(source, response.epoch(), recordHandover.checksums(), null);
                        } else {
                            readRegisters(source, checksums, response.next());
                        }
                    });
        }

        private void readRecords(
                final NodeId source, final long sourceEpoch, final List<Long> checksums, final String afterKey) {
            transport.request(
                    source, new RecordHandoverRequest(votingSet, checksums, afterKey), TIMEOUT_MILLIS, reply -> {
                        final RecordHandoverResponse response =
                                reply.as(RecordHandoverResponse.class).orElse(null);
                        if (response == null || !isCurrent() || !recordHandover.mergePage(response)) {
                            failed(source, reply);
                        } else if (response.page().nextKey() == null) {
                            countSource(source, sourceEpoch);
                        } else {
                            readRecords(
                                    source,
                                    sourceEpoch,
                                    checksums,
                                    response.page().nextKey());
                        }
                    });
        }

        /** {@code sourceEpoch}: the last epoch in which the source has voted. */
        private void countSource(final NodeId source, final long sourceEpoch) {
            completed.add(source);
            hasMajority |= sourceEpoch >= epoch
                    || completed.stream().filter(previousVoters::contains).count() > previousVoters.size() / 2;
            finish();
        }

        private void finish() {
            if (isCurrent() && hasMajority) {
                writing = true;
                state.saveAll(
                        epoch,
                        recordHandover.handoverRows(),
                        this::onSynced,
                        () -> loop.schedule(RETRY_MS, () -> {
                            writing = false;
                            finish();
                        }));
            }
        }

        private void onSynced() {
            state.activate(epoch);
            recordHandover.onJoined();
            journal.add(Event.of(
                    EventCode.VOTER_JOINED,
                    "epoch",
                    epoch,
                    "items",
                    state.registers().size()));
            if (votingConfiguration.epoch() == epoch) {
                currentRead = null;
            }
            joined.run();
        }
    }
}
