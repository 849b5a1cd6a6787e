package org.rowanvalve.data.keyed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongPredicate;
import java.util.stream.Collectors;
import org.rowanvalve.common.message.KeyedRecord;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.runtime.EventLoop;

/**
 * The keyed requests of one shard under one fencing token: the entry of each key, and the requests that wait for the
 * records.
 */
final class KeyedShard implements RecordReader.Listener {
    private static final int MAX_WAITERS = 128;
    private final int number;
    private final FencingToken token;
    private final EventLoop loop;
    private final LongPredicate isOwnAttempt;
    private final Runnable onTimeout;
    private final Map<String, KeyedEntry> entries = new HashMap<>();
    /** The records that replicas have returned and that are not merged into the entries yet, by key. */
    private final Map<String, List<KeyedRecord>> recordsRead = new HashMap<>();

    private final List<Waiter> waiting = new ArrayList<>();
    private final Function<RecordReader.Listener, RecordReader> readerFactory;
    private RecordReader reader;
    private boolean ready;
    private boolean closed;
    private boolean timeoutReported;

    private record Waiter(Runnable action, Runnable rejection) {}

    /**
     * {@code isOwnAttempt}: whether an attempt id belongs to this process; {@code onTimeout}: run when the first
     * waiting request times out, once for each read.
     */
    KeyedShard(
            final int number,
            final FencingToken token,
            final EventLoop loop,
            final LongPredicate isOwnAttempt,
            final Function<RecordReader.Listener, RecordReader> readerFactory,
            final Runnable onTimeout) {
        this.number = number;
        this.token = token;
        this.loop = loop;
        this.isOwnAttempt = isOwnAttempt;
        this.onTimeout = onTimeout;
        this.readerFactory = readerFactory;
        this.reader = readerFactory.apply(this);
    }

    int number() {
        return number;
    }

    FencingToken token() {
        return token;
    }

    RecordReader reader() {
        return reader;
    }

    Map<String, KeyedEntry> entries() {
        return entries;
    }

    void removeExpired(final long retentionMs) {
        entries.values().removeIf(entry -> entry.isExpired(loop.now(), retentionMs));
    }

    /**
     * Runs {@code action} once the records are read, or {@code rejection} after {@code maxWaitMs}. The read continues
     * after a rejection.
     */
    void whenReady(final long maxWaitMs, final Runnable action, final Runnable rejection) {
        checkReady();
        if (ready) {
            action.run();
        } else if (closed || waiting.size() >= MAX_WAITERS) {
            rejection.run();
        } else {
            final Waiter waiter = new Waiter(action, rejection);
            waiting.add(waiter);
            reader.start();
            loop.schedule(maxWaitMs, () -> onWaitTimeout(waiter));
        }
    }

    private void onWaitTimeout(final Waiter waiter) {
        if (waiting.remove(waiter)) {
            if (!timeoutReported) {
                timeoutReported = true;
                onTimeout.run();
            }
            waiter.rejection().run();
        }
    }

    /** Starts a new read at the replicas of the new voting set, even if no request waits for the records. */
    void onVotingSetChange() {
        if (!closed) {
            reader.stop();
            reader = readerFactory.apply(this);
            ready = false;
            recordsRead.clear();
            reader.start();
        }
    }

    /** Whether the lease has moved, so that this node reads the records no more. */
    boolean isClosed() {
        return closed;
    }

    /** Stops reading and rejects the waiting requests, because the lease has moved. */
    void close() {
        closed = true;
        reader.stop();
        final List<Waiter> waiters = new ArrayList<>(waiting);
        waiting.clear();
        waiters.forEach(waiter -> waiter.rejection().run());
    }

    @Override
    public void onSuperseded() {
        close();
    }

    @Override
    public void onReplicaRead(final List<KeyedRecord> records) {
        records.forEach(record -> recordsRead
                .computeIfAbsent(record.key(), k -> new ArrayList<>())
                .add(record));
        if (ready) {
            mergeRecords();
        }
    }

    @Override
    public void onProgress() {
        if (!closed) {
            checkReady();
        }
    }

    private void checkReady() {
        final boolean readyNow = !closed && reader.isReady();
        if (readyNow && !ready) {
            mergeRecords();
            timeoutReported = false;
            ready = true;
            final List<Waiter> waiters = new ArrayList<>(waiting);
            waiting.clear();
            waiters.forEach(waiter -> waiter.action().run());
        }
        ready = readyNow;
    }

    private void mergeRecords() {
        recordsRead.values().forEach(records -> mergeRecord(KeyedRecord.resolve(records), severalMayHaveRun(records)));
        recordsRead.clear();
    }

    private static boolean severalMayHaveRun(final List<KeyedRecord> records) {
        final Set<Long> notSent = records.stream()
                .filter(KeyedRecord::notSent)
                .map(KeyedRecord::attemptId)
                .collect(Collectors.toSet());
        return records.stream()
                        .map(KeyedRecord::attemptId)
                        .filter(attemptId -> !notSent.contains(attemptId))
                        .distinct()
                        .count()
                > 1;
    }

    /**
     * Merges a record of the replicas into its entry. An attempt by another process overrides the state of this
     * process, unless the record is marked as not sent or has a lower token, and has no outcome.
     */
    private void mergeRecord(final KeyedRecord record, final boolean severalAttempts) {
        final KeyedEntry entry = entries.get(record.key());
        if (entry == null) {
            entries.put(record.key(), KeyedEntry.of(record, severalAttempts, loop.now()));
        } else if (isOwnAttempt.test(record.attemptId())
                || record.outcome() == null
                        && (record.notSent() || record.token().isBelow(token))) {
            return;
        } else if (entry.inProgress) {
            entry.foreignRecord = record;
        } else if (entry.outcome == null) {
            entry.adopt(record, loop.now());
        }
    }
}
