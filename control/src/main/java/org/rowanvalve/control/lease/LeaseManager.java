package org.rowanvalve.control.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.AckResponse;
import org.rowanvalve.common.message.FenceAckRequest;
import org.rowanvalve.common.message.LeaseGrantRequest;
import org.rowanvalve.common.message.LeaseHelloRequest;
import org.rowanvalve.common.message.LeaseHelloResponse;
import org.rowanvalve.common.message.LeaseRenewRequest;
import org.rowanvalve.common.message.LeaseRenewResponse;
import org.rowanvalve.common.message.LeaseRevokeRequest;
import org.rowanvalve.common.message.LeaseRevokeResponse;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.RejectedResponse;
import org.rowanvalve.common.message.ShardLease;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.LeaseState;
import org.rowanvalve.common.model.LeaseTimings;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.NodeStatus;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.consensus.Proposer;
import org.rowanvalve.control.election.LeaderElection;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.membership.Membership;
import org.rowanvalve.control.placement.OwnerSelector;
import org.rowanvalve.control.placement.PlacementPlan;
import org.rowanvalve.control.placement.RateShareBalancer;
import org.rowanvalve.control.placement.Regions;

/**
 * Places shards on shields and grants their leases; runs at the leader. A shard is granted to another shield only after
 * the earlier holder has stopped all fills of the shard, or D + 2M after the leader last granted or renewed the lease
 * of that holder. By then the lease has expired at the holder, which counts its validity from the earlier send time of
 * the renewal and shortens it by M.
 */
public final class LeaseManager {
    /**
     * Time for which a node is alive before it is preferred as an owner, and the minimum time between voluntary moves.
     */
    private static final long SETTLE_MS = 3000;
    /** Wait at the start of a term before the very first plan is written, so that it covers more shields. */
    private static final long FIRST_PLAN_DELAY_MS = 1500;

    private static final long REQUEST_TIMEOUT_MILLIS = 450;
    /** Time beyond M that a shield gets to answer a revocation. */
    private static final long REVOCATION_SLACK_MS = 500;

    private final EventLoop loop;
    private final Transport transport;
    private final Proposer proposer;
    private final Membership membership;
    private final LeaseTimings timings;
    private final EventJournal journal;
    private final int shards;
    private final Predicate<NodeId> clockSound;
    private final OwnerSelector ownerSelector;
    private final RateShareBalancer rateShares = new RateShareBalancer();
    private final Map<Integer, ShardState> shardStates = new TreeMap<>();
    private final Map<NodeId, Set<Integer>> pendingFenceAcks = new HashMap<>();
    private final Set<NodeId> reportedNodes = new HashSet<>();
    private LeaderElection election;
    private PlacementPlan plan;
    private Version planVersion = Version.ZERO;
    private long lastPossibleGrant;
    private long termStartedAt;
    private long lastMoveAt;
    private boolean planLoaded;
    private boolean writing;
    private boolean grantsUnknown;

    private static final class ShardState {
        private long grantedAt;
        private long renewedAt;
        private boolean moving;
        private boolean revokeSent;
        private boolean released;
    }

    public LeaseManager(
            final EventLoop loop,
            final Transport transport,
            final Proposer proposer,
            final Membership membership,
            final LeaseTimings timings,
            final EventJournal journal,
            final int shards,
            final Predicate<NodeId> clockSound,
            final Regions regions) {
        this.ownerSelector = new OwnerSelector(regions, membership);
        this.loop = loop;
        this.transport = transport;
        this.proposer = proposer;
        this.membership = membership;
        this.timings = timings;
        this.journal = journal;
        this.shards = shards;
        this.clockSound = clockSound;
    }

    public void start(final LeaderElection leaderElection) {
        election = leaderElection;
        loop.scheduleRepeatedly(100, this::tick);
    }

    /**
     * Starts a term. The argument lastGrant is the latest time, on this node's clock, at which an earlier leader may have
     * granted a lease. The argument earlierGrantsUnknown is true if earlier leaders may have granted leases that are not in
     * the plan read here.
     */
    public void onElected(final long term, final long lastGrant, final boolean earlierGrantsUnknown) {
        grantsUnknown = earlierGrantsUnknown;
        shardStates.clear();
        pendingFenceAcks.clear();
        reportedNodes.clear();
        rateShares.clear(loop.now());
        lastPossibleGrant = lastGrant;
        termStartedAt = loop.now();
        planLoaded = false;
        writing = false;
        loadPlan();
    }

