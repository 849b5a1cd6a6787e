package org.rowanvalve.data.keyed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.LongPredicate;
import org.rowanvalve.common.message.KeyedRecord;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.runtime.EventLoop;

/** The keys of one shard under one token: what is known of each, and who waits until the records are read. */
final class KeyedShard implements RecordReader.Listener {
    private static final int MAX_WAITERS = 128;
    private final int number;
    private final FencingToken token;
    private final EventLoop loop;
    private final LongPredicate isOwnAttempt;
    private final Runnable onTimeout;
    private final Map<String, KeyedEntry> entries = new HashMap<>();
    /** What replicas have reported since this shard was last ready, by key. */
    private final Map<String, List<KeyedRecord>> recordsRead = new HashMap<>();

    private final List<Waiter> waiting = new ArrayList<>();
    private final Function<RecordReader.Listener, RecordReader> newReader;
    private RecordReader reader;
    private boolean ready;
    private boolean closed;
    private boolean timeoutReported;

    private record Waiter(Runnable action, Runnable rejection) {}

    /**
     * {@code isOwnAttempt}: whether an attempt is one of this process; {@code onTimeout}: run when waiting was in vain,
     * once for each reading.
     */
    KeyedShard(
            final int number,
            final FencingToken token,
            final EventLoop loop,
            final LongPredicate isOwnAttempt,
            final Function<RecordReader.Listener, RecordReader> newReader,
            final Runnable onTimeout) {
        this.number = number;
        this.token = token;
        this.loop = loop;
        this.isOwnAttempt = isOwnAttempt;
        this.onTimeout = onTimeout;
        this.newReader = newReader;
        this.reader = newReader.apply(this);
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
     * Continues once the records are read, or is rejected after {@code patienceMs}; the reading goes on in any case.
     */
    void whenReady(final long patienceMs, final Runnable action, final Runnable rejection) {
        checkReady();
        if (ready) {
            action.run();
        } else if (closed || waiting.size() >= MAX_WAITERS) {
            rejection.run();
        } else {
            final Waiter waiter = new Waiter(action, rejection);
            waiting.add(waiter);
            reader.start();
            loop.schedule(patienceMs, () -> giveUp(waiter));
        }
    }

    private void giveUp(final Waiter waiter) {
        if (waiting.remove(waiter)) {
            if (!timeoutReported) {
                timeoutReported = true;
                onTimeout.run();
            }
            waiter.rejection().run();
        }
    }

    /** Other replicas count from now on: they are read again, whether anybody waits or not. */
    void onVotingSetChange() {
        if (!closed) {
            reader.stop();
            reader = newReader.apply(this);
            ready = false;
            recordsRead.clear();
            reader.start();
        }
    }

    /** The lease has moved: nothing is read any more, and nobody waits. */
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
    public void onKeeperRead(final List<KeyedRecord> records) {
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
        recordsRead.values().forEach(records -> mergeRecord(KeyedRecord.resolve(records)));
        recordsRead.clear();
    }

    /** An attempt of another process overrides this one's own knowledge, unless it is marked as not sent. */
    private void mergeRecord(final KeyedRecord record) {
        final KeyedEntry entry = entries.get(record.key());
        if (entry == null) {
            entries.put(record.key(), KeyedEntry.of(record, loop.now()));
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
