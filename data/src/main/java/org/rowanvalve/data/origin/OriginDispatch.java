package org.rowanvalve.data.origin;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.config.Service;
import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.request.ExecutionKnowledge;

/**
 * Sends one request to origins of its service until one has responded. It chooses the next origin, waits for a slot
 * and stays within this node's share of the rate. Each send uses one attempt of the request's allowance; each send but
 * the first also uses one retry of the service's budget.
 */
public final class OriginDispatch {
    /** The number of unreachable origins after which the request is given up. */
    private static final int MAX_UNREACHABLE = 6;

    private static final long RETRY_AFTER_MS = 1000;
    private static final long RETRY_AFTER_BUSY_MS = 250;
    /** The reasons, as edges receive them, of rejections that every node would give. */
    static final String ORIGINS_BUSY = "every origin is busy";

    private static final String NO_RIGHT_TO_SEND = "no held right to send";

    public static final String RATE_EXHAUSTED = "the rate of the service is spent";
    /** The reason of a request whose response nobody waits for any more. */
    public static final String CANCELLED = "the request was cancelled";

    private final OriginDispatcher dispatcher;
    private final OriginRequest request;
    private final Consumer<OriginDispatcher.Completion> callback;
    private final Set<ItemId> tried = new HashSet<>();
    private final long startedAt;
    private boolean finished;
    private boolean creditedFirst;
    private final ExecutionKnowledge knowledge = new ExecutionKnowledge();
    private int unreachable;
    /** The number of origins that may have received the request. */
    private int reached;

    /** Exchanges in progress, in the order of their start. */
    private final Set<OriginAttempt> openAttempts = new LinkedHashSet<>();
    /** Waits of committed attempts for a slot, for their turn within the rate, or for a confirmation by the caller. */
    private final Set<AttemptWait> waits = new LinkedHashSet<>();
    /** The number of retries that were taken from the budget and have not been sent yet. */
    private int unsentRetries;
    /**
     * The number of attempts that have been started but not sent: an origin is being chosen, or they wait for their
     * turn.
     */
    private int pendingAttempts;

    OriginDispatch(
            final OriginDispatcher dispatcher,
            final OriginRequest request,
            final Consumer<OriginDispatcher.Completion> callback) {
        this.dispatcher = dispatcher;
        this.request = request;
        this.callback = callback;
        this.startedAt = dispatcher.loop().now();
    }

    OriginRequest request() {
        return request;
    }

    boolean finished() {
        return finished;
    }

    /** What is known about the execution of the request through this node. */
    ExecutionKnowledge knowledge() {
        return knowledge;
    }

    private EventLoop loop() {
        return dispatcher.loop();
    }

    /** Returns whether a rejection for this reason applies to all nodes, so that trying another node is useless. */
    public static boolean noNodeCanSend(final String reason) {
        return reason.equals(ORIGINS_BUSY) || reason.equals(RATE_EXHAUSTED);
    }

    void start() {
        request.cancellation().onRequest(this::onCancelled);
        attempt(request.retry());
    }

    /** Returns whether a caller still waits for the response, as far as this node knows. */
    boolean isWanted() {
        return !finished && !request.cancellation().isRequested();
    }

    /** Returns whether the request may be sent. Called right before its bytes are written. */
    boolean maySend() {
        return !finished && request.cancellation().poll() == Cancellation.State.WANTED;
    }

    /**
     * Gives up all waiting attempts. If a request was sent that must finish, its response ends the request; otherwise
     * the request ends now and the exchanges in progress are aborted.
     */
    private void onCancelled() {
        if (finished) {
            return;
        }
        final boolean anySent = openAttempts.stream().anyMatch(OriginAttempt::mayHaveBeenSent);
        journalCancelled(anySent);
        List.copyOf(waits).forEach(AttemptWait::giveUp);
        if (anySent && request.whenCancelled() == OriginRequest.WhenCancelled.FINISH_SENT) {
            return;
        }
        finish(OriginTransport.OriginResponse.failure(failureResult(), CANCELLED), loop().now(), 0);
    }

    private OriginTransport.ExchangeResult failureResult() {
        return knowledge.mayHaveRun() ? OriginTransport.ExchangeResult.LOST : OriginTransport.ExchangeResult.NOT_SENT;
    }

