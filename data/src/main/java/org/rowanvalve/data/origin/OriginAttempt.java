package org.rowanvalve.data.origin;

import java.util.Map;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.control.config.Origin;

/** One request sent to one origin, from the last check of its lease until the response or the end of the connection. */
final class OriginAttempt {
    private final OriginDispatcher dispatcher;
    private final OriginDispatch dispatch;
    private final OriginRequest request;
    private final ItemId originId;
    private final Origin origin;
    private final long sentAt;
    private OriginTransport.Exchange exchange;
    private OriginTransport.OutboundRequest sent;
    /** The request's bytes were permitted to leave. */
    private boolean mayHaveLeft;
    /** It was not answered for long, so its origin is avoided. */
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
                        (long) Math.max(request.atMostOnce() ? 1000 : 200, (request.atMostOnce() ? 6 : 4) * meanMs),
                        this::onSlow);
    }

    /** The same request with the time that is left, and a name of this node's own where the client gave it none. */
    private OriginTransport.OutboundRequest withDeadline(final OriginTransport.OutboundRequest what) {
        return new OriginTransport.OutboundRequest(
                what.service(),
                what.method(),
                what.path(),
                what.requestId().isEmpty() ? dispatcher.newRequestId() : what.requestId(),
                what.key(),
                what.body(),
                what.contentType(),
                request.deadline() - sentAt,
                what.headers());
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
                        "key",
                        sent.key() == null ? "" : sent.key()));
    }

    /** Checked right before the bytes are written. */
    private boolean mayWrite() {
        final long now = dispatcher.loop().now();
        mayHaveLeft = dispatch.maySend()
                && dispatcher.mayUse(request.shard(), request.service())
                && origin.isSameProcess(
                        dispatcher.view().liveOrigins(request.service(), now).get(originId))
                && now < request.deadline();
        return mayHaveLeft;
    }

    /** Whether a byte of the request may have left for the origin. */
    boolean mayHaveLeft() {
        return mayHaveLeft;
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
        final OriginTransport.OriginResponse got = checked(response);
        if (got.result() == OriginTransport.ExchangeResult.INVALID
                || got.result() == OriginTransport.ExchangeResult.WRONG_INSTANCE) {
            final EventCode code = got.result() == OriginTransport.ExchangeResult.INVALID
                    ? EventCode.ORIGIN_BAD
                    : EventCode.ORIGIN_STRANGE;
            dispatcher
                    .journal()
                    .add(Event.of(code, "origin", originId.name(), "request", sent.requestId(), "why", got.reason()));
        }
        if (!dispatch.finished()) {
            dispatch.onEnd(got, originId, origin, sentAt);
        }
        dispatcher.drainQueue(request.service());
    }

    private OriginTransport.OriginResponse checked(final OriginTransport.OriginResponse response) {
        final String fault = response.result() == OriginTransport.ExchangeResult.COMPLETE
                ? dispatcher.originTransport().error(origin, sent, response)
                : "";
        return fault.isEmpty()
                ? response
                : OriginTransport.OriginResponse.without(OriginTransport.ExchangeResult.INVALID, fault);
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

    /** Nobody waits for the response: the connection is closed, so that the origin can stop. */
    void cancel() {
        if (!closeOnce(false, OriginTransport.Load.NONE)) {
            return;
        }
        if (exchange != null) {
            exchange.abort();
        }
        if (mayHaveLeft) {
            withdrawFailure();
            final long takenMs = dispatcher
                    .load()
                    .onAbandoned(originId, sentAt, dispatcher.loop().now());
            dispatcher.loop().schedule(takenMs, () -> dispatcher.drainQueue(request.service()));
        } else {
            request.attempts().release();
            dispatcher.drainQueue(request.service());
        }
    }

    /** Slow it was, but its client has left: whether the origin would have answered is not known. */
    private void withdrawFailure() {
        if (countedAsFailure && request.cancellation().isRequested()) {
            dispatcher.load().withdrawFailure(originId, dispatcher.loop().now());
        }
    }

    /** The lease has ended: the connection is closed, and nobody can know whether the request was executed. */
    void abort() {
        if (closeOnce(false, OriginTransport.Load.NONE)) {
            exchange.abort();
            dispatch.finish(
                    OriginTransport.OriginResponse.without(OriginTransport.ExchangeResult.LOST, "right to send ended"),
                    true,
                    dispatcher.loop().now(),
                    1000);
        }
    }
}