    /**
     * Reads the plan and writes it again as the first plan of the term. The new version makes a delayed write of an
     * earlier term fail.
     */
    private void loadPlan() {
        writing = true;
        final long term = election.term();
        final String writeId = "load-" + term + "-" + loop.now();
        proposer.propose(
                ItemId.PLAN,
                writeId,
                1000,
                currentItem -> {
                    final PlacementPlan current = PlacementPlan.of(currentItem);
                    return current.term() > term
                            ? Optional.empty()
                            : Optional.of(currentItem.successor(Json.write(current.of(term)), writeId));
                },
                result -> {
                    if (term != election.term()) {
                        return;
                    }
                    writing = false;
                    if (result.isAccepted()) {
                        plan = PlacementPlan.of(result.item());
                        planVersion = result.item().version();
                        for (int shard = 0; shard < shards; shard++) {
                            shardStates.computeIfAbsent(shard, k -> {
                                final ShardState state = new ShardState();
                                state.grantedAt = lastPossibleGrant;
                                return state;
                            });
                        }
                        planLoaded = true;
                    }
                });
    }

    private void tick() {
        if (!election.isLeader() || writing) {
            return;
        }
        if (!planLoaded) {
            loadPlan();
            return;
        }
        final List<NodeId> available = membership.liveMembers(Role.SHIELD).stream()
                .filter(member -> member.status() != NodeStatus.DRAINING && member.status() != NodeStatus.UNREADY)
                .map(Member::id)
                .filter(clockSound)
                .toList();
        if (available.isEmpty() || plan.assignments().isEmpty() && loop.now() - termStartedAt < FIRST_PLAN_DELAY_MS) {
            return;
        }
        if (grantsUnknown && !resolveUnknownGrants()) {
            return;
        }
        final List<NodeId> settled = available.stream()
                .filter(node -> membership.knownForMs(node) >= SETTLE_MS
                        || plan.assignments().isEmpty())
                .toList();
        final Map<Integer, NodeId> moves = new TreeMap<>();
        final Map<NodeId, List<ShardLease>> revokes = new TreeMap<>();
        for (int shard = 0; shard < shards; shard++) {
            planShard(shard, available, settled.isEmpty() ? available : settled, moves, revokes);
        }
        revokes.forEach(this::sendRevocations);
        if (moves.isEmpty()) {
            resendPlacements(available);
            rateShares.nextPlan(plan, shards, loop.now()).ifPresent(nextPlan -> writePlan(nextPlan, Map.of()));
        } else {
            movePlan(moves);
        }
    }

    /**
     * Returns whether shards may be placed after a recovery from the only remaining copy of the state. Leases that are
     * unknown here may be valid until D + 2M after the last possible grant, or until all owners in the plan have
     * reported theirs.
     */
    private boolean resolveUnknownGrants() {
        if (loop.now() < timings.regrantTime(lastPossibleGrant)
                && !plan.assignments().stream().allMatch(assignment -> reportedNodes.contains(assignment.ownerId()))) {
            return false;
        }
        grantsUnknown = false;
        shardStates.values().forEach(state -> state.released = true);
        return true;
    }

    private void planShard(
            final int shard,
            final List<NodeId> available,
            final List<NodeId> settled,
            final Map<Integer, NodeId> moves,
            final Map<NodeId, List<ShardLease>> revokes) {
        final ShardState state = shardStates.get(shard);
        final PlacementPlan.Assignment assignment =
                shard < plan.assignments().size() ? plan.assignments().get(shard) : null;
        final NodeId currentOwner = assignment == null ? null : assignment.ownerId();
        final NodeId wantedOwner = ownerSelector.select(shard, currentOwner, available, settled);
        if (assignment == null || state.released) {
            moves.put(shard, wantedOwner);
            return;
        }
        final NodeId owner = assignment.ownerId();
        if (!available.contains(owner)) {
            state.moving = true;
            final Member member = membership.get(owner);
            if (member != null && member.status() == NodeStatus.DRAINING && membership.isAlive(owner)) {
                addRevocation(shard, state, assignment, revokes);
            }
            if (loop.now() >= timings.regrantTime(state.grantedAt)) {
                state.released = true;
                pendingFenceAcks.computeIfAbsent(owner, k -> new HashSet<>()).add(shard);
                moves.put(shard, wantedOwner);
            }
        } else if (!wantedOwner.equals(owner) && (state.revokeSent || loop.now() - lastMoveAt >= SETTLE_MS)) {
            state.moving = true;
            addRevocation(shard, state, assignment, revokes);
        } else if (state.moving && !state.revokeSent) {
            state.moving = false;
        }
    }