    private void journalCancelled(final boolean anySent) {
        final String place =
                anySent ? "origin" : !openAttempts.isEmpty() ? "connecting" : waits.isEmpty() ? "attempt" : "queue";
        dispatcher
                .journal()
                .add(Event.of(
                        EventCode.CANCELLED,
                        "request",
                        request.request().requestId(),
                        "service",
                        request.service(),
                        "place",
                        place,
                        "cause",
                        request.cancellation().cause().code(),
                        "afterMs",
                        loop().now() - startedAt));
    }

    /**
     * Commits an attempt and sends it.
     *
     * @param isRetry whether an origin may have received the request before
     */
    private void attempt(final boolean isRetry) {
        pendingAttempts++;
        request.attempts().commit(granted -> {
            if (!granted) {
                pendingAttempts--;
                finishIfNothingPending("no attempt is left", RETRY_AFTER_MS);
            } else if (!isWanted()) {
                abandon(CANCELLED, 0);
            } else if (isRetry && !trySpendRetry()) {
                abandon("no extra try is left", RETRY_AFTER_MS);
            } else {
                creditedFirst |= isRetry;
                chooseOrigin();
            }
        });
    }

    void finish(final OriginTransport.OriginResponse response, final long sentAt, final long retryAfterMs) {
        if (!finished) {
            finished = true;
            cancelOpenAttempts();
            callback.accept(new OriginDispatcher.Completion(response, knowledge.mayHaveRun(), sentAt, retryAfterMs));
        }
    }

    /** Cancels the exchanges in progress, except at-most-once requests that may have been sent. */
    private void cancelOpenAttempts() {
        openAttempts.stream()
                .filter(attempt -> !request.atMostOnce() || !attempt.mayHaveBeenSent())
                .toList()
                .forEach(OriginAttempt::cancel);
    }

    private boolean trySpendRetry() {
        if (!dispatcher.trySpendRetry(request.service())) {
            return false;
        }
        unsentRetries++;
        return true;
    }

    /** Releases a committed attempt of which nothing was sent, together with its retry. */
    private void abandon(final String reason, final long retryAfterMs) {
        pendingAttempts--;
        request.attempts().release();
        if (unsentRetries > 0) {
            unsentRetries--;
            dispatcher.giveBackRetry(request.service());
        }
        finishIfNothingPending(reason, retryAfterMs);
    }

    private void finishIfNothingPending(final String reason, final long retryAfterMs) {
        if (openAttempts.isEmpty() && pendingAttempts == 0) {
            finish(OriginTransport.OriginResponse.failure(failureResult(), reason), loop().now(), retryAfterMs);
        }
    }

    private Map<ItemId, Origin> untriedOrigins() {
        final Map<ItemId, Origin> candidates = dispatcher.view().liveOrigins(request.service(), loop().now());
        candidates.keySet().removeAll(tried);
        candidates.entrySet().removeIf(entry -> dispatcher.load().hasEnded(entry.getKey(), entry.getValue()));
        return candidates;
    }

    /** Returns whether the request can leave the queue: an origin has a free slot, or there is nothing to wait for. */
    private boolean canLeaveQueue() {
        final Map<ItemId, Origin> candidates = untriedOrigins();
        return !isWanted()
                || dispatcher.isRevoked(request.shard())
                || candidates.isEmpty()
                || dispatcher.load().anyAvailable(candidates, loop().now());
    }

    /** Chooses an origin for a committed attempt. */
    private void chooseOrigin() {
        if (!isWanted()) {
            abandon(CANCELLED, 0);
            return;
        }
        final Map<ItemId, Origin> candidates = untriedOrigins();
        final Service service = dispatcher.view().service(request.service());
        if (dispatcher.isRevoked(request.shard())) {
            abandon(NO_RIGHT_TO_SEND, RETRY_AFTER_MS);
        } else if (service == null) {
            abandon("the service is no longer configured", 0);
        } else if (candidates.isEmpty()) {
            abandon("no origin of the service is known or left to try", RETRY_AFTER_MS);
        } else {
            reserveAndSend(service, candidates, loop().now());
        }
    }

