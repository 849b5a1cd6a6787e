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
 * The leases of a shield, one for each shard that it owns. A granted lease is uncertain until the leader answers a
 * renewal of it; then it is held. A lease expires at the send time of the last answered renewal plus D - M. New fills
 * start only under a held lease. Cached responses are also served under an uncertain or expired lease.
 *
 * <p>A lease ends in one of two ways. If the leader revokes it, for a planned move, this node itself gives the word that it
 * sends nothing more, and requests that origins work on are left to end. If it expires, or is dropped after a pause, the
 * next holder may start without any word from here; the requests are then ended within M, gracefully and then forcibly.
 */
public final class LeaseHolder {
    private static final long CHECK_INTERVAL_MS = 50;
    private static final long RENEWAL_RETRY_MS = 200;
    private static final long HELLO_INTERVAL_MS = 500;
    private static final long HELLO_TIMEOUT_MILLIS = 450;
    /** Delay before a hello is repeated after the leader of the same term has refused it. */
    private static final long HELLO_RETRY_MS = 50;

    private static final int MISSED_RENEWALS_BEFORE_HELLO = 2;
    /** A send time before all others; subtracting it from the current time does not overflow. */
    private static final long NEVER = Long.MIN_VALUE / 2;

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

    /** The lease of one shard, with its fencing token and the end of its validity. */
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

    /** Ends the fills of shards whose leases this node no longer holds. */
    @FunctionalInterface
    public interface FillStopper {
        /**
         * Stops all fills of a shard. Fills that have not ended after {@code graceMs} are aborted; {@code done} then gets
         * whether all fills have stopped.
         */
        void stop(int shard, FenceReason reason, long graceMs, Consumer<Boolean> done);

        /** Gives up the fills of a shard that have not been sent to an origin; those that have been sent go on. */
        default void giveUpUnsent(final int shard) {}
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

    /** Starts the periodic renewal of the leases and the check that expires leases not renewed in time. */
    public void start() {
        loop.scheduleRepeatedly(timings.renewIntervalMs(), this::renew);
        loop.scheduleRepeatedly(CHECK_INTERVAL_MS, this::tick);
    }

    /**
     * Whether the lease of this shard allows a request to be sent to an origin now. Callers check this again
     * immediately before each send.
     */
    public boolean mayFill(final int shard) {
        final Lease lease = leases.get(shard);
        return lease != null
                && lease.state == LeaseState.HELD
                && !lease.fencing
                && loop.now() < lease.validUntil
                && clockSound.getAsBoolean();
    }

    /** The fencing token of the shard's lease, or {@link FencingToken#ZERO} if there is no lease. */
    public FencingToken token(final int shard) {
        final Lease lease = leases.get(shard);
        return lease == null ? FencingToken.ZERO : lease.token;
    }

    /**
     * Whether cached responses of the shard may be served: until this node knows that the shard has another owner. Only
     * fills require a held lease.
     */
    public boolean mayServe(final int shard) {
        final Lease lease = leases.get(shard);
        return lease != null && lease.state != LeaseState.REVOKED;
    }

