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
 * Rebuilds the state of a voter that has lost it. Such a voter answers no vote until it has copied the state of so many
 * other voters of its epoch that these form a majority.
 *
 * <p>Safety: before one of these voters sends its state, it raises its ballot floor above every ballot that it has
 * promised or accepted. An answer that the rebuilt voter gave before the loss can therefore no longer count towards a
 * quorum.
 *
 * <p>If no voter has state, the voters found a new network once no node has reported any state for a while.
 */
final class AcceptorStateRecovery {
    /** Time since its start after which a voter may found a network, or copy the only state that is left. */
    private static final long MIN_FOUNDING_AGE_MS = 1200;
    /** Time since its start after which a voter may copy the state of others. */
    private static final long MIN_COPY_AGE_MS = 700;
    /** Time since its start after which a voter may found a network with a majority, without the other voters. */
    private static final long MIN_MAJORITY_FOUNDING_AGE_MS = 2500;
    /** Timeout of a request for a summary, which contains no registers. */
    private static final long SUMMARY_TIMEOUT_MILLIS = 350;
    /** Time after which an operator's vouch request is answered even if the state is not rebuilt yet. */
    private static final long VOUCH_TIMEOUT_MILLIS = 10_000;
    /**
     * Number of requester incarnations that are remembered. For a forgotten incarnation the floor is raised once more.
     */
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
     * {@code nothingReported}: whether no node has reported any items; {@code isVoting}: whether this node votes in the
     * current epoch; {@code stateRebuilt}: runs once the state is rebuilt.
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

    void connectRecords(final RecordHandover records) {
        recordHandover = records;
    }

    void start() {
        startedAt = loop.now();
    }