    private void reserveAndSend(final Service service, final Map<ItemId, Origin> candidates, final long now) {
        final Map<ItemId, Long> ages = new HashMap<>();
        candidates.keySet().forEach(id -> ages.put(id, now - dispatcher.view().learnedAt(id)));
        final List<ItemId> preferred = dispatcher.load().preferred(candidates, ages, now).stream()
                .filter(id -> dispatcher.load().hasFreeSlot(id, candidates.get(id), now))
                .toList();
        if (preferred.isEmpty()) {
            enqueue(candidates, now);
            return;
        }
        if (service.ratePerOrigin() > 0 || service.rateLimit() > 0) {
            dispatcher.demand().add(request.service(), request.shard());
        }
        long earliestRetryMs = Long.MAX_VALUE;
        for (final ItemId id : preferred) {
            final OptionalLong waitMs = dispatcher.rateLimitShare().reserve(service, id, request, now);
            if (waitMs.isPresent() && dispatcher.mayWaitForRate()) {
                waitForRate(service, id, waitMs.getAsLong());
                return;
            }
            earliestRetryMs =
                    Math.min(earliestRetryMs, dispatcher.rateLimitShare().retryAfterMs(id, now));
        }
        abandon(RATE_EXHAUSTED, Math.max(RETRY_AFTER_MS, earliestRetryMs));
    }

    /** Queues a request for which no origin has a free slot, or rejects it at once if its turn would come too late. */
    private void enqueue(final Map<ItemId, Origin> candidates, final long now) {
        final WaitQueue waitQueue = dispatcher.waitQueue();
        final double meanMs = dispatcher.load().meanMs(candidates, now);
        final int slots = candidates.values().stream().mapToInt(Origin::slots).sum();
        final double expectedWaitMs = (waitQueue.countAhead(request.service(), request.priority()) + 1)
                * meanMs
                * dispatcher.senderCount()
                / Math.max(1, slots);
        final long maxWaitMs = request.deadline() - now - (long) meanMs;
        if (expectedWaitMs > maxWaitMs || waitQueue.isFull(request.service())) {
            abandon(ORIGINS_BUSY, (long) Math.max(RETRY_AFTER_BUSY_MS, Math.min(RETRY_AFTER_MS, expectedWaitMs)));
            return;
        }
        await(new SlotWait(dispatcher, request, maxWaitMs, this::canLeaveQueue), this::chooseOrigin);
    }

    private void await(final AttemptWait wait, final Runnable onTurn) {
        waits.add(wait);
        wait.begin(end -> {
            waits.remove(wait);
            switch (end) {
                case TURN -> onTurn.run();
                case TIMED_OUT -> abandon(ORIGINS_BUSY, RETRY_AFTER_BUSY_MS);
                case GIVEN_UP -> abandon(CANCELLED, 0);
            }
        });
    }

    private void waitForRate(final Service service, final ItemId id, final long waitMs) {
        if (waitMs <= 0) {
            sendIfPermitted(id);
        } else {
            await(new RateWait(dispatcher, request, service, id, waitMs), () -> sendIfPermitted(id));
        }
    }

    private void sendIfPermitted(final ItemId id) {
        final Origin origin =
                dispatcher.view().liveOrigins(request.service(), loop().now()).get(id);
        final Cancellation.State standing = request.cancellation().poll();
        if (finished || standing == Cancellation.State.CANCELLED) {
            abandon(CANCELLED, 0);
        } else if (loop().now() >= request.deadline()) {
            abandon("too late to send", RETRY_AFTER_MS);
        } else if (standing == Cancellation.State.UNCONFIRMED) {
            await(new ConfirmationWait(dispatcher, request), () -> sendIfPermitted(id));
        } else if (!dispatcher.maySend(request.shard(), request.service())) {
            abandon(NO_RIGHT_TO_SEND, RETRY_AFTER_MS);
        } else if (origin == null) {
            tried.add(id);
            chooseOrigin();
        } else {
            tried.add(id);
            send(id, origin);
        }
    }

