package org.rowanvalve.data.keyed;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.rowanvalve.common.message.ForwardResponse;
import org.rowanvalve.common.message.KeyedOutcome;
import org.rowanvalve.common.message.KeyedRecord;

/**
 * What a holder knows of one key, and who waits for it. It is kept for the retention after its last attempt, not its
 * first: a key whose first attempt was refused may be executed much later.
 */
final class KeyedEntry {
    private String digest;
    private long activeAt;
    private final List<Consumer<ForwardResponse>> waiting = new ArrayList<>();
    /** An attempt of this key is in flight here. */
    boolean inProgress;
    /** No attempt is in flight, and nothing of the last one was sent to an origin. */
    boolean notSent;
    /** The outcome's body is being fetched from a replica. */
    boolean fetching;

    long attemptId;
    KeyedOutcome outcome;
    /** An attempt of another process, found at a replica while this one's intent was being recorded. */
    KeyedRecord foreignRecord;

    KeyedEntry(final String digest, final long now) {
        this.digest = digest;
        this.activeAt = now;
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

    /** An attempt begins. */
    void begin(final long now) {
        inProgress = true;
        notSent = false;
        renew(now);
    }

    /** An attempt has ended; {@code withheld}: none of it was sent to an origin. */
    void end(final boolean withheld, final long now) {
        inProgress = false;
        notSent = withheld;
        renew(now);
    }

    /** What a replica holds of this key decides, also over an attempt of this process. */
    void adopt(final KeyedRecord record, final long now) {
        end(false, now);
        digest = record.requestDigest();
        outcome = record.outcome();
        foreignRecord = null;
    }

    private void renew(final long now) {
        activeAt = now;
    }

    boolean isExpired(final long now, final long retentionMs) {
        return !inProgress && !fetching && now - activeAt > retentionMs;
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
