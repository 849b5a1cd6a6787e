package org.rowanvalve.control.record;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.AgedRecord;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.voting.VotingConfiguration;

/**
 * Fills a record store from the stores of the current voters. A voter that lost its records copies until none are
 * missing; a standby copies so that little is left to hand over when it becomes a voter. At most one copy of each kind
 * runs at a time, and a copy is abandoned when the voting set changes.
 */
final class RecordRecovery {
    private static final long CHECK_INTERVAL_MS = 250;
    /** Time for which a standby counts as up to date after it has copied the records of a voter. */
    private static final long STANDBY_FRESH_MS = 3000;

    private static final long STANDBY_TIMEOUT_MILLIS = 500;
    private final NodeId self;
    private final String requester;
    private final VotingConfiguration votingConfiguration;
    private final Transport transport;
    private final EventLoop loop;
    private final EventJournal journal;
    private final KeyedRecordTable table;
    private final Records records;
    private final List<Consumer<Boolean>> standbyCallbacks = new ArrayList<>();
    private RecordCopy recovery;
    private RecordCopy standbyCopy;
    private boolean checkScheduled;
    private long standbyReadyAt = Long.MIN_VALUE;

    /** The store that receives the records. */
    interface Records {
        boolean isIncomplete();

        void raiseTokenFloors(Map<Integer, FencingToken> otherFloors);

        void mergeRecords(List<AgedRecord> copiedRecords);

        /** Called once no records are missing; {@code then} gets whether that state has been synced. */
        void onRecovered(Consumer<Boolean> then);
    }

    /** {@code requester} identifies this voter and its present run. */
    RecordRecovery(
            final NodeId self,
            final String requester,
            final VotingConfiguration votingConfiguration,
            final Transport transport,
            final EventLoop loop,
            final EventJournal journal,
            final KeyedRecordTable table,
            final Records records) {
        this.self = self;
        this.requester = requester;
        this.votingConfiguration = votingConfiguration;
        this.transport = transport;
        this.loop = loop;
        this.journal = journal;
        this.table = table;
        this.records = records;
    }

    void start() {
        votingConfiguration.addListener(this::onVotingSetChange);
        recover();
    }

    /** Abandons the copies from members of the earlier voting set. */
    private void onVotingSetChange() {
        stop(recovery);
        recovery = null;
        stop(standbyCopy);
        standbyCopy = null;
        standbyReadyAt = Long.MIN_VALUE;
    }

    private static void stop(final RecordCopy copy) {
        if (copy != null) {
            copy.stop();
        }
    }

    /** Keeps one copy from the other voters running while records are missing, and checks this periodically. */
    void recover() {
        if (!records.isIncomplete()) {
            stop(recovery);
            recovery = null;
            return;
        }
        if (recovery == null && votingConfiguration.isVoter(self)) {
            recovery = copy(
                    true,
                    (copied, withoutRecords) ->
                            votingConfiguration.quorum().isReadQuorum(copied) || isOnlySource(copied, withoutRecords),
                    this::onRecovered);
        }
        if (!checkScheduled) {
            checkScheduled = true;
            loop.schedule(CHECK_INTERVAL_MS, () -> {
                checkScheduled = false;
                recover();
            });
        }
    }

    private void onRecovered() {
        records.onRecovered(ok -> recovery = null);
    }

    /**
     * Whether every other voter has either been copied or reported that it lost its records, and a store is among those
     * copied. In that case every record is present.
     */
    private boolean isOnlySource(final Set<NodeId> sources, final Set<NodeId> withoutRecords) {
        return sources.size() + withoutRecords.size()
                        == votingConfiguration.voters().size() - 1
                && votingConfiguration.quorum().stores().stream().anyMatch(sources::contains);
    }

    /**
     * {@code callback} gets whether the records of some voter were copied within the last {@link #STANDBY_FRESH_MS}.
     */
    void prepareStandby(final Consumer<Boolean> callback) {
        if (votingConfiguration.isVoter(self)
                || standbyReadyAt != Long.MIN_VALUE && loop.now() - standbyReadyAt < STANDBY_FRESH_MS) {
            callback.accept(true);
            return;
        }
        standbyCallbacks.add(callback);
        if (standbyCopy == null) {
            standbyCopy = copy(
                    false,
                    (copied, withoutRecords) ->
                            !copied.isEmpty() || votingConfiguration.quorum().isReadQuorum(withoutRecords),
                    this::onStandbyReady);
        }
        loop.schedule(STANDBY_TIMEOUT_MILLIS, () -> {
            if (standbyCallbacks.remove(callback)) {
                callback.accept(false);
            }
        });
    }

    private void onStandbyReady() {
        standbyCopy = null;
        standbyReadyAt = loop.now();
        final List<Consumer<Boolean>> callbacks = List.copyOf(standbyCallbacks);
        standbyCallbacks.clear();
        callbacks.forEach(callback -> callback.accept(true));
    }

    private RecordCopy copy(
            final boolean endEra, final BiPredicate<Set<NodeId>, Set<NodeId>> sufficient, final Runnable done) {
        final Transport epochAware =
                (recipient, message, timeoutMs, callback) -> transport.request(recipient, message, timeoutMs, reply -> {
                    votingConfiguration.isEpochMismatch(recipient, reply);
                    callback.accept(reply);
                });
        final List<NodeId> others = new ArrayList<>(votingConfiguration.voters());
        others.remove(self);
        Collections.rotate(others, Math.floorMod(self.hashCode(), Math.max(1, others.size())));
        final RecordCopy copy = new RecordCopy(
                loop,
                epochAware,
                journal,
                table,
                votingConfiguration.epoch(),
                requester,
                endEra,
                sufficient,
                sink(done));
        copy.start(others);
        return copy;
    }

    private RecordCopy.Sink sink(final Runnable done) {
        return new RecordCopy.Sink() {
            @Override
            public void tokenFloors(final Map<Integer, FencingToken> floors) {
                records.raiseTokenFloors(floors);
            }

            @Override
            public void records(final List<AgedRecord> copiedRecords) {
                records.mergeRecords(copiedRecords);
            }

            @Override
            public void onComplete() {
                done.run();
            }
        };
    }
}