    private void send(final ItemId id, final Origin origin) {
        pendingAttempts--;
        unsentRetries = Math.max(0, unsentRetries - 1);
        if (!creditedFirst) {
            dispatcher.recordFirst(request.service());
        }
        creditedFirst = true;
        final boolean isRetry = request.retry() || reached > 0;
        reached++;
        final OriginAttempt attempt = new OriginAttempt(dispatcher, this, id, origin);
        openAttempts.add(attempt);
        attempt.send(isRetry);
    }

    /**
     * Hedges a slow request: an idempotent request without a timely response is also sent to another origin, and the
     * first response is used.
     */
    void onSlow() {
        if (isWanted() && !request.atMostOnce() && pendingAttempts == 0 && loop().now() < request.deadline()) {
            attempt(true);
        }
    }

    /** Removes an exchange that has ended; no further result of it can arrive. */
    void onClosed(final OriginAttempt attempt) {
        openAttempts.remove(attempt);
    }

    void onEnd(final OriginTransport.OriginResponse response, final ItemId id, final Origin origin, final long sentAt) {
        if (response.result() == OriginTransport.ExchangeResult.NOT_PERMITTED) {
            onNotPermitted(response, id);
            return;
        }
        final boolean atMostOnce = request.atMostOnce();
        final boolean mayRun = response.result() == OriginTransport.ExchangeResult.LOST
                || response.result() == OriginTransport.ExchangeResult.INVALID;
        if (response.result() == OriginTransport.ExchangeResult.WRONG_INSTANCE) {
            dispatcher.load().onInstanceEnded(id, origin);
        }
        if (response.result() != OriginTransport.ExchangeResult.COMPLETE
                && response.result() != OriginTransport.ExchangeResult.NOT_EXECUTED) {
            dispatcher.load().onFailure(id, loop().now());
        }
        if (response.result() == OriginTransport.ExchangeResult.COMPLETE || mayRun && atMostOnce) {
            finish(response, sentAt, 0);
        } else if (response.result() == OriginTransport.ExchangeResult.NOT_SENT) {
            onUnreachable(response, sentAt);
        } else {
            tryAnother(response, sentAt);
        }
    }

    /**
     * Handles an exchange whose bytes were not permitted to be written, so that nothing was sent. Another origin is
     * tried at once if this node may still send the request.
     */
    private void onNotPermitted(final OriginTransport.OriginResponse response, final ItemId id) {
        pendingAttempts++;
        reached--;
        if (request.cancellation().poll() == Cancellation.State.UNCONFIRMED) {
            tried.remove(id);
        }
        if (dispatcher.maySend(request.shard(), request.service()) && loop().now() < request.deadline()) {
            chooseOrigin();
        } else {
            abandon(response.reason(), RETRY_AFTER_MS);
        }
    }

    /**
     * Handles an unreachable origin. It received no request, so the attempt is still unused and the next send is no
     * retry.
     */
    private void onUnreachable(final OriginTransport.OriginResponse response, final long sentAt) {
        pendingAttempts++;
        reached--;
        if (loop().now() < request.deadline() && ++unreachable < MAX_UNREACHABLE) {
            chooseOrigin();
            return;
        }
        pendingAttempts--;
        request.attempts().release();
        finishUnlessOpen(response, sentAt);
    }

    private void tryAnother(final OriginTransport.OriginResponse response, final long sentAt) {
        if (pendingAttempts > 0) {
            return;
        }
        if (!isWanted() || loop().now() >= request.deadline()) {
            finishUnlessOpen(response, sentAt);
            return;
        }
        pendingAttempts++;
        request.attempts().commit(granted -> {
            if (!granted) {
                pendingAttempts--;
                finishUnlessOpen(response, sentAt);
            } else if (!isWanted()) {
                abandon(CANCELLED, 0);
            } else if (!trySpendRetry()) {
                pendingAttempts--;
                request.attempts().release();
                finishUnlessOpen(response, sentAt);
            } else {
                chooseOrigin();
            }
        });
    }

    private void finishUnlessOpen(final OriginTransport.OriginResponse response, final long sentAt) {
        if (openAttempts.isEmpty() && pendingAttempts == 0) {
            finish(
                    response,
                    sentAt,
                    response.result() == OriginTransport.ExchangeResult.NOT_EXECUTED
                            ? RETRY_AFTER_BUSY_MS
                            : RETRY_AFTER_MS);
        }
    }
}
