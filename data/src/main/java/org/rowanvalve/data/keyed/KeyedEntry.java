package org.rowanvalve.data.keyed;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.rowanvalve.common.message.ForwardResponse;
import org.rowanvalve.common.message.KeyedOutcome;
import org.rowanvalve.common.message.KeyedRecord;

/** What a holder knows of one key, and who waits for it. */
final class KeyedEntry {
    private final String digest;
    private final long createdAt;
    private final List<Consumer<ForwardResponse>> waiting = new ArrayList<>();
    /** An attempt of this key is in flight here. */
    boolean inProgress;
    /** Nothing of the last attempt was sent to an origin. */
    boolean notSent;
    /** The outcome's body is being fetched from a replica. */
    boolean fetching;

    long attemptId;
    KeyedOutcome outcome;
    /** An attempt of another process, found at a replica while this one's intent was being recorded. */
    KeyedRecord foreignRecord;

    KeyedEntry(final String digest, final long createdAt) {
        this.digest = digest;
        this.createdAt = createdAt;
    }

    static KeyedEntry of(final KeyedRecord record, final long now) {
        final KeyedEntry entry = new KeyedEntry(record.requestDigest(), now);
        entry.outcome = record.outcome();
        entry.notSent = record.outcome() == null && record.notSent();
        return entry;
    }

    String digest() {
        return digest;
    }

    boolean isExpired(final long now, final long retentionMs) {
        return !inProgress && now - createdAt > retentionMs;
    }

    /** Only replicas have the body. */
    boolean hasBodyElsewhere() {
        return outcome != null && !outcome.complete();
    }

    void addWaiter(final Consumer<ForwardResponse> callback) {
        waiting.add(callback);
    }

    void respond(final ForwardResponse response) {
        final List<Consumer<ForwardResponse>> waiters = new ArrayList<>(waiting);
        waiting.clear();
        waiters.forEach(waiter -> waiter.accept(response));
    }
}
