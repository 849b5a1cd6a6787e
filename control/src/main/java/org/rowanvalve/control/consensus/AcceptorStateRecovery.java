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
import org.rowanvalve.common.message.RegisterPosition;
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
    /** How long an operator who vouches waits for the answer. */
    private static final long VOUCH_TIMEOUT_MILLIS = 10_000;
    /** Starts of requesters that are remembered; for one that is forgotten the floor is raised once more. */
    private static final int REMEMBERED_REQUESTERS = 64;

    private final VoterContext context;
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
    private boolean writing;
    private StateTransfer transfer;

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
        this.context = context;
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
        writing = false;
        stopTransfer();
    }

    private void stopTransfer() {
        if (transfer != null) {
            transfer.stop();
            transfer = null;
        }
    }

    void transferState(final NodeId from, final StateTransferRequest request, final Consumer<Message> callback) {
        final boolean hasState = isVoting.getAsBoolean();
        if (!hasState || !request.raiseFloor()) {
            callback.accept(summary(hasState, hasState || mayFound() ? incarnation : ""));
            return;
        }
        if (request.onlyCopy() && isFirstPage(request)) {
            state.resume();
            journal.add(Event.of(EventCode.RESUMED, "lives", state.resumptions(), "floor", state.ballotFloor()));
        }
        raiseFloorFor(from, request.incarnation());
        final RegisterTable.Page page = request.position() == null
                ? new RegisterTable.Page(List.copyOf(state.registers().values()), null)
                : state.page(request.checksums(), request.position(), true);
        final StateTransferResponse answer = stateResponse(true, incarnation, page);
        state.saveSeal(() -> callback.accept(answer));
    }

    private static boolean isFirstPage(final StateTransferRequest request) {
        return request.position() == null || request.position().equals(RegisterPosition.START);
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

    private StateTransferResponse summary(final boolean hasState, final String reportedIncarnation) {
        return stateResponse(hasState, reportedIncarnation, new RegisterTable.Page(List.of(), null));
    }

    private StateTransferResponse stateResponse(
            final boolean hasState, final String reportedIncarnation, final RegisterTable.Page page) {
        return new StateTransferResponse(
                hasState,
                reportedIncarnation,
                state.founders(),
                state.ballotFloor(),
                page.registers(),
                state.resumptions(),
                loop.now() - startedAt,
                page.next());
    }

    /** Asks all others what they hold; called repeatedly until the state is rebuilt. */
    void attempt() {
        final long requestRound = ++round;
        final Map<NodeId, StateTransferResponse> responses = new HashMap<>();
        for (final NodeId id : votingConfiguration.voters()) {
            if (!id.equals(self)) {
                transport.request(
                        id,
                        new StateTransferRequest(votingConfiguration.epoch(), incarnation, false, false),
                        SUMMARY_TIMEOUT_MILLIS,
                        reply -> {
                            votingConfiguration.isEpochMismatch(id, reply);
                            reply.as(StateTransferResponse.class).ifPresent(response -> {
                                if (!state.complete() && round == requestRound) {
                                    responses.put(id, response);
                                    evaluate(responses);
                                }
                            });
                        });
            }
        }
    }

    private void evaluate(final Map<NodeId, StateTransferResponse> responses) {
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
            copyFrom(holders, !votingConfiguration.quorum().isReadQuorum(holders));
        }
    }

    /** {@code onlyCopy}: these are no majority, and no other voter holds anything. */
    private void copyFrom(final Set<NodeId> holders, final boolean onlyCopy) {
        if (writing) {
            return;
        }
        if (transfer != null && transfer.isForOnlyCopy() != onlyCopy) {
            stopTransfer();
        }
        if (transfer == null) {
            transfer = newTransfer(onlyCopy, copied -> {
                if (votingConfiguration.quorum().isReadQuorum(copied)) {
                    rebuild();
                }
            });
        }
        transfer.addSources(holders);
        if (onlyCopy && transfer != null && transfer.copied().containsAll(holders)) {
            rebuild();
        }
    }

    private StateTransfer newTransfer(final boolean onlyCopy, final StateTransfer.Listener listener) {
        return new StateTransfer(context, state, votingConfiguration.epoch(), onlyCopy, listener);
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

    /** All that counts was copied: it is synced together with the epoch, and this voter votes. */
    private void rebuild() {
        if (writing || state.complete()) {
            return;
        }
        writing = true;
        stopTransfer();
        round++;
        final long epoch = votingConfiguration.epoch();
        state.saveAll(
                epoch,
                recordHandover.markIncomplete(),
                () -> {
                    writing = false;
                    state.activate(epoch);
                    stateRebuilt.run();
                    journal.add(Event.of(
                            EventCode.REBUILT, "items", state.registers().size(), "floor", state.ballotFloor()));
                },
                () -> writing = false);
    }

    /** An operator vouches that one voter holds all: its copy is taken without a majority. */
    void vouch(final NodeId from, final Consumer<Boolean> then) {
        final boolean[] answered = {false};
        stopTransfer();
        transfer = newTransfer(true, copied -> {
            if (!answered[0] && copied.contains(from)) {
                answered[0] = true;
                rebuild();
                then.accept(true);
            }
        });
        transfer.addSources(Set.of(from));
        loop.schedule(VOUCH_TIMEOUT_MILLIS, () -> {
            if (!answered[0]) {
                answered[0] = true;
                then.accept(state.complete());
            }
        });
    }
}
