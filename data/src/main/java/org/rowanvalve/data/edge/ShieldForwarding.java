package org.rowanvalve.data.edge;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.message.ForwardRequest;
import org.rowanvalve.common.message.ForwardResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.CancelCause;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.control.config.ConfiguredRoute;
import org.rowanvalve.control.config.RouteMode;
import org.rowanvalve.control.placement.PlacementPlan;
import org.rowanvalve.data.origin.OriginDispatch;
import org.rowanvalve.data.origin.OriginRequest;
import org.rowanvalve.data.origin.OriginTransport;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.data.request.ExecutionKnowledge;
import org.rowanvalve.data.request.RequestFailure;
import org.rowanvalve.data.routing.ShardRouting;

/**
 * Forwards a request from an edge to shields: to the lease holder of the request's shard if the request needs a lease,
 * otherwise to any shield. Counts the attempts of the request over all nodes.
 */
final class ShieldForwarding {
    /** The time without a message after which a shield is skipped, in ms. */
    private static final long MAX_SILENCE_MS = 650;

    private static final long WATCH_INTERVAL_MS = 100;
    /** The fraction of its time-out during which a keyed request is retried while no shield may send it. */
    private static final double KEYED_RETRY_FRACTION = 0.4;
    /**
     * The fraction of its latency target for which a read waits at most for a lease holder that may not fill the object yet.
     */
    private static final double HOLDER_WAIT_FRACTION = 0.25;

    /** The maximum wait for the lease holder if the route has no latency target, in ms. */
    private static final long DEFAULT_HOLDER_WAIT_MS = 400;

    private static final int MAX_HOLDER_REQUESTS = 3;
    private final Edge edge;
    private final EdgeRequest request;
    private final ClientRequest clientRequest;
    private final ConfiguredRoute route;
    private final long deadline;
    private final long marginMs;
    private final RequestAttempts attempts;
    private final Set<NodeId> askedShields = new HashSet<>();
    /** The number of times the request was forwarded to shields. */
    private int requestsSent;
    /** The number of pass-through forwards without a response. */
    private int openPassThroughs;
    /** Whether the request is passed through without a lease. */
    private boolean passingThrough;
    /** The shields of the forwards without a response, by serial. */
    private final Map<Long, NodeId> openForwards = new LinkedHashMap<>();

    private final DirectForwarding direct;

    ShieldForwarding(final Edge edge, final EdgeRequest request) {
        this.edge = edge;
        this.request = request;
        this.clientRequest = request.request();
        this.route = request.route();
        this.deadline = request.deadline();
        this.marginMs = request.marginMs();
        this.attempts = new RequestAttempts(route.route().maxAttempts());
        this.direct = new DirectForwarding(edge, request, attempts);
    }

    /** The current place of the request, as events name it. */
    String place() {
        if (!openForwards.isEmpty()) {
            return "shield";
        }
        return direct.isUnderWay() ? "direct" : "edge";
    }

    /** Whether a shield has the request, or this node is sending it to an origin. */
    boolean isUnderWay() {
        return !openForwards.isEmpty() || direct.isUnderWay();
    }

    /** Cancels all forwards and direct attempts that have not been answered. */
    void cancelOpenForwards(final CancelCause cause) {
        openForwards.forEach((serial, shield) -> edge.sendCancel(shield, serial, cause));
        direct.cancel(cause);
    }

    private long now() {
        return edge.loop().now();
    }

    private boolean hasMode(final RouteMode mode) {
        return request.hasMode(mode);
    }

    private boolean mayUseAnyShield() {
        return route.route().anyShield();
    }

    private void finish(final RequestFailure failure) {
        request.failAll(failure);
        cancelOpenForwards(CancelCause.ANSWERED);
    }

    void start() {
        if (mayUseAnyShield()
                && !hasMode(RouteMode.KEYED)
                && !(hasMode(RouteMode.CACHED) && clientRequest.method().equals("GET"))) {
            passThrough(new RequestFailure(503, "no shield is heard of", 300));
        } else {
            forwardToHolder(new RequestFailure(503, "no attempt is left", 1000));
        }
    }

