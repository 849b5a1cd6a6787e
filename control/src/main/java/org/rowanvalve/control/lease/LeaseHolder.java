package org.rowanvalve.control.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
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
import org.rowanvalve.common.message.ShardDemand;
import org.rowanvalve.common.message.ShardLease;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.LeaseState;
import org.rowanvalve.common.model.LeaseTimings;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.election.Leadership;
import org.rowanvalve.control.placement.PlacementPlan;
import org.rowanvalve.control.store.ItemStore;

/**
 * A shield's leases. A lease is granted as uncertain, is held once a renewal of it is answered, and expires at the send
 * time of the last answered renewal plus D - M. Only a held lease starts fills; an uncertain or expired one still
 * serves what is cached.
 */
public final class LeaseHolder {
    private static final long RETRY_MS = 200;
    private final EventLoop loop;
    private final Transport transport;
    private final ItemStore items;
    private final LeaseTimings timings;
    private final EventJournal journal;
    private final BooleanSupplier clockSound;
    private final Supplier<List<ShardDemand>> demand;
    private final FillStopper fillStopper;
    private final Map<Integer, Lease> leases = new TreeMap<>();
    private final Map<Integer, FencingToken> highestTokens = new HashMap<>();
    private NodeId leader;
    private long term;
    private boolean placementReceived;
    private long helloSentAt;
    private long missedRenewals;

    /** One shard's lease with its fencing token and the end of its validity. */
    public static final class Lease {
        private FencingToken token;
        private LeaseState state;
        private long validUntil;
        private boolean fencing;

        public FencingToken token() {
            return token;
        }

        public LeaseState state() {
            return state;
        }
    }

    /** Stops all fills of a shard, gracefully and then forcibly; {@code done} hears whether all stopped. */
    @FunctionalInterface
    public interface FillStopper {
        void stop(int shard, long grace, Consumer<Boolean> done);
    }

    public LeaseHolder(
            final EventLoop loop,
            final Transport transport,
            final ItemStore items,
            final LeaseTimings timings,
            final EventJournal journal,
            final BooleanSupplier clockSound,
            final Supplier<List<ShardDemand>> demand,
            final FillStopper fillStopper) {
        this.demand = demand;
        this.loop = loop;
        this.transport = transport;
        this.items = items;
        this.timings = timings;
        this.journal = journal;
        this.clockSound = clockSound;
        this.fillStopper = fillStopper;
    }

    /** Begins to renew the leases, and to expire those that were not renewed in time. */
    public void start() {
        loop.scheduleRepeatedly(timings.renewIntervalMs(), this::renew);
        loop.scheduleRepeatedly(50, this::tick);
    }

    /**
     * Whether a request to an origin may be sent now under this shard's lease. Checked again right before each send.
     */
    public boolean mayFill(final int shard) {
        final Lease lease = leases.get(shard);
        return lease != null
                && lease.state == LeaseState.HELD
                && !lease.fencing
                && loop.now() < lease.validUntil
                && clockSound.getAsBoolean();
    }

    /** The fencing token of the shard's lease, or {@link FencingToken#ZERO} where there is none. */
    public FencingToken token(final int shard) {
        final Lease lease = leases.get(shard);
        return lease == null ? FencingToken.ZERO : lease.token;
    }

    /** Cached copies are served until the shard is known to be another's; only filling needs the lease. */
    public boolean mayServe(final int shard) {
        final Lease lease = leases.get(shard);
        return lease != null && lease.state != LeaseState.REVOKED;
    }

    /** How many shards may be filled now. */
    public long heldCount() {
        return leases.keySet().stream().filter(this::mayFill).count();
    }

    public Map<Integer, Lease> leases() {
        return leases;
    }

    private void tick() {
        final Leadership leadership = Leadership.of(items.get(ItemId.LEADERSHIP));
        if (leadership.term() > term) {
            term = leadership.term();
            leader = NodeId.of(leadership.leader());
            placementReceived = false;
            helloSentAt = Long.MIN_VALUE / 2;
        }
        leases.forEach((shard, lease) -> {
            if ((lease.state == LeaseState.HELD || lease.state == LeaseState.UNCERTAIN)
                    && lease.validUntil > 0
                    && loop.now() >= lease.validUntil) {
                lease.state = LeaseState.EXPIRED;
                fenceShard(shard, lease, "expired", ok -> {});
            }
        });
        if (leader != null && !placementReceived && loop.now() - helloSentAt >= 500) {
            helloSentAt = loop.now();
            transport.request(
                    leader,
                    new LeaseHelloRequest(term, reportedLeases(true)),
                    450,
                    reply -> reply.as(LeaseHelloResponse.class)
                            .filter(w -> !w.accepted() && w.term() == term)
                            .ifPresent(w -> helloSentAt = Math.min(helloSentAt, loop.now() - 450)));
        }
    }

