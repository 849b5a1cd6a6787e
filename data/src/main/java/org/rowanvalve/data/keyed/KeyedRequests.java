package org.rowanvalve.data.keyed;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.ForwardResponse;
import org.rowanvalve.common.message.KeyedOutcome;
import org.rowanvalve.common.message.KeyedRecord;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.OutcomeRequest;
import org.rowanvalve.common.message.OutcomeResponse;
import org.rowanvalve.common.message.RecordWriteRequest;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.lease.LeaseHolder;
import org.rowanvalve.control.record.RecordRetention;
import org.rowanvalve.control.voting.StoreHealth;
import org.rowanvalve.control.voting.VotingConfiguration;
import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.origin.OriginDispatch;
import org.rowanvalve.data.origin.OriginDispatcher;
import org.rowanvalve.data.origin.OriginTransport;
import org.rowanvalve.data.request.EndToEndHeaders;

/**
 * Executes keyed requests at most once. An intent is synced at a majority of the record replicas before the first byte
 * is sent to the origin, and the outcome is recorded after the response. The next lease holder of the shard reads a
 * majority of the replicas first, so that it finds every intent. An attempt that is under way when its shard moves goes on
 * at the earlier holder, which records its outcome under its own token; the next holder does not execute the key, and asks
 * for that outcome when the key is requested again ({@link AttemptQuery}).
 */
public final class KeyedRequests {
    /** The result of {@link EventCode#INTENT_WRITTEN} events after which an attempt may be sent. */
    public static final String INTENT_STORED = RecordWrite.Status.STORED.name();

    private static final long SWEEP_INTERVAL_MS = 10_000;
    private static final long INTENT_TIMEOUT_MILLIS = 1000;
    private static final long OUTCOME_TIMEOUT_MILLIS = 700;
    private final VotingConfiguration votingConfiguration;
    private final EventLoop loop;
    private final Transport transport;
    private final LeaseHolder leases;
    private final EventJournal journal;
    private final StoreHealth storeHealth;
    private final String reader;
    private final RecordRetention retention;
    private final Supplier<List<NodeId>> otherShields;
    private final OwnAttempts ownAttempts = new OwnAttempts();
    private final Map<Integer, KeyedShard> shards = new HashMap<>();
    private long attemptSerial;

    /** Sends the request to an origin; called once the intent is recorded. */
    @FunctionalInterface
    public interface Send {
        void send(Consumer<OriginDispatcher.Completion> then);
    }

    public KeyedRequests(
            final VotingConfiguration votingConfiguration,
            final EventLoop loop,
            final Transport transport,
            final LeaseHolder leases,
            final EventJournal journal,
            final StoreHealth storeHealth,
            final String reader,
            final RecordRetention retention,
            final Supplier<List<NodeId>> otherShields) {
        this.otherShields = otherShields;
        this.reader = reader;
        this.votingConfiguration = votingConfiguration;
        this.loop = loop;
        this.transport = transport;
        this.leases = leases;
        this.journal = journal;
        this.storeHealth = storeHealth;
        this.retention = retention;
        loop.scheduleRepeatedly(SWEEP_INTERVAL_MS, this::removeExpired);
        votingConfiguration.addListener(() -> List.copyOf(shards.values()).forEach(KeyedShard::onVotingSetChange));
    }

    private void removeExpired() {
        shards.values().forEach(shard -> shard.removeExpired(retention.retentionMs()));
    }

    /** Whether an attempt of this process has no outcome yet, or its outcome is being recorded. */
    public boolean anyInProgress() {
        return ownAttempts.anyInProgress();
    }

    /** Tells another shield how an attempt of this process ended, as far as it has. */
    public void onOutcomeRequest(final OutcomeRequest request, final Consumer<Message> callback) {
        final long attemptId = request.attemptId();
        final KeyedEntry entry = ownAttempts
                .inProgress(attemptId)
                .or(() -> ownAttempts.unrecorded(attemptId))
                .orElse(null);
        if (entry != null && entry.outcome == null) {
            callback.accept(OutcomeResponse.ofAttemptInProgress());
        } else if (entry != null || ownAttempts.isNotSent(attemptId)) {
            callback.accept(new OutcomeResponse(endOf(request, entry)));
        } else {
            callback.accept(new OutcomeResponse(null));
        }
    }

    private static KeyedRecord endOf(final OutcomeRequest request, final KeyedEntry completed) {
        return new KeyedRecord(
                request.key(),
                0,
                FencingToken.ZERO,
                "",
                request.attemptId(),
                completed == null,
                completed == null ? null : completed.outcome);
    }