    private void addRevocation(
            final int shard,
            final ShardState state,
            final PlacementPlan.Assignment assignment,
            final Map<NodeId, List<ShardLease>> revokes) {
        if (!state.revokeSent) {
            state.revokeSent = true;
            revokes.computeIfAbsent(assignment.ownerId(), k -> new ArrayList<>())
                    .add(new ShardLease(shard, assignment.token(), LeaseState.REVOKED));
        }
    }

    private void sendRevocations(final NodeId owner, final List<ShardLease> leases) {
        final long term = election.term();
        transport.request(
                owner, new LeaseRevokeRequest(term, leases), timings.marginMs() + REVOCATION_SLACK_MS, reply -> {
                    if (election.term() != term || !planLoaded) {
                        return;
                    }
                    final Set<Integer> stopped = new HashSet<>();
                    reply.as(LeaseRevokeResponse.class).ifPresent(response -> stopped.addAll(response.stoppedShards()));
                    for (final ShardLease lease : leases) {
                        final ShardState state = shardStates.get(lease.shard());
                        if (plan.assignments().get(lease.shard()).token().equals(lease.token())) {
                            state.released |= stopped.contains(lease.shard());
                            state.revokeSent = state.released;
                        }
                    }
                });
    }

    private void movePlan(final Map<Integer, NodeId> moves) {
        writePlan(plan.withMoves(election.term(), moves, shards), moves);
    }

    private void writePlan(final PlacementPlan nextPlan, final Map<Integer, NodeId> moves) {
        writing = true;
        final long term = election.term();
        final Version expectedVersion = planVersion;
        final String writeId = "plan-" + term + "-" + nextPlan.epoch() + "-" + loop.now();
        proposer.propose(
                ItemId.PLAN,
                writeId,
                1000,
                current -> current.version().equals(expectedVersion)
                        ? Optional.of(current.successor(Json.write(nextPlan), writeId))
                        : Optional.empty(),
                result -> {
                    if (election.term() != term) {
                        return;
                    }
                    writing = false;
                    if (!result.isAccepted()) {
                        planLoaded = false;
                        return;
                    }
                    plan = nextPlan;
                    planVersion = result.item().version();
                    lastMoveAt = moves.isEmpty() ? lastMoveAt : loop.now();
                    journal.add(
                            Event.of(EventCode.PLAN_SET, "epoch", plan.epoch(), "term", term, "moves", moves.size()));
                    moves.forEach((shard, node) -> shardStates.put(shard, new ShardState()));
                    moves.values().stream().distinct().forEach(this::sendPlacement);
                });
    }

    private void resendPlacements(final List<NodeId> available) {
        final Set<NodeId> unrenewed = new HashSet<>();
        for (int shard = 0; shard < shards; shard++) {
            final ShardState state = shardStates.get(shard);
            final NodeId owner = plan.assignments().get(shard).ownerId();
            if (!state.moving
                    && available.contains(owner)
                    && membership.silenceMs(owner) < 600
                    && loop.now() - state.renewedAt > timings.leaseMs() / 2
                    && loop.now() - state.grantedAt > 500) {
                unrenewed.add(owner);
            }
        }
        unrenewed.forEach(this::sendPlacement);
    }

    private List<ShardLease> grantsFor(final NodeId node) {
        final List<ShardLease> leases = new ArrayList<>();
        for (int shard = 0; shard < plan.assignments().size(); shard++) {
            final ShardState state = shardStates.get(shard);
            if (plan.assignments().get(shard).ownerId().equals(node) && !state.moving && !state.released) {
                state.grantedAt = loop.now();
                leases.add(new ShardLease(shard, plan.assignments().get(shard).token(), LeaseState.GRANTED));
            }
        }
        return leases;
    }