    /**
     * Forwards the request to the lease holder of its shard.
     *
     * @param lastFailure how the request ends if no attempt is left
     */
    private void forwardToHolder(final RequestFailure lastFailure) {
        if (!attempts.anyLeft() && !hasMode(RouteMode.KEYED)) {
            finish(lastFailure);
            return;
        }
        final int shard = ShardRouting.shardOf(
                route,
                clientRequest.path(),
                clientRequest.key(),
                edge.shards(),
                edge.routing().regionCount(),
                edge.routing().region());
        if (shard >= edge.view().plan().assignments().size()) {
            onNoHolder(new RequestFailure(503, "no plan is known yet", 500));
            return;
        }
        final PlacementPlan.Assignment assignment =
                edge.view().plan().assignments().get(shard);
        edge.recordToken(shard, assignment.token());
        if (!edge.routing().isHeard(assignment.ownerId())
                || mayUseAnyShield() && edge.routing().silenceMs(assignment.ownerId()) > MAX_SILENCE_MS) {
            onNoHolder(new RequestFailure(503, "the holder is not heard of", 1000));
            return;
        }
        requestsSent++;
        request.renewVersions();
        final long sentAt = now();
        forward(
                assignment.ownerId(),
                shard,
                false,
                Math.max(100, deadline - sentAt),
                reply -> onHolderResponse(shard, sentAt, reply));
        if (mayUseAnyShield() && hasMode(RouteMode.CACHED)) {
            final int requestNumber = requestsSent;
            watchShield(assignment.ownerId(), sentAt, () -> passingThrough || requestsSent != requestNumber);
        }
    }

    private void forward(
            final NodeId shield,
            final int shard,
            final boolean passThrough,
            final long timeoutMs,
            final Consumer<Reply> callback) {
        if (request.finished() || request.isAbandoned()) {
            finish(EdgeRequest.CLIENT_HAS_LEFT);
            return;
        }
        final boolean isRetry = attempts.anyUsed();
        final Forward forward = new Forward(request, attempts, shield);
        final long serial = edge.openForward(forward);
        openForwards.put(serial, shield);
        request.knowledge().beginSend();
        edge.transport()
                .request(
                        shield,
                        forwardRequest(serial, shard, passThrough, isRetry, forward.reserved()),
                        timeoutMs,
                        reply -> {
                            edge.closeForward(serial);
                            openForwards.remove(serial);
                            request.knowledge().endSend(executionLevel(reply));
                            if (reply.failure() == Reply.Failure.NO_RESPONSE) {
                                edge.sendCancel(shield, serial, CancelCause.ANSWERED);
                            }
                            forward.settle(reply);
                            reply.as(ForwardResponse.class)
                                    .filter(ForwardResponse::isBehind)
                                    .ifPresent(refusal -> journalBehind(shield));
                            callback.accept(reply);
                        });
    }

    private void journalBehind(final NodeId shield) {
        edge.journal()
                .add(Event.of(
                        EventCode.SHIELD_BEHIND,
                        "request",
                        clientRequest.requestId(),
                        "route",
                        route.name(),
                        "ver",
                        request.routeVersion(),
                        "shield",
                        shield.text()));
    }

    private ForwardRequest forwardRequest(
            final long serial,
            final int shard,
            final boolean passThrough,
            final boolean isRetry,
            final int reservedAttempts) {
        return new ForwardRequest(
                serial,
                route.name(),
                clientRequest.method(),
                clientRequest.host(),
                clientRequest.path(),
                shard,
                shard < 0 ? null : edge.highestToken(shard),
                passThrough ? null : request.versions(),
                clientRequest.key(),
                clientRequest.body(),
                clientRequest.contentType(),
                Math.max(marginMs > 100 ? 100 : 1, deadline - now() - marginMs),
                clientRequest.requestId(),
                passThrough,
                isRetry,
                clientRequest.headers(),
                reservedAttempts,
                edge.incarnation(),
                request.routeVersion(),
                edge.isViewFresh() ? request.service() : null);
    }

    /**
     * Watches a forward without a response. If the shield falls silent before the deadline, another shield passes the request
     * through, unless the request is at-most-once; the first response is delivered.
     */
    private void watchShield(final NodeId shield, final long sentAt, final BooleanSupplier answered) {
        edge.loop().schedule(WATCH_INTERVAL_MS, () -> {
            if (request.finished()
                    || answered.getAsBoolean()
                    || hasMode(RouteMode.AT_MOST_ONCE)
                    || now() + WATCH_INTERVAL_MS >= deadline) {
                return;
            }
            if (edge.routing().silenceMs(shield) > MAX_SILENCE_MS
                    && now() - sentAt > 2 * WATCH_INTERVAL_MS
                    && attempts.anyLeft()) {
                passThrough(new RequestFailure(503, "the shield is silent", 100));
            } else {
                watchShield(shield, sentAt, answered);
            }
        });
    }

