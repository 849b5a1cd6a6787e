package org.rowanvalve.control.consensus;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.Register;
import org.rowanvalve.common.message.StateTransferRequest;
import org.rowanvalve.common.message.StateTransferResponse;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.voting.VotingConfiguration;

/**
 * Rebuilds the state of a voter that lost it. Such a voter answers no vote until it has read a majority of the others
 * of its epoch, each of which first raises its ballot floor above all it has promised: an answer given before the loss
 * can then no longer count. Where no voter has state, they found a new network, once nobody has reported any for a
 * while.
 */
final class AcceptorStateRecovery {
    private static final long FOUNDING_QUIET_MS = 1200;
    private static final long MIN_AGE_MS = 700;
    private static final long FOUNDING_PATIENCE_MS = 2500;
    /** Time-out of a request for a summary, without registers. */
    private static final long SUMMARY_TIMEOUT_MILLIS = 350;
    /** First time-out of a request for all registers; it doubles with each attempt up to the longest. */
    private static final long FIRST_TRANSFER_TIMEOUT_MILLIS = 500;

    private static final long LONGEST_TRANSFER_TIMEOUT_MILLIS = 8000;
    /** Starts of requesters that are remembered; for one that is forgotten the floor is raised once more. */
    private static final int REMEMBERED_REQUESTERS = 64;

    private final NodeId self;
    private final VotingConfiguration votingConfiguration;
    private final AcceptorState state;
    private final EventLoop loop;
    private final Transport transport;
    private final EventJournal journal;
    private final String incarnation;
    private final boolean firstStart;
    private final BooleanSupplier nothingReported;
    private final BooleanSupplier isVoting;
    private final Runnable stateRebuilt;
    private RecordHandover recordHandover = RecordHandover.NONE;
    private final Set<String> fencedRequesters = new HashSet<>();
    private boolean founding;
    private long round;
    private long startedAt;
    private long readingUntil = Long.MIN_VALUE;
    private long transferTimeoutMs = FIRST_TRANSFER_TIMEOUT_MILLIS;

    /**
     * {@code isVoting}: whether this voter votes in the present epoch; {@code stateRebuilt}: run once its state is
     * rebuilt.
     */
    AcceptorStateRecovery(
            final VoterContext context,
            final AcceptorState state,
            final boolean firstStart,
            final BooleanSupplier nothingReported,
            final BooleanSupplier isVoting,
            final Runnable stateRebuilt) {
        this.self = context.self();
        this.votingConfiguration = context.votingConfiguration();
        this.state = state;
        this.loop = context.loop();
        this.transport = context.transport();
        this.journal = context.journal();
        this.incarnation = context.incarnation();
        this.firstStart = firstStart;
        this.nothingReported = nothingReported;
        this.isVoting = isVoting;
        this.stateRebuilt = stateRebuilt;
    }

    void recordHandover(final RecordHandover store) {
        recordHandover = store;
    }

    void start() {
        startedAt = loop.now();
    }

    /** Called when the epoch has changed: answers of an earlier one no longer count. */
    void onVotingSetChange() {
        round++;
        readingUntil = Long.MIN_VALUE;
    }

    void transferState(final NodeId from, final StateTransferRequest request, final Consumer<Message> callback) {
        final boolean hasState = isVoting.getAsBoolean();
        if (!hasState || !request.raiseFloor()) {
            callback.accept(stateResponse(hasState, hasState || mayFound() ? incarnation : "", List.of()));
            return;
        }
        if (request.onlyCopy()) {
            state.resume();
            journal.add(Event.of(EventCode.RESUMED, "lives", state.resumptions(), "floor", state.ballotFloor()));
        }
        raiseFloorFor(from, request.incarnation());
        final List<Register> all = List.copyOf(state.registers().values());
        final StateTransferResponse answer = stateResponse(true, incarnation, all);
        state.saveSeal(() -> callback.accept(answer));
    }

    /**
     * Whatever the requester voted for before its restart was promised before its first request, so it lies below a
     * floor raised then. Raising the floor for each repeated request would refuse every ballot under way, again and
     * again.
     */
    private void raiseFloorFor(final NodeId asker, final String requesterIncarnation) {
        if (fencedRequesters.size() >= REMEMBERED_REQUESTERS) {
            fencedRequesters.clear();
        }
        if (fencedRequesters.add(asker + "#" + requesterIncarnation)) {
            state.raise(1 + state.top());
        }
    }

    private StateTransferResponse stateResponse(
            final boolean hasState, final String reportedIncarnation, final List<Register> registers) {
        return new StateTransferResponse(
                hasState,
                reportedIncarnation,
                state.founders(),
                state.ballotFloor(),
                registers,
                state.resumptions(),
                loop.now() - startedAt);
    }

    void attempt() {
        if (loop.now() >= readingUntil) {
            requestState(false, false, ++round);
        }
    }