    private void sendPlacement(final NodeId node) {
        if (election.isLeader() && planLoaded && !grantsUnknown && reportedNodes.contains(node)) {
            final List<ShardLease> leases = grantsFor(node);
            journal.add(
                    Event.of(EventCode.GRANTED, "node", node.text(), "shards", leases.size(), "epoch", plan.epoch()));
            transport.request(
                    node,
                    new LeaseGrantRequest(election.term(), plan.epoch(), leases),
                    REQUEST_TIMEOUT_MILLIS,
                    reply -> {});
        }
    }

    /**
     * Handles the leases that a shield reports when it meets a new leader or has lost contact. The shield is sent
     * revocations of stale leases first, then fence acknowledgements, and then its complete placement.
     */
    public void onHello(final NodeId from, final LeaseHelloRequest request, final Consumer<Message> callback) {
        final boolean accepted = election.isLeader() && planLoaded && request.term() == election.term();
        callback.accept(new LeaseHelloResponse(accepted, election.term()));
        if (!accepted) {
            return;
        }
        final long term = election.term();
        request.leases().stream()
                .filter(lease -> lease.state() == LeaseState.REVOKED && matchesPlan(from, lease))
                .forEach(lease -> shardStates.get(lease.shard()).released = true);
        final List<ShardLease> stale = request.leases().stream()
                .filter(lease -> !matchesPlan(from, lease) && lease.state() != LeaseState.REVOKED)
                .toList();
        final Runnable sendOwnPlacement = () -> {
            if (election.term() == term) {
                reportedNodes.add(from);
                sendPlacement(from);
            }
        };
        final Runnable sendAcknowledgements = () -> {
            final Set<Integer> pendingAcks = pendingFenceAcks.getOrDefault(from, Set.of());
            if (pendingAcks.isEmpty()) {
                sendOwnPlacement.run();
            } else {
                transport.request(
                        from,
                        new FenceAckRequest(term, List.copyOf(pendingAcks)),
                        REQUEST_TIMEOUT_MILLIS,
                        reply -> reply.as(AckResponse.class).ifPresent(response -> {
                            pendingFenceAcks.remove(from);
                            sendOwnPlacement.run();
                        }));
            }
        };
        if (stale.isEmpty()) {
            sendAcknowledgements.run();
        } else {
            transport.request(
                    from,
                    new LeaseRevokeRequest(term, stale),
                    timings.marginMs() + REVOCATION_SLACK_MS,
                    reply -> reply.as(LeaseRevokeResponse.class).ifPresent(response -> sendAcknowledgements.run()));
        }
    }

    private boolean matchesPlan(final NodeId from, final ShardLease lease) {
        if (grantsUnknown || lease.shard() >= plan.assignments().size()) {
            return false;
        }
        final PlacementPlan.Assignment assignment = plan.assignments().get(lease.shard());
        return assignment.ownerId().equals(from)
                && assignment.token().equals(lease.token())
                && !shardStates.get(lease.shard()).released;
    }

    /** Renews the leases that match the plan, unless the shard is moving or the holder's clock is unreliable. */
    public void onRenew(final NodeId from, final LeaseRenewRequest request, final Consumer<Message> callback) {
        if (election.isUncertain() && request.term() == election.term()) {
            callback.accept(new RejectedResponse("tenure unsure"));
            return;
        }
        if (!election.isLeader() || !planLoaded || request.term() != election.term()) {
            callback.accept(new LeaseRenewResponse(request.term(), false, List.of(), List.of()));
            return;
        }
        rateShares.onRenewal(from, request);
        final List<ShardLease> renewed = new ArrayList<>();
        final List<ShardLease> stale = new ArrayList<>();
        for (final ShardLease lease : request.leases()) {
            if (!matchesPlan(from, lease)) {
                stale.add(lease);
            } else if (!shardStates.get(lease.shard()).moving && clockSound.test(from)) {
                final ShardState state = shardStates.get(lease.shard());
                state.grantedAt = loop.now();
                state.renewedAt = loop.now();
                renewed.add(lease);
            }
        }
        callback.accept(new LeaseRenewResponse(election.term(), true, renewed, stale));
    }
}
