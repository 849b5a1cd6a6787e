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
 * Fills a record store from those of the present voters: a voter that lost its records until nothing is missing, a
 * standby so that little is left to hand over once it votes. One copy of each kind runs at a time; it is given up when
 * the voting set changes.
 */
final class RecordRecovery {
    private static final long CHECK_INTERVAL_MS = 250;
    /** Time for which a standby counts as up to date after it has copied what a voter holds. */
    private static final long WARM_MS = 3000;

    private static final long STANDBY_TIMEOUT_MILLIS = 500;
    private final NodeId self;
    private final String requester;
    private final VotingConfiguration votingConfiguration;
    private final Transport transport;
    private final EventLoop loop;
    private final EventJournal journal;
    private final KeyedRecordTable table;
    private final Records records;
    private final List<Consumer<Boolean>> waitingForStandby = new ArrayList<>();
    private RecordCopy recovery;
    private RecordCopy standbyCopy;
    private boolean checkScheduled;
    private long standbyReadyAt = Long.MIN_VALUE;

    /** The store that is filled. */
    interface Records {
        boolean isIncomplete();

        void raiseTokenFloors(Map<Integer, FencingToken> bars);

        void mergeRecords(List<AgedRecord> notes);

        /** All that was missing is here; {@code then} gets whether that is synced. */
        void onRecovered(Consumer<Boolean> then);
    }

    /** {@code requester}: this start of this voter. */
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

    /** Called when the voting set has changed: copies from the earlier one are given up. */
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

    /** While records are missing, one copy of the others' is under way. */
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
     * Whether all others answered, those without records reported so, and a store has its own: every record is there.
     */
    private boolean isOnlySource(final Set<NodeId> sources, final Set<NodeId> withoutRecords) {
        return sources.size() + withoutRecords.size()
                        == votingConfiguration.voters().size() - 1
                && votingConfiguration.quorum().stores().stream().anyMatch(sources::contains);
    }

    /** {@code callback} gets whether what some voter holds has been copied a moment ago. */
    void prepareStandby(final Consumer<Boolean> callback) {
        if (votingConfiguration.isVoter(self)
                || standbyReadyAt != Long.MIN_VALUE && loop.now() - standbyReadyAt < WARM_MS) {
            callback.accept(true);
            return;
        }
        waitingForStandby.add(callback);
        if (standbyCopy == null) {
            standbyCopy = copy(
                    false,
                    (copied, withoutRecords) ->
                            !copied.isEmpty() || votingConfiguration.quorum().isReadQuorum(withoutRecords),
                    this::onStandbyReady);
        }
        loop.schedule(STANDBY_TIMEOUT_MILLIS, () -> {
            if (waitingForStandby.remove(callback)) {
                callback.accept(false);
            }
        });
    }

    private void onStandbyReady() {
        standbyCopy = null;
        standbyReadyAt = loop.now();
        final List<Consumer<Boolean>> list = List.copyOf(waitingForStandby);
        waitingForStandby.clear();
        list.forEach(w -> w.accept(true));
    }

    private RecordCopy copy(
            final boolean endEra, final BiPredicate<Set<NodeId>, Set<NodeId>> enough, final Runnable done) {
        final Transport epochAware =
                (recipient, msg, wait, callback) -> transport.request(recipient, msg, wait, reply -> {
                    votingConfiguration.isEpochMismatch(recipient, reply);
                    callback.accept(reply);
                });
        final List<NodeId> others = new ArrayList<>(votingConfiguration.voters());
        others.remove(self);
        Collections.rotate(others, Math.floorMod(self.hashCode(), Math.max(1, others.size())));
        final RecordCopy copy = new RecordCopy(
                loop, epochAware, journal, table, votingConfiguration.epoch(), requester, endEra, enough, sink(done));
        copy.start(others);
        return copy;
    }

    private RecordCopy.Sink sink(final Runnable done) {
        return new RecordCopy.Sink() {
            @Override
            public void tokenFloors(final Map<Integer, FencingToken> bars) {
                records.raiseTokenFloors(bars);
            }

            @Override
            public void records(final List<AgedRecord> notes) {
                records.mergeRecords(notes);
            }

            @Override
            public void onComplete() {
                done.run();
            }
        };
    }
}
