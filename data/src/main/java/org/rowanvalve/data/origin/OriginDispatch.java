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

/**
 * One request on its way from this node to origins of its service: which origin next, in turn and within the share of
 * the rate, until one has answered. Each send needs an attempt of the request's allowance, each but the first also one
 * of the service's retry budget.
 */
public final class OriginDispatch {
    /** How many origins may be unreachable before it is given up. */
    private static final int MAX_UNREACHABLE = 6;

    private static final long RETRY_AFTER_MS = 1000;
    /** Rejections that every node would give: the reasons that edges see. */
    static final String ORIGINS_BUSY = "every origin is busy";

    public static final String RATE_EXHAUSTED = "the rate of the service is spent";
    /** Nobody waits for the response any more. */
    public static final String CANCELLED = "the request was cancelled";

    private final OriginDispatcher dispatcher;
    private final OriginRequest request;
    private final Consumer<OriginDispatcher.Completion> callback;
    private final Set<ItemId> tried = new HashSet<>();
    private final long startedAt;
    private boolean finished;
    private boolean creditedFirst;
    private boolean mayHaveRun;
    private int unreachable;
    /** Origins that may have got it. */
    private int reached;

    /** Sends under way, in their order. */
    private final Set<OriginAttempt> openSends = new LinkedHashSet<>();
    /** Committed attempts that wait for a slot, for their turn within the rate, or to be confirmed. */
    private final Set<AttemptWait> waits = new LinkedHashSet<>();
    /** Retries that were taken from the budget and are not sent yet. */
    private int unsentRetries;
    /** Attempts for which an origin is being looked for, or which wait for their turn. */
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

    private EventLoop loop() {
        return dispatcher.loop();
    }

    /** Whether a rejection for this reason holds for all nodes, so that asking another one is of no use. */
    public static boolean noNodeCanSend(final String reason) {
        return reason.equals(ORIGINS_BUSY) || reason.equals(RATE_EXHAUSTED);
    }

    void start() {
        request.cancellation().onRequest(this::onCancelled);
        attempt(request.retry());
    }

    /** Whether somebody still waits for the response, as far as this node knows. */
    boolean isWanted() {
        return !finished && !request.cancellation().isRequested();
    }

    /** Whether the request may be sent; asked right before its bytes leave. */
    boolean maySend() {
        return !finished && request.cancellation().poll() == Cancellation.Standing.WANTED;
    }

    /** What waits is given up; what was sent is aborted, or decides how the request ends. */
    private void onCancelled() {
        if (finished) {
            return;
        }
        final boolean someSent = openSends.stream().anyMatch(OriginAttempt::mayHaveLeft);
        journalCancelled(someSent);
        List.copyOf(waits).forEach(AttemptWait::giveUp);
        if (someSent && request.whenCancelled() == OriginRequest.WhenCancelled.FINISH_SENT) {
            return;
        }
        final boolean mayRun = mayHaveRun || someSent;
        final OriginTransport.ExchangeResult result =
                mayRun ? OriginTransport.ExchangeResult.LOST : OriginTransport.ExchangeResult.NOT_SENT;
        finish(OriginTransport.OriginResponse.without(result, CANCELLED), mayRun, loop().now(), 0);
    }