    public static ForwardResponse response(
            final RequestOutcome fate,
            final int status,
            final String reason,
            final FencingToken token,
            final long retryAfterMs) {
        return new ForwardResponse(fate, reason, status, token, Map.of(), new byte[0], 0, null, retryAfterMs);
    }

    /**
     * Executes a keyed request, or returns the recorded outcome of its key. A request that is cancelled before the
     * records are read is not executed; a later cancellation has no effect, and the request runs until its outcome is
     * recorded.
     *
     * @param maxWaitMs how long the request waits for the records to be read before it is rejected
     */
    public void handle(
            final KeyedRequest request,
            final long maxWaitMs,
            final Cancellation cancellation,
            final Send sendAction,
            final Consumer<ForwardResponse> callback) {
        final KeyedShard shard = shard(request.shard());
        shard.whenReady(
                maxWaitMs,
                () -> runUnlessCancelled(shard, request, cancellation, sendAction, callback),
                () -> callback.accept(response(
                        RequestOutcome.REFUSED, 503, "too few keepers could be read yet", shard.token(), 1000)));
    }

    private KeyedShard shard(final int shardNumber) {
        final FencingToken token = leases.token(shardNumber);
        final KeyedShard known = shards.get(shardNumber);
        if (known != null && !known.token().isBelow(token)) {
            return known;
        }
        final KeyedShard shard = new KeyedShard(
                shardNumber,
                token,
                loop,
                attemptId -> KeyedRecord.isSameProcess(attemptId, KeyedRecord.attemptId(reader, 0)),
                listener -> new RecordReader(
                        votingConfiguration,
                        loop,
                        transport,
                        storeHealth,
                        shardNumber,
                        token,
                        reader,
                        () -> leases.token(shardNumber).equals(token),
                        listener),
                () -> journal.add(Event.of(
                        EventCode.KEEP_SHORT,
                        "shard",
                        shardNumber,
                        "read",
                        shards.get(shardNumber).reader().completeReplicas().size())));
        shards.put(shardNumber, shard);
        if (known != null) {
            known.close();
        }
        return shard;
    }

    private void runUnlessCancelled(
            final KeyedShard shard,
            final KeyedRequest request,
            final Cancellation cancellation,
            final Send sendAction,
            final Consumer<ForwardResponse> callback) {
        switch (cancellation.poll()) {
            case CANCELLED ->
                callback.accept(response(RequestOutcome.REFUSED, 503, OriginDispatch.CANCELLED, shard.token(), 0));
            case UNCONFIRMED ->
                cancellation.onSettled(() -> runUnlessCancelled(shard, request, cancellation, sendAction, callback));
            case WANTED -> run(shard, request, sendAction, callback, true);
        }
    }

    /** {@code mayQuery}: whether others may be asked how an attempt ended of which only the intent is known. */
    private void run(
            final KeyedShard shard,
            final KeyedRequest request,
            final Send sendAction,
            final Consumer<ForwardResponse> callback,
            final boolean mayQuery) {
        final String key = request.key();
        final String digest = request.digest();
        final KeyedEntry found = shard.entries().get(key);
        if (found != null && mayQuery) {
            journalRepeat(shard, request, found);
        }
        final KeyedEntry known =
                found != null && found.notSent && !found.digest().equals(digest) ? null : found;
        if (known != null && !known.digest().equals(digest)) {
            callback.accept(differentBodyResponse(shard));
        } else if (known != null && known.hasBodyElsewhere()) {
            known.addWaiter(callback);
            fetchOutcome(shard, key, known);
        } else if (known != null && known.outcome != null) {
            callback.accept(completed(shard, known.outcome));
        } else if (known != null && known.inProgress) {
            known.addWaiter(callback);
        } else if (known != null && mayQuery && known.mayBeKnownElsewhere()) {
            known.awaitQuery(
                    () -> run(shard, request, sendAction, callback, false), () -> queryAttempt(request.key(), known));
        } else if (known != null && !known.notSent) {
            callback.accept(earlierAttemptResponse(shard));
        } else {
            final KeyedEntry entry = known == null ? new KeyedEntry(digest, loop.now()) : known;
            entry.addWaiter(callback);
            entry.requestId = request.requestId();
            shard.entries().put(key, entry);
            recordIntent(shard, key, entry, sendAction);
        }
    }