    /** Forwards the request to any shield, for requests that need no lease or whose lease holder cannot fill the object. */
    void passThrough(final RequestFailure fallback) {
        passingThrough = true;
        final NodeId shield = edge.routing().nearestShields().stream()
                .filter(id -> !askedShields.contains(id) && edge.routing().silenceMs(id) <= MAX_SILENCE_MS)
                .findFirst()
                .orElse(null);
        final boolean tooLate = now() + marginMs >= deadline;
        if (shield == null
                && !attempts.anyUsed()
                && openPassThroughs == 0
                && edge.routing().directDispatcher() != null
                && !tooLate) {
            sendDirectly(fallback);
            return;
        }
        if (shield == null || tooLate || !attempts.anyLeft()) {
            if (openPassThroughs == 0 || shield == null && !hasMode(RouteMode.AT_MOST_ONCE)) {
                finish(fallback);
            }
            return;
        }
        askedShields.add(shield);
        requestsSent++;
        openPassThroughs++;
        final long sentAt = now();
        final boolean[] answered = {false};
        forward(shield, OriginRequest.NO_SHARD, true, Math.max(50, deadline - sentAt), reply -> {
            openPassThroughs--;
            answered[0] = true;
            onPassThroughResponse(sentAt, reply);
        });
        watchShield(shield, sentAt, () -> answered[0]);
    }

    /** Sends the request from this node to an origin, because no shield is reachable. */
    private void sendDirectly(final RequestFailure fallback) {
        request.knowledge().beginSend();
        final long sentAt = now();
        direct.send(completion -> {
            request.knowledge().endSend(completion.executionLevel());
            if (completion.response().result() == OriginTransport.ExchangeResult.COMPLETE) {
                deliver(sentAt, DirectForwarding.completed(completion.response()));
            } else {
                finish(
                        completion.mayHaveRun()
                                ? RequestFailure.unanswered(
                                        completion.response().reason())
                                : fallback);
            }
        });
    }

    /** Handles the response of a shield to a pass-through forward. */
    private void onPassThroughResponse(final long sentAt, final Reply reply) {
        if (request.finished()) {
            return;
        }
        final ForwardResponse filled = reply.as(ForwardResponse.class).orElse(null);
        if (filled == null) {
            if (reply.failure() == Reply.Failure.NOT_SENT) {
                passThrough(new RequestFailure(503, "no shield can be reached", 300));
            } else if (!hasMode(RouteMode.AT_MOST_ONCE)) {
                passThrough(RequestFailure.unanswered("no shield answered"));
            } else {
                finish(RequestFailure.unanswered("the shield did not answer"));
            }
        } else if (filled.fate() == RequestOutcome.DONE) {
            deliver(sentAt, filled);
        } else if (filled.fate() == RequestOutcome.REFUSED
                && filled.status() == 503
                && filled.retryAfterMs() == 500
                && askedShields.size() < 3) {
            passThrough(new RequestFailure(filled.status(), filled.reason(), filled.retryAfterMs()));
        } else if (openPassThroughs == 0) {
            finish(
                    filled.fate() == RequestOutcome.REFUSED
                            ? new RequestFailure(filled.status(), filled.reason(), filled.retryAfterMs())
                            : RequestFailure.unanswered(filled.reason()));
        }
    }

    /** What a shield's response, or its absence, says about the execution of the request. */
    private static ExecutionKnowledge.Level executionLevel(final Reply reply) {
        if (reply.failure() == Reply.Failure.NOT_SENT) {
            return ExecutionKnowledge.Level.NOT_SENT;
        }
        return reply.as(ForwardResponse.class)
                .map(response -> switch (response.fate()) {
                    case DONE -> ExecutionKnowledge.Level.DONE;
                    case REFUSED -> ExecutionKnowledge.Level.NOT_SENT;
                    case UNKNOWN -> ExecutionKnowledge.Level.MAY_HAVE_RUN;
                })
                .orElse(ExecutionKnowledge.Level.MAY_HAVE_RUN);
    }

    /**
     * Handles the absence of a usable lease holder: a read is passed through and a keyed request is retried if the route
     * permits any shield.
     */
    private void onNoHolder(final RequestFailure fallback) {
        if (!passingThrough && mayUseAnyShield() && hasMode(RouteMode.CACHED)) {
            passThrough(fallback);
        } else if (mayUseAnyShield() && hasMode(RouteMode.KEYED)) {
            retry(fallback);
        } else {
            finish(fallback);
        }
    }