    /** Called when the epoch has changed. Responses of an earlier epoch no longer count. */
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
            callback.accept(summary(hasState, hasState || mayFoundNetwork() ? incarnation : ""));
            return;
        }
        if (request.onlyCopy() && isFirstPage(request)) {
            state.countResumption();
            journal.add(Event.of(EventCode.RESUMED, "lives", state.resumptions(), "floor", state.ballotFloor()));
        }
        raiseFloorFor(from, request.incarnation());
        final RegisterTable.Page page = request.position() == null
                ? new RegisterTable.Page(List.copyOf(state.registers().values()), null)
                : state.page(request.checksums(), request.position(), true);
        final StateTransferResponse response = stateResponse(true, incarnation, page);
        state.saveSeal(() -> callback.accept(response));
    }

    private static boolean isFirstPage(final StateTransferRequest request) {
        return request.position() == null || request.position().equals(RegisterPosition.START);
    }

    /**
     * Raises the ballot floor once for each incarnation of a requester. Everything that the requester voted for before
     * its restart was promised before the first request of the new incarnation, so it lies below a floor that is raised
     * at that request. If each repeated request raised the floor again, every ballot in progress would be rejected each
     * time.
     */
    private void raiseFloorFor(final NodeId requester, final String requesterIncarnation) {
        if (fencedRequesters.size() >= REMEMBERED_REQUESTERS) {
            fencedRequesters.clear();
        }
        if (fencedRequesters.add(requester + "#" + requesterIncarnation)) {
            state.raiseBallotFloor(1 + state.highestRound());
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

    /** Requests a summary from every other voter. Called repeatedly until the state is rebuilt. */
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
        final Set<NodeId> sources = new HashSet<>();
        responses.forEach((id, response) -> {
            if (response.hasState()) {
                sources.add(id);
            }
        });
        final boolean isFoundingEpoch = votingConfiguration.epoch() == 0;
        if (isFoundingEpoch
                && responses.values().stream()
                        .anyMatch(response -> response.hasState()
                                && (state.firstStart() && !firstStart
                                        || incarnation.equals(
                                                response.founders().get(self))))) {
            responses.values().stream()
                    .filter(StateTransferResponse::hasState)
                    .findFirst()
                    .ifPresent(response -> foundNetwork(response.founders()));
        } else if (isFoundingEpoch
                && sources.isEmpty()
                && mayFoundNetwork()
                && (allOthersMayFound(responses) || isFoundingMajority(responses))) {
            final Map<NodeId, String> founders = new HashMap<>();
            responses.forEach((id, response) -> founders.put(id, response.incarnation()));
            founders.values().removeIf(String::isEmpty);
            founders.put(self, incarnation);
            foundNetwork(founders);
        } else if ((votingConfiguration.quorum().isReadQuorum(sources) || isOnlyCopy(responses, sources))
                && loop.now() - startedAt >= MIN_COPY_AGE_MS) {
            copyFrom(sources, !votingConfiguration.quorum().isReadQuorum(sources));
        }
    }

    /** {@code onlyCopy}: the sources are no majority, and no other voter has any state. */
    private void copyFrom(final Set<NodeId> sources, final boolean onlyCopy) {
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
        transfer.addSources(sources);
        if (onlyCopy && transfer != null && transfer.copied().containsAll(sources)) {
            rebuild();
        }
    }

    private StateTransfer newTransfer(final boolean onlyCopy, final StateTransfer.Listener listener) {
        return new StateTransfer(context, state, votingConfiguration.epoch(), onlyCopy, listener);
    }

    /**
     * Whether the sources have the only copies left: every other voter has responded, the voters that are no sources
     * have no state, and at least one store still has its own.
     */
    private boolean isOnlyCopy(final Map<NodeId, StateTransferResponse> responses, final Set<NodeId> sources) {
        return responses.size() == votingConfiguration.voters().size() - 1
                && votingConfiguration.quorum().stores().stream().anyMatch(sources::contains)
                && loop.now() - startedAt >= MIN_FOUNDING_AGE_MS
                && responses.values().stream()
                        .filter(StateTransferResponse::hasState)
                        .allMatch(response -> response.ageMs() >= MIN_FOUNDING_AGE_MS);
    }

    /** Whether every other voter has responded that it may found a network too. */
    private boolean allOthersMayFound(final Map<NodeId, StateTransferResponse> responses) {
        return responses.size() == votingConfiguration.voters().size() - 1
                && responses.values().stream()
                        .noneMatch(response -> response.incarnation().isEmpty());
    }

    /**
     * Whether a majority of the voters may found a network without waiting for the others. If no stores are named,
     * every voter records its first start on disk, so a majority that has not voted since its first start proves that
     * nothing was ever accepted. The majority need not wait for a voter that ended during its first start and restarted
     * without a record of it.
     */
    private boolean isFoundingMajority(final Map<NodeId, StateTransferResponse> responses) {
        return votingConfiguration.quorum().stores().isEmpty()
                && loop.now() - startedAt >= MIN_MAJORITY_FOUNDING_AGE_MS
                && 1
                                + responses.values().stream()
                                        .filter(response -> !response.hasState()
                                                && !response.incarnation().isEmpty())
                                        .count()
                        >= votingConfiguration.quorum().majority();
    }

    /**
     * Whether this voter may found a network: it has not voted since its first start, and it has waited for a while in
     * which no node has reported any items.
     */
    private boolean mayFoundNetwork() {
        return (firstStart || state.firstStart())
                && loop.now() - startedAt >= MIN_FOUNDING_AGE_MS
                && nothingReported.getAsBoolean();
    }

    private void foundNetwork(final Map<NodeId, String> founders) {
        if (founding) {
            return;
        }
        founding = true;
        state.setFounders(founders);
        state.saveSeal(() -> {
            state.activate(0);
            journal.add(Event.of(EventCode.FOUNDED, "electors", state.founders().size()));
        });
    }

    /** Saves the copied state together with the epoch. Once both are synced, this voter votes. */
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

    /**
     * Rebuilds the state from a single voter, without a majority, after an operator has vouched that this voter's state
     * is complete.
     */
    void vouch(final NodeId from, final Consumer<Boolean> callback) {
        final boolean[] answered = {false};
        stopTransfer();
        transfer = newTransfer(true, copied -> {
            if (!answered[0] && copied.contains(from)) {
                answered[0] = true;
                rebuild();
                callback.accept(true);
            }
        });
        transfer.addSources(Set.of(from));
        loop.schedule(VOUCH_TIMEOUT_MILLIS, () -> {
            if (!answered[0]) {
                answered[0] = true;
                callback.accept(state.complete());
            }
        });
    }
}