    /** Finds out how the attempt of an entry ended of which this holder knows no more than the intent. */
    private void queryAttempt(final String key, final KeyedEntry entry) {
        final long attemptId = entry.attemptId;
        final Consumer<AttemptQuery.Result> onResult = result -> entry.onQueried(attemptId, result, loop.now());
        final KeyedEntry own = ownAttempts.inProgress(attemptId).orElse(null);
        if (own != null) {
            own.addWaiter(response -> onResult.accept(resultOf(own, response)));
        } else if (ownAttempts.isNotSent(attemptId)) {
            onResult.accept(new AttemptQuery.Result(AttemptQuery.End.NOT_SENT, null));
        } else {
            new AttemptQuery(loop, transport, key, attemptId, onResult)
                    .start(otherShields.get(), List.copyOf(votingConfiguration.voters()));
        }
    }

    private static AttemptQuery.Result resultOf(final KeyedEntry own, final ForwardResponse response) {
        return switch (response.fate()) {
            case DONE -> new AttemptQuery.Result(AttemptQuery.End.COMPLETED, own.outcome);
            case REFUSED -> new AttemptQuery.Result(AttemptQuery.End.NOT_SENT, null);
            case UNKNOWN -> new AttemptQuery.Result(AttemptQuery.End.UNKNOWN, null);
        };
    }

    private void journalRepeat(final KeyedShard shard, final KeyedRequest request, final KeyedEntry entry) {
        journal.add(Event.of(
                EventCode.KEY_REPEATED,
                "shard",
                shard.number(),
                "token",
                shard.token().toString(),
                "key",
                request.key(),
                "request",
                request.requestId(),
                "attempt",
                entry.attemptId,
                "earlier",
                entry.state().name()));
    }

    private static ForwardResponse earlierAttemptResponse(final KeyedShard shard) {
        return response(RequestOutcome.UNKNOWN, 504, "outcome unknown: an earlier try may have run", shard.token(), 0);
    }

    private static ForwardResponse differentBodyResponse(final KeyedShard shard) {
        return response(RequestOutcome.REFUSED, 422, "the key was used with another body", shard.token(), 0);
    }

    /** Fetches the body of an outcome from the replicas, once for all requests that ask for the key meanwhile. */
    private void fetchOutcome(final KeyedShard shard, final String key, final KeyedEntry entry) {
        if (entry.fetching) {
            return;
        }
        entry.fetching = true;
        final List<NodeId> replicas = new ArrayList<>(votingConfiguration.voters());
        Collections.rotate(replicas, (int) (attemptSerial % replicas.size()));
        new OutcomeFetch(loop, transport, replicas, key, outcome -> {
                    entry.fetching = false;
                    if (outcome != null) {
                        entry.outcome = outcome;
                        entry.respond(completed(shard, outcome));
                    } else {
                        entry.respond(response(
                                RequestOutcome.UNKNOWN,
                                504,
                                "the key ran, but its outcome could not be fetched",
                                shard.token(),
                                500));
                    }
                })
                .start();
    }

    private static ForwardResponse completed(final KeyedShard shard, final KeyedOutcome outcome) {
        return new ForwardResponse(
                RequestOutcome.DONE,
                "",
                outcome.status(),
                shard.token(),
                outcome.headers(),
                outcome.body(),
                0,
                null,
                0);
    }

    private KeyedRecord recordOf(
            final KeyedShard shard, final String key, final KeyedEntry entry, final boolean notSent) {
        return new KeyedRecord(
                key,
                shard.number(),
                shard.token(),
                entry.digest(),
                entry.attemptId,
                notSent,
                notSent ? null : entry.outcome);
    }

    private void recordIntent(final KeyedShard shard, final String key, final KeyedEntry entry, final Send sendAction) {
        entry.begin(loop.now());
        entry.attemptId = KeyedRecord.attemptId(reader, ++attemptSerial);
        ownAttempts.begin(entry.attemptId, entry);
        entry.foreignRecord = null;
        writeRecord(shard, recordOf(shard, key, entry, false), INTENT_TIMEOUT_MILLIS, result -> {
            journalAttempt(
                    EventCode.INTENT_WRITTEN,
                    shard,
                    key,
                    entry,
                    "result",
                    result.status().name());
            if (entry.foreignRecord != null) {
                ownAttempts.end(entry.attemptId, true);
                yieldToForeign(shard, entry);
            } else if (result.status() == RecordWrite.Status.OUTRANKED) {
                ownAttempts.end(entry.attemptId, true);
                yieldToStanding(shard, key, entry, result.standing());
            } else if (!result.isStored()) {
                journal.add(Event.of(EventCode.KEEP_SHORT, "shard", shard.number(), "key", key));
                release(
                        shard,
                        key,
                        entry,
                        response(RequestOutcome.REFUSED, 503, "the intent could not be recorded", shard.token(), 1000));
            } else if (!leases.token(shard.number()).equals(shard.token())) {
                release(
                        shard,
                        key,
                        entry,
                        response(RequestOutcome.REFUSED, 503, "the right to send moved", shard.token(), 300));
            } else {
                sendAction.send(completion -> onCompletion(shard, key, entry, completion));
            }
        });
    }

