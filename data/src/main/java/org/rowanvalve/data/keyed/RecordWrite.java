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
 * Writes one record to the replicas: done at a majority and at every store that is heard from. Only replicas count that
 * are still in the era in which they were read; one that is not is read again, and where too few are left the record is
 * written once more when enough of them are.
 */
final class RecordWrite {
    private static final long VOTING_CHANGE_PATIENCE_MS = 1500;
    private static final long CHECK_INTERVAL_MS = 100;
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
    private final Set<NodeId> staleKeepers = new HashSet<>();
    private int unanswered;
    private KeyedRecord standing;
    private boolean superseded;
    private boolean finished;

    /** How a write ended. */
    enum Status {
        /** Synced at a majority of the replicas. */
        STORED,
        /** Not known to be synced at a majority. */
        FAILED,
        /** A replica holds a record of this key that outranks the one written. */
        OUTRANKED
    }

    /** {@code standing}: the record that outranks the one written, or null. */
    record Result(Status status, KeyedRecord standing) {
        boolean isStored() {
            return status == Status.STORED;
        }
    }

    /** {@code mayRepeat}: whether it is written once more after replicas have been read again. */
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
        final List<NodeId> keepers = quorum.voters();
        keepers.forEach(keeper -> {
            final OptionalLong era = shard.reader().eraOf(keeper);
            if (era.isPresent()) {
                transport.request(
                        keeper,
                        new RecordWriteRequest(quorum.epoch(), keyedRecord, era.getAsLong()),
                        timeoutMs,
                        reply -> onReply(keeper, reply));
            } else {
                unanswered--;
                staleKeepers.add(keeper);
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

    private void onReply(final NodeId keeper, final Reply reply) {
        unanswered--;
        if (votingConfiguration.isEpochMismatch(keeper, reply)) {
            staleKeepers.add(keeper);
        }
        if (RejectedResponse.isStorageUnavailable(reply)) {
            storeHealth.markSilent(keeper);
        }
        reply.as(RecordWriteResponse.class).ifPresent(response -> onResponse(keeper, response));
        check();
    }

    private void onResponse(final NodeId keeper, final RecordWriteResponse response) {
        if (response.staleEra()) {
            staleKeepers.add(keeper);
            shard.reader().readAgain(keeper);
        } else if (response.standing() != null) {
            storeHealth.recordSync(keeper);
            onStanding(response.standing());
        } else if (response.accepted()) {
            syncedBy.add(keeper);
            storeHealth.recordSync(keeper);
            if (!response.incomplete()) {
                accepted.add(keeper);
            }
        } else {
            superseded |= storeHealth.isStore(keeper);
        }
    }

    /** An outcome says more than any record without one. */
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

    /** Other replicas count now: what this set has acknowledged is handed over, and the new one is asked. */
    private void onVotingSetChange() {
        finished = true;
        shard.whenReady(VOTING_CHANGE_PATIENCE_MS, () -> repeat(mayRepeat), this::fail);
    }

    private void finish(final boolean succeeded) {
        finished = true;
        if (succeeded || superseded || staleKeepers.isEmpty() || !mayRepeat) {
            callback.accept(new Result(succeeded ? Status.STORED : Status.FAILED, null));
            return;
        }
        shard.whenReady(timeoutMs, () -> repeat(false), this::fail);
    }

    private void fail() {
        callback.accept(new Result(Status.FAILED, null));
    }

    /** Not over another process's intent that was found when the replicas were read again. */
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