    /** The number of shards for which fills may start now. */
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
            helloSentAt = NEVER;
        }
        leases.forEach((shard, lease) -> {
            if ((lease.state == LeaseState.HELD || lease.state == LeaseState.UNCERTAIN)
                    && lease.validUntil > 0
                    && loop.now() >= lease.validUntil) {
                lease.state = LeaseState.EXPIRED;
                fenceShard(shard, lease, FenceReason.EXPIRED, stopped -> {});
            }
        });
        if (leader != null && !placementReceived && loop.now() - helloSentAt >= HELLO_INTERVAL_MS) {
            helloSentAt = loop.now();
            transport.request(
                    leader,
                    new LeaseHelloRequest(term, reportedLeases(true)),
                    HELLO_TIMEOUT_MILLIS,
                    reply -> reply.as(LeaseHelloResponse.class)
                            .filter(response -> !response.accepted() && response.term() == term)
                            .ifPresent(response -> helloSentAt =
                                    Math.min(helloSentAt, loop.now() - HELLO_INTERVAL_MS + HELLO_RETRY_MS)));
        }
    }

    private List<ShardLease> reportedLeases(final boolean includeInactive) {
        final List<ShardLease> reported = new ArrayList<>();
        leases.forEach((shard, lease) -> {
            if (includeInactive || lease.state == LeaseState.HELD || lease.state == LeaseState.UNCERTAIN) {
                reported.add(new ShardLease(shard, lease.token, lease.fencing ? LeaseState.FENCING : lease.state));
            }
        });
        return reported;
    }

    private void renew() {
        if (placementReceived) {
            sendRenewal(reportedLeases(false), loop.now(), demand.get());
        }
    }

    /**
     * Sends one renewal. A renewal that fails early is sent again after {@link #RENEWAL_RETRY_MS}; the renewal counts
     * as missed if no attempt is answered within a quarter of D.
     */
    private void sendRenewal(
            final List<ShardLease> reported, final long firstSentAt, final List<ShardDemand> currentDemand) {
        final long sentAt = loop.now();
        final long sentTerm = term;
        final long remainingMs = firstSentAt + timings.leaseMs() / 4 - sentAt;
        transport.request(
                leader,
                new LeaseRenewRequest(
                        term, reported, PlacementPlan.of(items.get(ItemId.PLAN)).weightsSerial(), currentDemand),
                remainingMs,
                reply -> {
                    final LeaseRenewResponse response =
                            reply.as(LeaseRenewResponse.class).orElse(null);
                    if (response != null && response.term() == sentTerm && sentTerm == term) {
                        onRenewed(sentAt, response);
                    } else if (sentTerm != term || !placementReceived) {
                        missedRenewals = 0;
                    } else if (firstSentAt + timings.leaseMs() / 4 - loop.now() > RENEWAL_RETRY_MS) {
                        loop.schedule(RENEWAL_RETRY_MS, () -> sendRenewal(reported, firstSentAt, currentDemand));
                    } else {
                        loop.schedule(
                                Math.max(0, firstSentAt + timings.leaseMs() / 4 - loop.now()),
                                () -> onRenewalTimeout(reported, firstSentAt));
                    }
                });
    }

    private void onRenewalTimeout(final List<ShardLease> reported, final long sentAt) {
        for (final ShardLease shardLease : reported) {
            final Lease lease = leases.get(shardLease.shard());
            if (lease.state == LeaseState.HELD
                    && lease.token.equals(shardLease.token())
                    && lease.validUntil <= timings.validUntil(sentAt)) {
                lease.state = LeaseState.UNCERTAIN;
                journal.add(Event.of(EventCode.UNSURE, "shard", shardLease.shard(), "token", lease.token.toString()));
            }
        }
        if (++missedRenewals >= MISSED_RENEWALS_BEFORE_HELLO) {
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
        response.stale().forEach(shardLease -> onRevoke(shardLease, stopped -> {}));
    }

    /** Accepts leases from the leader. A new lease is uncertain until the leader answers a renewal of it. */
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

    /**
     * Revokes the given leases. No fill of their shards is sent from then on, which is what the response tells. Fills that
     * origins already work on go on: breaking them off would undo no execution, and the next holder neither repeats nor
     * needs them.
     */
    public void onRevoke(final NodeId from, final LeaseRevokeRequest request, final Consumer<Message> callback) {
        if (request.term() < term) {
            callback.accept(new RejectedResponse("old term"));
            return;
        }
        final List<Integer> stoppedShards = new ArrayList<>();
        final int[] remaining = {request.leases().size()};
        final boolean[] allStopped = {true};
        for (final ShardLease shardLease : request.leases()) {
            onRevoke(shardLease, stopped -> {
                allStopped[0] &= stopped;
                if (stopped) {
                    stoppedShards.add(shardLease.shard());
                }
                if (--remaining[0] == 0) {
                    callback.accept(new LeaseRevokeResponse(allStopped[0], stoppedShards));
                }
            });
        }
        if (request.leases().isEmpty()) {
            callback.accept(new LeaseRevokeResponse(true, stoppedShards));
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
        } else if (lease.fencing) {
            lease.state = LeaseState.REVOKED;
            fenceShard(shardLease.shard(), lease, FenceReason.REVOKED, callback);
        } else {
            lease.state = LeaseState.REVOKED;
            fillStopper.giveUpUnsent(shardLease.shard());
            journalFenced(shardLease.shard(), lease.token, FenceReason.REVOKED);
            callback.accept(true);
        }
    }

    private void fenceShard(
            final int shard, final Lease lease, final FenceReason reason, final Consumer<Boolean> callback) {
        lease.fencing = true;
        final FencingToken token = lease.token;
        fillStopper.stop(shard, reason, timings.marginMs() / 2, stopped -> {
            if (stopped) {
                lease.fencing = false;
                journalFenced(shard, token, reason);
            }
            callback.accept(stopped);
        });
    }

    private void journalFenced(final int shard, final FencingToken token, final FenceReason reason) {
        journal.add(Event.of(EventCode.FENCED, "shard", shard, "token", token.toString(), "why", reason.code()));
    }

    /**
     * Ends the fencing of shards whose fills could not be stopped in time. The leader sends this once the earlier
     * leases of these shards have expired for certain.
     */
    public void onFenceAck(final FenceAckRequest request, final Consumer<Message> callback) {
        request.shards().forEach(shard -> {
            final Lease lease = leases.get(shard);
            if (lease != null && lease.state != LeaseState.HELD) {
                lease.fencing = false;
            }
        });
        callback.accept(new AckResponse());
    }

    /**
     * Expires the held and uncertain leases. Called after a pause of the process or when the clock is unreliable, since
     * the earlier leases are not valid any more then.
     */
    public void expireAll() {
        placementReceived = false;
        leases.forEach((shard, lease) -> {
            if (lease.state == LeaseState.HELD || lease.state == LeaseState.UNCERTAIN) {
                lease.state = LeaseState.EXPIRED;
                fenceShard(shard, lease, FenceReason.DROPPED, stopped -> {});
            }
        });
    }
}
