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
 * The change from one voting set to the next. A voter of the earlier set seals it: once the chosen later set is synced,
 * it answers nothing more in the earlier epoch and hands over what it holds. A voter of the later set reads a majority
 * of the sealed earlier set, syncs all that together with the new epoch, and only then votes. A voter that is late may
 * read a single voter of its own epoch, since that one has read such a majority and nothing was promised here since.
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
    private Reading reading;

    /** {@code joined}: run once this voter votes in the present epoch. */
    AcceptorHandover(final VoterContext context, final AcceptorState state, final Runnable joined) {
        this.self = context.self();
        this.votingConfiguration = context.votingConfiguration();
        this.state = state;
        this.loop = context.loop();
        this.transport = context.transport();
        this.journal = context.journal();
        this.joined = joined;
    }

    void recordHandover(final RecordHandover store) {
        recordHandover = store;
    }

    /** Called when the voting set has changed: nothing more is answered in the earlier epoch, and that is synced. */
    void onVotingSetChange() {
        reading = null;
        seal();
    }

    private void seal() {
        votingConfiguration
                .chosenSet()
                .filter(set -> set.item().version().number() > state.sealedEpoch())
                .ifPresent(this::seal);
    }

    private void seal(final ChosenItem set) {
        state.saveVotingSet(set, this::sealed, () -> loop.schedule(RETRY_MS, this::seal));
    }

    private void sealed() {
        if (state.sealedEpoch() < votingConfiguration.epoch()) {
            return;
        }
        final List<Runnable> waiting = List.copyOf(waitingForSeal);
        waitingForSeal.clear();
        waiting.forEach(Runnable::run);
        if (reading != null) {
            reading.countOwnState();
        }
    }

    /** What this voter held when it was sealed stands for its part of the earlier set. */
    private boolean canHandOver() {
        final long present = votingConfiguration.epoch();
        return state.complete()
                && !recordHandover.isIncomplete()
                && (state.epoch() == present
                        || state.epoch() == present - 1
                                && votingConfiguration.previousVoters().contains(self));
    }

    /** The asker names the chosen set, so asking seals; the answer waits until that is synced. */
    private void whenSealed(
            final NodeId from, final ChosenItem set, final Consumer<Message> callback, final Runnable answer) {
        final long asked = set.item().version().number();
        votingConfiguration.reconcile(from, asked, set);
        final Runnable checked = () -> {
            if (votingConfiguration.epoch() != asked) {
                callback.accept(votingConfiguration.epochMismatch());
            } else if (canHandOver()) {
                answer.run();
            } else {
                callback.accept(new RejectedResponse("nothing to hand over"));
            }
        };
        if (state.sealedEpoch() >= votingConfiguration.epoch()) {
            checked.run();
        } else {
            waitingForSeal.add(checked);
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

    /** One that asks without a position gets complete buckets. */
    private RegisterHandoverResponse page(final RegisterHandoverRequest request) {
        final boolean withinBuckets = request.position() != null;
        final RegisterPosition from =
                withinBuckets ? request.position() : new RegisterPosition(request.fromBucket(), null);
        final RegisterTable.Page page = state.page(request.checksums(), from, withinBuckets);
        return new RegisterHandoverResponse(
                state.epoch(),
                state.top(),
                state.resumptions(),
                state.founders(),
                page.registers(),
                page.next() == null
                        ? RegisterHandoverResponse.LAST_PAGE
                        : page.next().bucket(),
                withinBuckets ? page.next() : null);
    }

    /** Requests what is still missing; called repeatedly until this voter votes or the set has changed once more. */
    void readPreviousSet() {
        if (reading == null || reading.epoch != votingConfiguration.epoch()) {
            reading = new Reading(votingConfiguration.chosenSet().orElseThrow());
        }
        reading.requestMissing();
    }

    /** One reading of the earlier set, for one epoch. */
    private final class Reading {
        private final ChosenItem votingSet;
        private final long epoch;
        private final List<NodeId> previousVoters = votingConfiguration.previousVoters();
        private final Set<NodeId> requested = new HashSet<>();
        private final Set<NodeId> completed = new HashSet<>();
        private boolean hasMajority;
        private boolean writing;

        Reading(final ChosenItem votingSet) {
            this.votingSet = votingSet;
            this.epoch = votingSet.item().version().number();
        }

        private boolean isCurrent() {
            return reading == this && !writing && votingConfiguration.epoch() == epoch;
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

        /** This voter's own state of the earlier epoch counts like one that was read, once it is sealed. */
        void countOwnState() {
            final boolean sealed = state.sealedEpoch() >= epoch && state.epoch() == epoch - 1;
            if (isCurrent() && sealed && previousVoters.contains(self) && canHandOver()) {
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

        /** {@code sourceEpoch}: the last epoch that the source has voted in. */
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
                reading = null;
            }
            joined.run();
        }
    }
}