    /**
     * Adopts an earlier attempt of this key by another process with the same token. That attempt takes precedence and
     * must not be marked as not sent.
     */
    private void yieldToForeign(final KeyedShard shard, final KeyedEntry entry) {
        entry.adopt(entry.foreignRecord, loop.now());
        entry.respond(earlierAttemptResponse(shard));
    }

    /**
     * Adopts an outcome or a later attempt of this key that a replica stores and that was unknown to this process. The
     * request is not sent; the waiting requests get the stored outcome if there is one.
     */
    private void yieldToStanding(
            final KeyedShard shard, final String key, final KeyedEntry entry, final KeyedRecord standing) {
        final boolean sameRequest = entry.digest().equals(standing.requestDigest());
        entry.adopt(standing, loop.now());
        if (!sameRequest) {
            entry.respond(differentBodyResponse(shard));
        } else if (entry.hasBodyElsewhere()) {
            fetchOutcome(shard, key, entry);
        } else {
            entry.respond(earlierAttemptResponse(shard));
        }
    }

    /**
     * Marks the attempt as not sent, here and at the replicas. This node may then execute the key later, and so may the
     * next lease holder if it reads the mark from a replica.
     */
    private void release(
            final KeyedShard shard, final String key, final KeyedEntry entry, final ForwardResponse response) {
        entry.end(true, loop.now());
        ownAttempts.end(entry.attemptId, true);
        final KeyedRecord keyedRecord = recordOf(shard, key, entry, true);
        final long epoch = votingConfiguration.epoch();
        votingConfiguration
                .voters()
                .forEach(replica -> transport.request(
                        replica,
                        new RecordWriteRequest(
                                epoch,
                                keyedRecord,
                                shard.reader().eraOf(replica).orElse(0)),
                        OUTCOME_TIMEOUT_MILLIS,
                        reply -> {}));
        entry.respond(response);
    }

    private void journalAttempt(
            final EventCode code,
            final KeyedShard shard,
            final String key,
            final KeyedEntry entry,
            final String factName,
            final String fact) {
        journal.add(Event.of(
                code,
                "shard",
                shard.number(),
                "token",
                shard.token().toString(),
                "key",
                key,
                "request",
                entry.requestId,
                "attempt",
                entry.attemptId,
                factName,
                fact));
    }

    private void onCompletion(
            final KeyedShard shard,
            final String key,
            final KeyedEntry entry,
            final OriginDispatcher.Completion completion) {
        journalAttempt(
                EventCode.KEYED_ENDED,
                shard,
                key,
                entry,
                "executed",
                completion.executionLevel().name());
        final OriginTransport.OriginResponse originResponse = completion.response();
        if (originResponse.result() == OriginTransport.ExchangeResult.COMPLETE) {
            entry.outcome = new KeyedOutcome(
                    originResponse.status(), EndToEndHeaders.of(originResponse.headers()), originResponse.body(), true);
            writeRecord(shard, recordOf(shard, key, entry, false), OUTCOME_TIMEOUT_MILLIS, result -> {
                ownAttempts.end(entry.attemptId, false);
                if (!result.isStored()) {
                    ownAttempts.keepUnrecorded(entry.attemptId, entry);
                }
                entry.end(false, loop.now());
                entry.respond(completed(shard, entry.outcome));
            });
        } else if (completion.mayHaveRun()) {
            ownAttempts.end(entry.attemptId, false);
            entry.end(false, loop.now());
            entry.respond(response(
                    RequestOutcome.UNKNOWN, 504, "outcome unknown: the origin's answer was lost", shard.token(), 0));
        } else {
            final long retryAfterMs = Math.max(1000, completion.retryAfterMs());
            release(
                    shard,
                    key,
                    entry,
                    response(RequestOutcome.REFUSED, 503, originResponse.reason(), shard.token(), retryAfterMs));
        }
    }

    private void writeRecord(
            final KeyedShard shard,
            final KeyedRecord keyedRecord,
            final long timeoutMs,
            final Consumer<RecordWrite.Result> callback) {
        new RecordWrite(
                        votingConfiguration,
                        loop,
                        transport,
                        storeHealth,
                        shard,
                        keyedRecord,
                        timeoutMs,
                        true,
                        callback)
                .start();
    }
}