    private List<ShardLease> reportedLeases(final boolean allStopped) {
        final List<ShardLease> list = new ArrayList<>();
        leases.forEach((shard, lease) -> {
            if (allStopped || lease.state == LeaseState.HELD || lease.state == LeaseState.UNCERTAIN) {
                list.add(new ShardLease(shard, lease.token, lease.fencing ? LeaseState.FENCING : lease.state));
            }
        });
        return list;
    }

    private void renew() {
        if (placementReceived) {
            sendRenewal(reportedLeases(false), loop.now(), demand.get());
        }
    }

    /** One renewal, retried while it fails fast; it counts as unanswered after a quarter of D. */
    private void sendRenewal(final List<ShardLease> leases, final long firstSentAt, final List<ShardDemand> demandNow) {
        final long sentAt = loop.now();
        final long sentTerm = term;
        final long remainingMs = firstSentAt + timings.leaseMs() / 4 - sentAt;
        transport.request(
                leader,
                new LeaseRenewRequest(
                        term, leases, PlacementPlan.of(items.get(ItemId.PLAN)).weightsSerial(), demandNow),
                remainingMs,
                reply -> {
                    final LeaseRenewResponse response =
                            reply.as(LeaseRenewResponse.class).orElse(null);
                    if (response != null && response.term() == sentTerm && sentTerm == term) {
                        onRenewed(sentAt, response);
                    } else if (sentTerm != term || !placementReceived) {
                        missedRenewals = 0;
                    } else if (firstSentAt + timings.leaseMs() / 4 - loop.now() > RETRY_MS) {
                        loop.schedule(RETRY_MS, () -> sendRenewal(leases, firstSentAt, demandNow));
                    } else {
                        loop.schedule(
                                Math.max(0, firstSentAt + timings.leaseMs() / 4 - loop.now()),
                                () -> onRenewalTimeout(leases, firstSentAt));
                    }
                });
    }

    private void onRenewalTimeout(final List<ShardLease> list, final long sentAt) {
        for (final ShardLease shardLease : list) {
            final Lease lease = leases.get(shardLease.shard());
            if (lease.state == LeaseState.HELD
                    && lease.token.equals(shardLease.token())
                    && lease.validUntil <= timings.validUntil(sentAt)) {
                lease.state = LeaseState.UNCERTAIN;
                journal.add(Event.of(EventCode.UNSURE, "shard", shardLease.shard(), "token", lease.token.toString()));
            }
        }
        if (++missedRenewals >= 2) {
            placementReceived = false;
        } else {
            renew();
        }
    }

    private void onRenewed(final long sentAt, final LeaseRenewResponse response) {
        missedRenewals = 0;
        if (!response.accepted()) {
            placementReceived = false;
            return;
        }
        for (final ShardLease shardLease : response.renewed()) {
            final Lease lease = leases.get(shardLease.shard());
            if (lease == null
                    || !lease.token.equals(shardLease.token())
                    || lease.fencing
                    || lease.state != LeaseState.HELD && lease.state != LeaseState.UNCERTAIN
                    || timings.validUntil(sentAt) <= loop.now()) {
                continue;
            }
            lease.validUntil = Math.max(lease.validUntil, timings.validUntil(sentAt));
            if (lease.state == LeaseState.UNCERTAIN) {
                lease.state = LeaseState.HELD;
                journal.add(Event.of(EventCode.HELD, "shard", shardLease.shard(), "token", lease.token.toString()));
            }
        }
        response.stale().forEach(shardLease -> onRevoke(shardLease, ok -> {}));
    }

    /** Takes new leases from the leader; each is uncertain until a renewal of it is answered. */
    public void onGrant(final NodeId from, final LeaseGrantRequest request, final Consumer<Message> callback) {
        if (request.term() != term || !from.equals(leader)) {
            callback.accept(new RejectedResponse("not the authority known here"));
            return;
        }
        boolean renewNow = !placementReceived;
        placementReceived = true;
        missedRenewals = 0;
        for (final ShardLease shardLease : request.leases()) {
            renewNow |= grant(shardLease);
        }
        callback.accept(new AckResponse());
        if (renewNow) {
            renew();
        }
    }

