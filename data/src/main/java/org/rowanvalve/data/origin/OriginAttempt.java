package org.rowanvalve.data.origin;

import java.util.Map;
import java.util.OptionalLong;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.data.request.ExecutionKnowledge;

/** One exchange with one origin, from the last check of the lease until the response or the end of the connection. */
final class OriginAttempt {
    /** The shortest time, in ms, after which a request without a response counts as slow. */
    private static final long AT_MOST_ONCE_SLOW_MS = 1000;

    private static final long REPEATABLE_SLOW_MS = 200;
    /** The multiple of the mean response time after which a request without a response counts as slow. */
    private static final int AT_MOST_ONCE_SLOW_FACTOR = 6;

    private static final int REPEATABLE_SLOW_FACTOR = 4;
    private static final long RETRY_AFTER_ABORT_MS = 1000;
    private final OriginDispatcher dispatcher;
    private final OriginDispatch dispatch;
    private final OriginRequest request;
    private final ItemId originId;
    private final Origin origin;
    private final long sentAt;
    private OriginTransport.Exchange exchange;
    private OriginTransport.OutboundRequest sent;
    /** Whether the permission to write the request was given, so that bytes of it may have been sent. */
    private boolean mayHaveBeenSent;
    /** Whether this attempt was slow and recorded as a failure, so that its origin is avoided. */
    private boolean countedAsFailure;

    OriginAttempt(
            final OriginDispatcher dispatcher,
            final OriginDispatch dispatch,
            final ItemId originId,
            final Origin origin) {
        this.dispatcher = dispatcher;
        this.dispatch = dispatch;
        this.request = dispatch.request();
        this.originId = originId;
        this.origin = origin;
        this.sentAt = dispatcher.loop().now();
    }

    void send(final boolean extra) {
        dispatcher.load().onSend(originId, sentAt);
        dispatcher.loadExchange().onChange(origin);
        dispatcher.attemptsByShard(request.shard()).add(this);
        sent = withDeadline(request.request());
        journalSend(extra);
        exchange = dispatcher.originTransport().send(origin, sent, this::mayWrite, this::onResponse);
        final double meanMs = dispatcher.load().meanMs(Map.of(originId, origin), sentAt);
        dispatcher
                .loop()
                .schedule(
                        (long) Math.max(
                                request.atMostOnce() ? AT_MOST_ONCE_SLOW_MS : REPEATABLE_SLOW_MS,
                                (request.atMostOnce() ? AT_MOST_ONCE_SLOW_FACTOR : REPEATABLE_SLOW_FACTOR) * meanMs),
                        this::onSlow);
    }

    /** Returns the request with its remaining time, and with an ID of this node if the client sent none. */
    private OriginTransport.OutboundRequest withDeadline(final OriginTransport.OutboundRequest outbound) {
        return new OriginTransport.OutboundRequest(
                outbound.service(),
                outbound.method(),
                outbound.path(),
                outbound.requestId().isEmpty() ? dispatcher.newRequestId() : outbound.requestId(),
                outbound.key(),
                outbound.body(),
                outbound.contentType(),
                request.deadline() - sentAt,
                outbound.headers());
    }

    private void journalSend(final boolean extra) {
        dispatcher
                .journal()
                .add(Event.of(
                        EventCode.ORIGIN_SEND,
                        "shard",
                        request.shard(),
                        "token",
                        dispatcher.token(request.shard()),
                        "service",
                        sent.service(),
                        "origin",
                        originId.name(),
                        "request",
                        sent.requestId(),
                        "extra",
                        extra,
                        "atMostOnce",
                        request.atMostOnce(),
                        "key",
                        sent.key() == null ? "" : sent.key()));
    }

    /** Decides right before the bytes are written whether they may be written. */
    private boolean mayWrite() {
        final long now = dispatcher.loop().now();
        mayHaveBeenSent = dispatch.maySend()
                && dispatcher.maySend(request.shard(), request.service())
                && origin.isSameProcess(
                        dispatcher.view().liveOrigins(request.service(), now).get(originId))
                && now < request.deadline();
        if (mayHaveBeenSent) {
            dispatch.knowledge().beginSend();
        }
        return mayHaveBeenSent;
    }

    /** Returns whether any byte of the request may have been sent to the origin. */
    boolean mayHaveBeenSent() {
        return mayHaveBeenSent;
    }

    private void onSlow() {
        if (!dispatch.finished() && dispatcher.attemptsByShard(request.shard()).contains(this)) {
            countedAsFailure = true;
            dispatcher.load().onFailure(originId, dispatcher.loop().now());
            dispatch.onSlow();
        }
    }

    private void onResponse(final OriginTransport.OriginResponse response) {
        if (!closeOnce(
                response.result() == OriginTransport.ExchangeResult.COMPLETE
                        || response.result() == OriginTransport.ExchangeResult.NOT_EXECUTED,
                response.load())) {
            return;
        }
        final OriginTransport.OriginResponse validated = validate(response);
        if (validated.result() == OriginTransport.ExchangeResult.LOST
                && dispatcher.loop().now() >= request.deadline()) {
            journalBreak(BreakCause.DEADLINE);
        }
        recordExecution(executionLevel(validated.result()));
        if (request.atMostOnce()) {
            journalEnd(validated.result(), validated.reason());
        }
        if (validated.result() == OriginTransport.ExchangeResult.INVALID
                || validated.result() == OriginTransport.ExchangeResult.WRONG_INSTANCE) {
            final EventCode code = validated.result() == OriginTransport.ExchangeResult.INVALID
                    ? EventCode.ORIGIN_BAD
                    : EventCode.ORIGIN_STRANGE;
            dispatcher
                    .journal()
                    .add(Event.of(
                            code, "origin", originId.name(), "request", sent.requestId(), "why", validated.reason()));
        }
        if (!dispatch.finished()) {
            dispatch.onEnd(validated, originId, origin, sentAt);
        }
        dispatcher.drainQueue(request.service());
    }

