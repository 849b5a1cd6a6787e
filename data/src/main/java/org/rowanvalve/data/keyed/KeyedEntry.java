package org.rowanvalve.data.keyed;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.rowanvalve.common.message.ForwardResponse;
import org.rowanvalve.common.message.KeyedOutcome;
import org.rowanvalve.common.message.KeyedRecord;

/**
 * The state of one key at the lease holder of its shard, with the requests that wait for the outcome. The retention
 * period of an entry starts at the last attempt, not at the first one, since a key whose first attempt was refused may
 * be executed much later.
 */
final class KeyedEntry {
    /** What this node knows of the last attempt of a key. */
    enum State {
        /** The attempt is in flight at this node. */
        IN_PROGRESS,
        /** No byte of the attempt was sent to an origin. */
        NOT_SENT,
        /** The attempt may have been executed, and its outcome is unknown. */
        MAY_HAVE_RUN,
        /** The outcome is known. */
        COMPLETED
    }

    private String digest;
    private long activeAt;
    private final List<Consumer<ForwardResponse>> waiting = new ArrayList<>();
    /** An attempt of this key is in flight at this node. */
    boolean inProgress;
    /** No attempt is in flight, and no byte of the last attempt was sent to an origin. */
    boolean notSent;
    /** The outcome's body is being fetched from a replica. */
    boolean fetching;
    /** The attempt is known from replicas only, so its process may know how it ended. */
    private boolean knownFromRecord;
    /**
     * Several attempts of the key are known of which each may have been executed. That one of them was not sent then says
     * nothing about the others.
     */
    private boolean severalAttempts;
    /** Other processes are being asked how the attempt ended. */
    private boolean queried;

    private final List<Runnable> waitingForQuery = new ArrayList<>();

    long attemptId;
    /** The request that began the attempt, or empty if another process did. */
    String requestId = "";

    KeyedOutcome outcome;
    /** An attempt by another process, read from a replica while the intent of this process was being written. */
    KeyedRecord foreignRecord;

    KeyedEntry(final String digest, final long now) {
        this.digest = digest;
        this.activeAt = now;
    }

    /** {@code severalAttempts}: whether the replicas know several attempts of which each may have been executed. */
    static KeyedEntry of(final KeyedRecord record, final boolean severalAttempts, final long now) {
        final KeyedEntry entry = new KeyedEntry(record.requestDigest(), now);
        entry.outcome = record.outcome();
        entry.notSent = record.outcome() == null && record.notSent();
        entry.attemptId = record.attemptId();
        entry.knownFromRecord = true;
        entry.severalAttempts = severalAttempts;
        return entry;
    }

    String digest() {
        return digest;
    }

    void begin(final long now) {
        inProgress = true;
        notSent = false;
        knownFromRecord = false;
        severalAttempts = false;
        renew(now);
    }

    /** Ends the attempt in flight. {@code nothingSent}: no byte of the attempt was sent to an origin. */
    void end(final boolean nothingSent, final long now) {
        inProgress = false;
        notSent = nothingSent;
        renew(now);
    }

    /** Takes over the record of a replica, which overrides an attempt of this process. */
    void adopt(final KeyedRecord record, final long now) {
        severalAttempts |= state() == State.MAY_HAVE_RUN && attemptId != record.attemptId();
        end(false, now);
        digest = record.requestDigest();
        attemptId = record.attemptId();
        knownFromRecord = true;
        outcome = record.outcome();
        foreignRecord = null;
    }

    State state() {
        if (outcome != null) {
            return State.COMPLETED;
        }
        if (inProgress) {
            return State.IN_PROGRESS;
        }
        return notSent ? State.NOT_SENT : State.MAY_HAVE_RUN;
    }

    private void renew(final long now) {
        activeAt = now;
    }

    boolean isExpired(final long now, final long retentionMs) {
        return !inProgress && !fetching && !queried && now - activeAt > retentionMs;
    }

    /** Whether the body of the outcome is stored at replicas only. */
    boolean hasBodyElsewhere() {
        return outcome != null && !outcome.complete();
    }

    /** Whether the process that made the attempt may know how it ended, though this one does not. */
    boolean mayBeKnownElsewhere() {
        return knownFromRecord && state() == State.MAY_HAVE_RUN;
    }

    /** Runs {@code action} once the query of the attempt has ended; starts it with {@code query} if none is under way. */
    void awaitQuery(final Runnable action, final Runnable query) {
        waitingForQuery.add(action);
        if (!queried) {
            queried = true;
            query.run();
        }
    }

    /** Takes the result of a query of an attempt, which may not be the one that this entry has by now. */
    void onQueried(final long queriedAttemptId, final AttemptQuery.Result result, final long now) {
        queried = false;
        if (result.end() == AttemptQuery.End.COMPLETED) {
            outcome = result.outcome();
        } else if (result.end() == AttemptQuery.End.NOT_SENT
                && state() == State.MAY_HAVE_RUN
                && attemptId == queriedAttemptId
                && !severalAttempts) {
            end(true, now);
        }
        final List<Runnable> actions = new ArrayList<>(waitingForQuery);
        waitingForQuery.clear();
        actions.forEach(Runnable::run);
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