    private boolean grant(final ShardLease shardLease) {
        final FencingToken highestToken = highestTokens.getOrDefault(shardLease.shard(), FencingToken.ZERO);
        final Lease existing = leases.get(shardLease.shard());
        if (shardLease.token().isBelow(highestToken)
                || existing != null
                        && existing.state == LeaseState.REVOKED
                        && !highestToken.isBelow(shardLease.token())) {
            journal.add(Event.of(
                    EventCode.GRANT_REJECTED,
                    "shard",
                    shardLease.shard(),
                    "token",
                    shardLease.token().toString(),
                    "known",
                    highestToken.toString()));
            return false;
        }
        if (existing != null
                && existing.token.equals(shardLease.token())
                && (existing.state != LeaseState.EXPIRED || existing.fencing)) {
            return false;
        }
        final Lease lease = existing == null ? new Lease() : existing;
        final boolean stillValid =
                existing != null && existing.state == LeaseState.HELD && loop.now() < existing.validUntil;
        lease.validUntil = stillValid ? lease.validUntil : 0;
        lease.token = shardLease.token();
        lease.state = LeaseState.UNCERTAIN;
        highestTokens.put(shardLease.shard(), shardLease.token());
        leases.put(shardLease.shard(), lease);
        return true;
    }

    /** Stops the fills of the named shards; the response leaves once they have ended. */
    public void onRevoke(final NodeId from, final LeaseRevokeRequest request, final Consumer<Message> callback) {
        if (request.term() < term) {
            callback.accept(new RejectedResponse("old term"));
            return;
        }
        final List<Integer> stopped = new ArrayList<>();
        final int[] remaining = {request.leases().size()};
        final boolean[] allStopped = {true};
        for (final ShardLease shardLease : request.leases()) {
            onRevoke(shardLease, ok -> {
                allStopped[0] &= ok;
                if (ok) {
                    stopped.add(shardLease.shard());
                }
                if (--remaining[0] == 0) {
                    callback.accept(new LeaseRevokeResponse(allStopped[0], stopped));
                }
            });
        }
        if (request.leases().isEmpty()) {
            callback.accept(new LeaseRevokeResponse(true, stopped));
        }
    }

    private void onRevoke(final ShardLease shardLease, final Consumer<Boolean> callback) {
        final Lease lease = leases.get(shardLease.shard());
        if (lease == null || lease.state == LeaseState.REVOKED && !lease.fencing) {
            callback.accept(true);
        } else if (shardLease.token().isBelow(lease.token)) {
            callback.accept(false);
        } else if (lease.state == LeaseState.EXPIRED && !lease.fencing) {
            lease.state = LeaseState.REVOKED;
            callback.accept(true);
        } else {
            lease.state = LeaseState.REVOKED;
            fenceShard(shardLease.shard(), lease, "revoked", callback);
        }
    }

    private void fenceShard(final int shard, final Lease lease, final String reason, final Consumer<Boolean> callback) {
        lease.fencing = true;
        final FencingToken token = lease.token;
        fillStopper.stop(shard, timings.marginMs() / 2, ok -> {
            if (ok) {
                lease.fencing = false;
                journal.add(Event.of(EventCode.FENCED, "shard", shard, "token", token.toString(), "why", reason));
            }
            callback.accept(ok);
        });
    }

    /** After fills that could not be stopped in time: the leader declares the wait over. */
    public void onFenceAck(final FenceAckRequest request, final Consumer<Message> callback) {
        request.shards().forEach(shard -> {
            final Lease lease = leases.get(shard);
            if (lease != null && lease.state != LeaseState.HELD) {
                lease.fencing = false;
            }
        });
        callback.accept(new AckResponse());
    }

    /** After a pause of the process or with an unreliable clock, no lease held before counts any more. */
    public void dropAll() {
        placementReceived = false;
        leases.forEach((shard, lease) -> {
            if (lease.state == LeaseState.HELD || lease.state == LeaseState.UNCERTAIN) {
                lease.state = LeaseState.EXPIRED;
                fenceShard(shard, lease, "dropped", ok -> {});
            }
        });
    }
}
