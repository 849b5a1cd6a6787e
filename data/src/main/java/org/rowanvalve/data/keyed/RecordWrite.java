package org.rowanvalve.data.keyed;

import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.rowanvalve.common.message.KeyedRecord;
import org.rowanvalve.common.message.RecordWriteRequest;
import org.rowanvalve.common.message.RecordWriteResponse;
import org.rowanvalve.common.message.RejectedResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.voting.Quorum;
import org.rowanvalve.control.voting.StoreHealth;
import org.rowanvalve.control.voting.VotingConfiguration;

/**
 * Writes one record to the replicas. A record that tells how an attempt ended is written whether or not the replicas were
 * read in their present era, since the shard may have moved meanwhile. The write succeeds once a majority of the replicas and every reachable store has
 * synced the record. A replica counts only while it is in the era in which it was read; a replica whose era has changed
 * is read again. If too few replicas count, the record is written once more after enough of them have been read again.
 */
final class RecordWrite {
    private static final long VOTING_CHANGE_TIMEOUT_MILLIS = 1500;
    private static final long CHECK_INTERVAL_MS = 100;
    /** No replica is in this era: they number theirs from a hash. */
    private static final long UNKNOWN_ERA = 0;

    private final VotingConfiguration votingConfiguration;
    private final Quorum quorum;
    private final EventLoop loop;
    private final Transport transport;
    private final StoreHealth storeHealth;
    private final KeyedShard shard;
    private final KeyedRecord keyedRecord;
    private final long timeoutMs;
    private final boolean mayRepeat;
    private final Consumer<Result> callback;
    private final long startedAt;
    private final Set<NodeId> accepted = new HashSet<>();
    private final Set<NodeId> syncedBy = new HashSet<>();
    private final Set<NodeId> staleReplicas = new HashSet<>();
    private int unanswered;
    private KeyedRecord standing;
    private boolean superseded;
    private boolean finished;

    /** How a write ended. */
    enum Status {
        /** The record is synced at a majority of the replicas. */
        STORED,
        /** The record is not known to be synced at a majority of the replicas. */
        FAILED,
        /** A replica stores a record of this key that takes precedence over the one written. */
        OUTRANKED
    }

    /** {@code standing}: the stored record that takes precedence over the one written, or null. */
    record Result(Status status, KeyedRecord standing) {
        boolean isStored() {
            return status == Status.STORED;
        }
    }

    /** {@code mayRepeat}: whether the record may be written once more after replicas have been read again. */
    RecordWrite(
            final VotingConfiguration votingConfiguration,
            final EventLoop loop,
            final Transport transport,
            final StoreHealth storeHealth,
            final KeyedShard shard,
            final KeyedRecord keyedRecord,
            final long timeoutMs,
            final boolean mayRepeat,
            final Consumer<Result> callback) {
        this.votingConfiguration = votingConfiguration;
        this.quorum = votingConfiguration.quorum();
        this.loop = loop;
        this.transport = transport;
        this.storeHealth = storeHealth;
        this.shard = shard;
        this.keyedRecord = keyedRecord;
        this.timeoutMs = timeoutMs;
        this.mayRepeat = mayRepeat;
        this.callback = callback;
        this.startedAt = loop.now();
        this.unanswered = quorum.voters().size();
    }

    void start() {
        final List<NodeId> replicas = quorum.voters();
        replicas.forEach(replica -> {
            final OptionalLong era = shard.reader().eraOf(replica);
            if (era.isPresent() || keyedRecord.outcome() != null) {
                transport.request(
                        replica,
                        new RecordWriteRequest(quorum.epoch(), keyedRecord, era.orElse(UNKNOWN_ERA)),
                        timeoutMs,
                        reply -> onReply(replica, reply));
            } else {
                unanswered--;
                staleReplicas.add(replica);
            }
        });
        loop.schedule(StoreHealth.SILENCE_TIMEOUT_MILLIS, this::check);
        checkRepeatedly();
    }

    private void checkRepeatedly() {
        check();
        if (!finished) {
            loop.schedule(CHECK_INTERVAL_MS, this::checkRepeatedly);
        }
    }

    private void onReply(final NodeId replica, final Reply reply) {
        unanswered--;
        if (votingConfiguration.isEpochMismatch(replica, reply)) {
            staleReplicas.add(replica);
        }
        if (RejectedResponse.isStorageUnavailable(reply)) {
            storeHealth.markSilent(replica);
        }
        reply.as(RecordWriteResponse.class).ifPresent(response -> onResponse(replica, response));
        check();
    }

    private void onResponse(final NodeId replica, final RecordWriteResponse response) {
        if (response.staleEra()) {
            staleReplicas.add(replica);
            shard.reader().readAgain(replica);
        } else if (response.standing() != null) {
            storeHealth.recordSync(replica);
            onStanding(response.standing());
        } else if (response.accepted()) {
            syncedBy.add(replica);
            storeHealth.recordSync(replica);
            if (!response.incomplete()) {
                accepted.add(replica);
            }
        } else {
            superseded |= storeHealth.isStore(replica);
        }
    }

    /** A record with an outcome takes precedence over a record without one. */
    private void onStanding(final KeyedRecord record) {
        if (standing == null || standing.outcome() == null) {
            standing = record;
        }
    }

    private void check() {
        if (finished) {
            return;
        }
        if (standing != null) {
            finished = true;
            callback.accept(new Result(Status.OUTRANKED, standing));
            return;
        }
        if (votingConfiguration.epoch() != quorum.epoch()) {
            onVotingSetChange();
            return;
        }
        final boolean hasWriteQuorum = quorum.isWriteQuorum(accepted);
        if (hasWriteQuorum && !superseded && storeHealth.allReachableSynced(syncedBy, loop.now() - startedAt)) {
            finish(true);
        } else if (superseded
                || !hasWriteQuorum && (unanswered == 0 || accepted.size() + unanswered < quorum.majority())) {
            finish(false);
        }
    }

    /**
     * Writes the record again to the replicas of the new epoch. Acknowledgements of the earlier epoch do not count in
     * the new one; the records that they confirm are handed over to the new replicas.
     */
    private void onVotingSetChange() {
        finished = true;
        if (keyedRecord.outcome() != null && shard.isClosed()) {
            repeat(mayRepeat);
        } else {
            shard.whenReady(VOTING_CHANGE_TIMEOUT_MILLIS, () -> repeat(mayRepeat), this::fail);
        }
    }

    private void finish(final boolean succeeded) {
        finished = true;
        if (succeeded || superseded || staleReplicas.isEmpty() || !mayRepeat) {
            callback.accept(new Result(succeeded ? Status.STORED : Status.FAILED, null));
            return;
        }
        shard.whenReady(timeoutMs, () -> repeat(false), this::fail);
    }

    private void fail() {
        callback.accept(new Result(Status.FAILED, null));
    }

    /** Writes the record again, unless reading the replicas again has found an intent of another process. */
    private void repeat(final boolean mayRepeatAgain) {
        if (keyedRecord.outcome() == null && shard.entries().get(keyedRecord.key()).foreignRecord != null) {
            fail();
        } else {
            new RecordWrite(
                            votingConfiguration,
                            loop,
                            transport,
                            storeHealth,
                            shard,
                            keyedRecord,
                            timeoutMs,
                            mayRepeatAgain,
                            callback)
                    .start();
        }
    }
}
