package org.rowanvalve.data.edge;

import java.util.function.Consumer;
import org.rowanvalve.common.message.ForwardResponse;
import org.rowanvalve.common.model.CancelCause;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.control.config.RouteMode;
import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.origin.OriginDispatcher;
import org.rowanvalve.data.origin.OriginRequest;
import org.rowanvalve.data.origin.OriginTransport;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.data.request.EndToEndHeaders;

/**
 * Sends a request from the edge directly to origins if no shield is reachable. These requests are limited to the part of
 * the rate limit that is reserved for direct forwarding.
 */
final class DirectForwarding {
    private final Edge edge;
    private final EdgeRequest request;
    private final RequestAttempts attempts;
    private final Cancellation cancellation = new Cancellation(this::poll);
    private boolean underWay;

    DirectForwarding(final Edge edge, final EdgeRequest request, final RequestAttempts attempts) {
        this.edge = edge;
        this.request = request;
        this.attempts = attempts;
    }

    boolean isUnderWay() {
        return underWay;
    }

    private void poll() {
        if (underWay && request.isAbandoned()) {
            cancel(CancelCause.CLIENT_LEFT);
        }
    }

    /** Cancels the request, because its response is no longer needed. */
    void cancel(final CancelCause cause) {
        cancellation.request(cause);
    }

    void send(final Consumer<OriginDispatcher.Completion> callback) {
        underWay = true;
        edge.routing().directDispatcher().send(originRequest(), completion -> {
            underWay = false;
            callback.accept(completion);
        });
    }

    private OriginRequest originRequest() {
        final ClientRequest clientRequest = request.request();
        return new OriginRequest(
                OriginRequest.NO_SHARD,
                new OriginTransport.OutboundRequest(
                        request.service(),
                        clientRequest.method(),
                        clientRequest.path(),
                        clientRequest.requestId(),
                        clientRequest.key(),
                        clientRequest.body(),
                        clientRequest.contentType(),
                        0,
                        clientRequest.headers()),
                request.hasMode(RouteMode.AT_MOST_ONCE),
                request.deadline() - request.marginMs(),
                request.route().route().priority(),
                attempts.localAllowance(),
                false,
                cancellation,
                request.hasMode(RouteMode.STATUS)
                        ? OriginRequest.WhenCancelled.ABORT_SENT
                        : OriginRequest.WhenCancelled.FINISH_SENT);
    }

    /** Converts an origin's response to the form in which a shield returns it. */
    static ForwardResponse completed(final OriginTransport.OriginResponse response) {
        return new ForwardResponse(
                RequestOutcome.DONE,
                "",
                response.status(),
                null,
                EndToEndHeaders.of(response.headers()),
                response.body(),
                0,
                null,
                0);
    }
}