    private static ExecutionKnowledge.Level executionLevel(final OriginTransport.ExchangeResult result) {
        return switch (result) {
            case COMPLETE -> ExecutionKnowledge.Level.DONE;
            case LOST, INVALID -> ExecutionKnowledge.Level.MAY_HAVE_RUN;
            case NOT_SENT, NOT_EXECUTED, NOT_PERMITTED, WRONG_INSTANCE -> ExecutionKnowledge.Level.NOT_SENT;
        };
    }

    private void journalEnd(final OriginTransport.ExchangeResult result, final String reason) {
        dispatcher
                .journal()
                .add(Event.of(
                        EventCode.ORIGIN_ENDED,
                        "request",
                        sent.requestId(),
                        "key",
                        sent.key() == null ? "" : sent.key(),
                        "origin",
                        originId.name(),
                        "result",
                        result.name(),
                        "sent",
                        mayHaveBeenSent,
                        "why",
                        reason));
    }

    private void recordExecution(final ExecutionKnowledge.Level level) {
        if (mayHaveBeenSent) {
            dispatch.knowledge().endSend(level);
        } else {
            dispatch.knowledge().raise(level);
        }
    }

    private OriginTransport.OriginResponse validate(final OriginTransport.OriginResponse response) {
        final String error = response.result() == OriginTransport.ExchangeResult.COMPLETE
                ? dispatcher.originTransport().error(origin, sent, response)
                : "";
        return error.isEmpty()
                ? response
                : OriginTransport.OriginResponse.failure(OriginTransport.ExchangeResult.INVALID, error);
    }

    /** The process ends, and this exchange with it. */
    void onProcessEnd() {
        journalBreak(BreakCause.PROCESS_END);
    }

    /** Records that this node ends an exchange while the origin may be at work on it. */
    private void journalBreak(final BreakCause cause) {
        if (!mayHaveBeenSent) {
            return;
        }
        final long now = dispatcher.loop().now();
        final OptionalLong graceLeftMs = dispatcher.graceLeftMs();
        dispatcher
                .journal()
                .add(Event.of(
                        EventCode.WORK_BROKEN_OFF,
                        "request",
                        sent.requestId(),
                        "kind",
                        kind().code(),
                        "cause",
                        cause.code(),
                        "service",
                        sent.service(),
                        "origin",
                        originId.name(),
                        "shard",
                        request.shard(),
                        "workedMs",
                        now - sentAt,
                        "deadlineLeftMs",
                        request.deadline() - now,
                        "graceLeftMs",
                        graceLeftMs.isPresent() ? graceLeftMs.getAsLong() : ""));
    }

    private RequestKind kind() {
        if (sent.key() != null) {
            return RequestKind.KEYED;
        }
        return request.atMostOnce() ? RequestKind.AT_MOST_ONCE : RequestKind.REPEATABLE;
    }

    /** How often a request may be executed, as events name it. */
    private enum RequestKind {
        KEYED("keyed"),
        AT_MOST_ONCE("at-most-once"),
        REPEATABLE("repeatable");

        private final String code;

        RequestKind(final String code) {
            this.code = code;
        }

        String code() {
            return code;
        }
    }

    private boolean closeOnce(final boolean answered, final OriginTransport.Load load) {
        final boolean wasOpen = dispatcher.attemptsByShard(request.shard()).remove(this);
        if (wasOpen) {
            dispatch.onClosed(this);
            dispatcher.load().onEnd(originId, sentAt, dispatcher.loop().now(), answered, load);
            dispatcher.loadExchange().onChange(origin);
        }
        return wasOpen;
    }

    /** Closes the connection, so that the origin can stop, because nobody waits for the response any more. */
    void cancel() {
        if (!closeOnce(false, OriginTransport.Load.NONE)) {
            return;
        }
        if (exchange != null) {
            exchange.abort();
        }
        if (mayHaveBeenSent) {
            journalBreak(
                    request.cancellation().isRequested()
                            ? BreakCause.of(request.cancellation().cause())
                            : BreakCause.OTHER_ATTEMPT_ANSWERED);
            recordExecution(ExecutionKnowledge.Level.MAY_HAVE_RUN);
            withdrawFailure();
            final long slotTakenMs = dispatcher
                    .load()
                    .onAbandoned(originId, sentAt, dispatcher.loop().now());
            dispatcher.loop().schedule(slotTakenMs, () -> dispatcher.drainQueue(request.service()));
        } else {
            request.attempts().release();
            dispatcher.drainQueue(request.service());
        }
    }

    /** Reverts the failure of a slow attempt whose client has left, since the origin might still have responded. */
    private void withdrawFailure() {
        if (countedAsFailure && request.cancellation().isRequested()) {
            dispatcher.load().withdrawFailure(originId, dispatcher.loop().now());
        }
    }

    /** Closes the connection because the lease has ended. It is unknown whether the request was executed. */
    void abort(final BreakCause cause) {
        if (closeOnce(false, OriginTransport.Load.NONE)) {
            exchange.abort();
            journalBreak(cause);
            recordExecution(ExecutionKnowledge.Level.MAY_HAVE_RUN);
            if (request.atMostOnce()) {
                journalEnd(OriginTransport.ExchangeResult.LOST, "right to send ended");
            }
            dispatch.finish(
                    OriginTransport.OriginResponse.failure(OriginTransport.ExchangeResult.LOST, "right to send ended"),
                    dispatcher.loop().now(),
                    RETRY_AFTER_ABORT_MS);
        }
    }
}