    private void onHolderResponse(final int shard, final long sentAt, final Reply reply) {
        if (request.finished()) {
            return;
        }
        final ForwardResponse filled = reply.as(ForwardResponse.class).orElse(null);
        if (filled == null) {
            onMissingHolderResponse(reply.failure());
        } else if (filled.fate() == RequestOutcome.REFUSED) {
            onRefused(filled);
        } else if (filled.token().isBelow(edge.highestToken(shard)) && !isOnlyExecution(filled)) {
            onStaleToken(shard, filled);
        } else {
            edge.recordToken(shard, filled.token());
            if (filled.fate() == RequestOutcome.UNKNOWN) {
                finish(RequestFailure.unanswered(filled.reason()));
            } else {
                deliver(sentAt, filled);
            }
        }
    }

    /**
     * Whether a response is that of the only execution that the request can have, and no other node can give it. It is
     * delivered whoever holds the lease by now: no later holder executes the request, and its response is not kept as a copy.
     */
    private boolean isOnlyExecution(final ForwardResponse response) {
        return hasMode(RouteMode.AT_MOST_ONCE) && response.fate() == RequestOutcome.DONE;
    }

    private void onMissingHolderResponse(final Reply.Failure failure) {
        final RequestFailure uncertain = RequestFailure.unanswered("the holder did not answer");
        if (failure == Reply.Failure.NOT_SENT) {
            retry(new RequestFailure(503, "the holder cannot be reached", 1000));
        } else if (mayUseAnyShield() && hasMode(RouteMode.CACHED)) {
            onNoHolder(uncertain);
        } else if (mayUseAnyShield()) {
            retry(uncertain);
        } else {
            finish(uncertain);
        }
    }

    private void onRefused(final ForwardResponse filled) {
        final RequestFailure failure = new RequestFailure(filled.status(), filled.reason(), filled.retryAfterMs());
        if (!attempts.anyLeft() && openPassThroughs == 0) {
            finish(failure);
        } else if (filled.status() == 503 && filled.retryAfterMs() <= 500) {
            retry(failure);
        } else if (filled.status() == 503 && !OriginDispatch.noNodeCanSend(filled.reason())) {
            onNoHolder(failure);
        } else {
            finish(failure);
        }
    }

    private void onStaleToken(final int shard, final ForwardResponse filled) {
        edge.journal()
                .add(Event.of(
                        EventCode.TOKEN_LOW,
                        "shard",
                        shard,
                        "token",
                        filled.token().toString(),
                        "known",
                        edge.highestToken(shard).toString()));
        if (hasMode(RouteMode.KEYED) && filled.fate() == RequestOutcome.DONE) {
            // The earlier holder has recorded the outcome, which the current one gives under its own token.
            retry(RequestFailure.unanswered("the answer came from an earlier holder"));
        } else if (request.isAtMostOnce()) {
            finish(RequestFailure.unanswered("the answer came from an earlier holder"));
        } else {
            retry(new RequestFailure(503, "the answer came from an earlier holder", 500));
        }
    }

    private void deliver(final long sentAt, final ForwardResponse filled) {
        if (request.onFilled(sentAt, filled)) {
            cancelOpenForwards(CancelCause.ANSWERED);
        } else {
            retry(new RequestFailure(503, "purged while it was filled", 500));
        }
    }

    /**
     * Retries a rejection that a newer placement plan may resolve, after a short delay. Requests are retried at most twice,
     * keyed requests for a fraction of their time-out.
     */
    private void retry(final RequestFailure lastFailure) {
        if (request.finished() || request.handOver()) {
            return;
        }
        if (request.isAbandoned()) {
            finish(lastFailure);
            return;
        }
        final boolean mayRetryKeyed = mayUseAnyShield()
                && hasMode(RouteMode.KEYED)
                && now() - request.startedAt() < fractionOfTimeoutMs(KEYED_RETRY_FRACTION);
        final long delayMs = 60L * Math.max(1, Math.min(4, requestsSent));
        final boolean isRead = mayUseAnyShield() && hasMode(RouteMode.CACHED) && !passingThrough;
        if (isRead && now() + delayMs - request.startedAt() > maxHolderWaitMs()) {
            passThrough(lastFailure);
        } else if (requestsSent >= MAX_HOLDER_REQUESTS && !mayRetryKeyed || now() + delayMs + 200 >= deadline) {
            if (isRead) {
                passThrough(lastFailure);
            } else {
                finish(lastFailure);
            }
        } else {
            edge.loop().schedule(delayMs, () -> forwardToHolder(lastFailure));
        }
    }

    private double fractionOfTimeoutMs(final double fraction) {
        return (deadline - request.startedAt()) * fraction;
    }

    private double maxHolderWaitMs() {
        final long latencyTargetMs = route.route().latencyTargetMs();
        return latencyTargetMs > 0 ? latencyTargetMs * HOLDER_WAIT_FRACTION : DEFAULT_HOLDER_WAIT_MS;
    }
}