    private void journalCancelled(final boolean someSent) {
        final String place =
                someSent ? "origin" : !openSends.isEmpty() ? "connecting" : waits.isEmpty() ? "attempt" : "queue";
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

    /** Commits an attempt and sends it; {@code isRetry}: an origin may have got the request before. */
    private void attempt(final boolean isRetry) {
        pendingAttempts++;
        request.attempts().commit(granted -> {
            if (!granted) {
                pendingAttempts--;
                noneLeft("no attempt is left", RETRY_AFTER_MS);
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

    void finish(
            final OriginTransport.OriginResponse response,
            final boolean mayRun,
            final long sentAt,
            final long retryAfterMs) {
        if (!finished) {
            finished = true;
            cancelOpenSends();
            callback.accept(new OriginDispatcher.Completion(response, mayRun, sentAt, retryAfterMs));
        }
    }

    /** Nothing that was sent and may run once is broken off. */
    private void cancelOpenSends() {
        openSends.stream()
                .filter(attempt -> !request.atMostOnce() || !attempt.mayHaveLeft())
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

    /** The committed attempt is not made: nothing of it was sent. */
    private void abandon(final String reason, final long retryAfterMs) {
        pendingAttempts--;
        request.attempts().release();
        if (unsentRetries > 0) {
            unsentRetries--;
            dispatcher.giveBackRetry(request.service());
        }
        noneLeft(reason, retryAfterMs);
    }

    private void noneLeft(final String reason, final long retryAfterMs) {
        if (openSends.isEmpty() && pendingAttempts == 0) {
            final OriginTransport.ExchangeResult end =
                    mayHaveRun ? OriginTransport.ExchangeResult.LOST : OriginTransport.ExchangeResult.NOT_SENT;
            finish(OriginTransport.OriginResponse.without(end, reason), mayHaveRun, loop().now(), retryAfterMs);
        }
    }

    private Map<ItemId, Origin> untriedOrigins() {
        final Map<ItemId, Origin> candidates = dispatcher.view().liveOrigins(request.service(), loop().now());
        candidates.keySet().removeAll(tried);
        candidates.entrySet().removeIf(entry -> dispatcher.load().hasEnded(entry.getKey(), entry.getValue()));
        return candidates;
    }

    /** Whether it can leave the queue: to an origin with a free slot, or because there is nothing to wait for. */
    private boolean canLeaveQueue() {
        final Map<ItemId, Origin> candidates = untriedOrigins();
        return !isWanted() || candidates.isEmpty() || dispatcher.load().anyAvailable(candidates, loop().now());
    }

    /** For an attempt that is committed: looks for an origin. */
    private void chooseOrigin() {
        if (!isWanted()) {
            abandon(CANCELLED, 0);
            return;
        }
        final Map<ItemId, Origin> candidates = untriedOrigins();
        final Service service = dispatcher.view().service(request.service());
        if (service == null) {
            abandon("the service is no longer configured", 0);
        } else if (candidates.isEmpty()) {
            abandon("no origin of the service is known or left to try", RETRY_AFTER_MS);
        } else {
            offerTo(service, candidates, loop().now());
        }
    }

    private void offerTo(final Service service, final Map<ItemId, Origin> candidates, final long now) {
        final Map<ItemId, Long> ages = new HashMap<>();
        candidates.keySet().forEach(id -> ages.put(id, now - dispatcher.view().learnedAt(id)));
        final List<ItemId> preferred = dispatcher.load().preferred(candidates, ages, now).stream()
                .filter(id -> dispatcher.load().hasRoom(id, candidates.get(id), now))
                .toList();
        if (preferred.isEmpty()) {
            enqueue(candidates, now);
            return;
        }
        if (service.ratePerOrigin() > 0 || service.rateLimit() > 0) {
            dispatcher.demand().add(request.service(), request.shard());
        }
        long soonest = Long.MAX_VALUE;
        for (final ItemId id : preferred) {
            final OptionalLong waitMs = dispatcher.rateLimitShare().reserve(service, id, request, now);
            if (waitMs.isPresent() && dispatcher.mayWaitForRate()) {
                waitForRate(service, id, waitMs.getAsLong());
                return;
            }
            soonest = Math.min(soonest, dispatcher.rateLimitShare().retryAfterMs(id, now));
        }
        abandon(RATE_EXHAUSTED, Math.max(RETRY_AFTER_MS, soonest));
    }

    /** No origin has a free slot: it waits its turn, or is rejected at once where the turn would come too late. */
    private void enqueue(final Map<ItemId, Origin> candidates, final long now) {
        final WaitQueue waitQueue = dispatcher.waitQueue();
        final double meanMs = dispatcher.load().meanMs(candidates, now);
        final int slots = candidates.values().stream().mapToInt(Origin::slots).sum();
        final double expected = (waitQueue.countAhead(request.service(), request.priority()) + 1)
                * meanMs
                * dispatcher.senderCount()
                / Math.max(1, slots);
        final long maxWaitMs = request.deadline() - now - (long) meanMs;
        if (expected > maxWaitMs || waitQueue.isFull(request.service())) {
            abandon(ORIGINS_BUSY, (long) Math.max(250, Math.min(RETRY_AFTER_MS, expected)));
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
                case TIMED_OUT -> abandon(ORIGINS_BUSY, 250);
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
        final Cancellation.Standing standing = request.cancellation().poll();
        if (finished || standing == Cancellation.Standing.CANCELLED) {
            abandon(CANCELLED, 0);
        } else if (loop().now() >= request.deadline()) {
            abandon("too late to send", RETRY_AFTER_MS);
        } else if (standing == Cancellation.Standing.UNCONFIRMED) {
            await(new ConfirmationWait(dispatcher, request), () -> sendIfPermitted(id));
        } else if (!dispatcher.mayUse(request.shard(), request.service())) {
            abandon("no held right to send", RETRY_AFTER_MS);
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
        openSends.add(attempt);
        attempt.send(isRetry);
    }

    /**
     * Hedging: an idempotent request that is not answered for long is sent elsewhere too, and the first response
     * counts.
     */
    void onSlow() {
        if (isWanted() && !request.atMostOnce() && pendingAttempts == 0 && loop().now() < request.deadline()) {
            attempt(true);
        }
    }

    /** One send has ended, and nothing else of it can come. */
    void onClosed(final OriginAttempt attempt) {
        openSends.remove(attempt);
    }

    void onEnd(final OriginTransport.OriginResponse response, final ItemId id, final Origin origin, final long sentAt) {
        if (response.result() == OriginTransport.ExchangeResult.NOT_PERMITTED) {
            onBarred(response, id);
            return;
        }
        final boolean atMostOnce = request.atMostOnce();
        final boolean mayRun = response.result() == OriginTransport.ExchangeResult.LOST
                || response.result() == OriginTransport.ExchangeResult.INVALID;
        mayHaveRun |= mayRun;
        if (response.result() == OriginTransport.ExchangeResult.WRONG_INSTANCE) {
            dispatcher.load().onInstanceEnded(id, origin);
        }
        if (response.result() != OriginTransport.ExchangeResult.COMPLETE
                && response.result() != OriginTransport.ExchangeResult.NOT_EXECUTED) {
            dispatcher.load().onFailure(id, loop().now());
        }
        if (response.result() == OriginTransport.ExchangeResult.COMPLETE || mayRun && atMostOnce) {
            finish(response, true, sentAt, 0);
        } else if (response.result() == OriginTransport.ExchangeResult.NOT_SENT) {
            onUnreachable(response, sentAt);
        } else {
            tryAnother(response, sentAt);
        }
    }

    /** Nothing was sent: another origin may be asked at once if only this one is unavailable. */
    private void onBarred(final OriginTransport.OriginResponse response, final ItemId id) {
        pendingAttempts++;
        reached--;
        if (request.cancellation().poll() == Cancellation.Standing.UNCONFIRMED) {
            tried.remove(id);
        }
        if (dispatcher.mayUse(request.shard(), request.service()) && loop().now() < request.deadline()) {
            chooseOrigin();
        } else {
            abandon(response.reason(), RETRY_AFTER_MS);
        }
    }

    /** An origin that could not be reached got no request: its attempt is still to be made, and is no retry. */
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
        if (openSends.isEmpty() && pendingAttempts == 0) {
            finish(
                    response,
                    mayHaveRun,
                    sentAt,
                    response.result() == OriginTransport.ExchangeResult.NOT_EXECUTED ? 250 : RETRY_AFTER_MS);
        }
    }
}