    private void requestState(final boolean raiseFloor, final boolean onlyCopy, final long requestRound) {
        final Map<NodeId, StateTransferResponse> responses = new HashMap<>();
        final long timeoutMs = raiseFloor ? transferTimeoutMs : SUMMARY_TIMEOUT_MILLIS;
        if (raiseFloor) {
            readingUntil = loop.now() + timeoutMs;
            transferTimeoutMs = Math.min(LONGEST_TRANSFER_TIMEOUT_MILLIS, 2 * transferTimeoutMs);
        }
        for (final NodeId id : votingConfiguration.voters()) {
            if (!id.equals(self)) {
                transport.request(
                        id,
                        new StateTransferRequest(votingConfiguration.epoch(), incarnation, raiseFloor, onlyCopy),
                        timeoutMs,
                        reply -> {
                            votingConfiguration.isEpochMismatch(id, reply);
                            reply.as(StateTransferResponse.class).ifPresent(response -> {
                                if (!state.complete() && round == requestRound) {
                                    responses.put(id, response);
                                    evaluate(responses, raiseFloor, requestRound);
                                }
                            });
                        });
            }
        }
    }

    private void evaluate(
            final Map<NodeId, StateTransferResponse> responses, final boolean raiseFloor, final long requestRound) {
        final Set<NodeId> holders = new HashSet<>();
        responses.forEach((id, response) -> {
            if (response.hasState()) {
                holders.add(id);
            }
        });
        final boolean founding = votingConfiguration.epoch() == 0;
        if (founding
                && responses.values().stream()
                        .anyMatch(response -> response.hasState()
                                && (state.firstStart() && !firstStart
                                        || incarnation.equals(
                                                response.founders().get(self))))) {
            responses.values().stream()
                    .filter(StateTransferResponse::hasState)
                    .findFirst()
                    .ifPresent(response -> found(response.founders()));
        } else if (founding
                && holders.isEmpty()
                && mayFound()
                && (unanimous(responses) || isFoundingMajority(responses))) {
            final Map<NodeId, String> all = new HashMap<>();
            responses.forEach((id, response) -> all.put(id, response.incarnation()));
            all.values().removeIf(String::isEmpty);
            all.put(self, incarnation);
            found(all);
        } else if ((votingConfiguration.quorum().isReadQuorum(holders) || isOnlyCopy(responses, holders))
                && loop.now() - startedAt >= MIN_AGE_MS) {
            if (raiseFloor) {
                rebuild(responses);
            } else {
                round = requestRound + 1;
                requestState(true, !votingConfiguration.quorum().isReadQuorum(holders), round);
            }
        }
    }

    /**
     * Whether this is the only copy: every other voter answered, those without state hold nothing, and a store has its
     * own.
     */
    private boolean isOnlyCopy(final Map<NodeId, StateTransferResponse> responses, final Set<NodeId> holders) {
        return responses.size() == votingConfiguration.voters().size() - 1
                && votingConfiguration.quorum().stores().stream().anyMatch(holders::contains)
                && loop.now() - startedAt >= FOUNDING_QUIET_MS
                && responses.values().stream()
                        .filter(StateTransferResponse::hasState)
                        .allMatch(response -> response.ageMs() >= FOUNDING_QUIET_MS);
    }

    /** Every other voter has answered that it is willing too. */
    private boolean unanimous(final Map<NodeId, StateTransferResponse> responses) {
        return responses.size() == votingConfiguration.voters().size() - 1
                && responses.values().stream()
                        .noneMatch(response -> response.incarnation().isEmpty());
    }

    /**
     * Where starts can be distinguished, a majority in its first start that never voted proves that nothing was ever
     * accepted: it need not wait for a voter that ended during its first start and came back without a record of it.
     */
    private boolean isFoundingMajority(final Map<NodeId, StateTransferResponse> responses) {
        return votingConfiguration.quorum().stores().isEmpty()
                && loop.now() - startedAt >= FOUNDING_PATIENCE_MS
                && 1
                                + responses.values().stream()
                                        .filter(response -> !response.hasState()
                                                && !response.incarnation().isEmpty())
                                        .count()
                        >= votingConfiguration.quorum().majority();
    }

    /** A network is founded only after a while in which no node has said that it holds anything. */
    private boolean mayFound() {
        return (firstStart || state.firstStart())
                && loop.now() - startedAt >= FOUNDING_QUIET_MS
                && nothingReported.getAsBoolean();
    }

    private void found(final Map<NodeId, String> all) {
        if (founding) {
            return;
        }
        founding = true;
        state.found(all);
        state.saveSeal(() -> {
            state.activate(0);
            journal.add(Event.of(EventCode.FOUNDED, "electors", state.founders().size()));
        });
    }

    private void rebuild(final Map<NodeId, StateTransferResponse> responses) {
        round++;
        responses.values().stream().filter(StateTransferResponse::hasState).forEach(response -> {
            state.adopt(response.founders(), response.ballotFloor(), response.resumptions());
            response.registers().forEach(state::merge);
        });
        final long epoch = votingConfiguration.epoch();
        state.saveAll(
                epoch,
                recordHandover.markIncomplete(),
                () -> {
                    state.activate(epoch);
                    stateRebuilt.run();
                    journal.add(Event.of(
                            EventCode.REBUILT, "items", state.registers().size(), "floor", state.ballotFloor()));
                },
                () -> {});
    }

    /** An operator vouches that one voter holds all: its copy is taken without a majority. */
    void vouch(final NodeId from, final Consumer<Boolean> then) {
        transport.request(
                from, new StateTransferRequest(votingConfiguration.epoch(), incarnation, true, true), 2000, reply -> {
                    final StateTransferResponse response = reply.as(StateTransferResponse.class)
                            .filter(StateTransferResponse::hasState)
                            .orElse(null);
                    if (response != null && !state.complete()) {
                        rebuild(Map.of(from, response));
                    }
                    then.accept(response != null);
                });
    }
}
