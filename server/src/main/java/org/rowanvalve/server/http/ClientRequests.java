package org.rowanvalve.server.http;

import java.util.function.Consumer;
import org.eclipse.jetty.server.Request;
import org.rowanvalve.common.model.CancelCause;
import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.edge.Edge;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.data.request.ClientResponse;
import org.rowanvalve.server.thread.CoreEventLoop;

/** Hands clients' requests to the edge, which hears of it when a client closes its connection before its response. */
public final class ClientRequests {
    /** The attribute of HTTP requests that were handed to the edge. */
    private static final String SUBMITTED = ClientRequests.class.getName() + ".submitted";

    private final CoreEventLoop loop;
    private final Edge edge;
    private final long busyRetryAfterMs;

    /** {@code busyRetryAfterMs}: when a client is told to come back if the event loop has no room for its request. */
    public ClientRequests(final CoreEventLoop loop, final Edge edge, final long busyRetryAfterMs) {
        this.loop = loop;
        this.edge = edge;
        this.busyRetryAfterMs = busyRetryAfterMs;
    }

    /** Whether the request was handed to the edge, so that it may have been executed. */
    static boolean wasSubmitted(final Request http) {
        return http.getAttribute(SUBMITTED) != null;
    }

    /** {@code http} has been read whole; {@code respond} is called once, also for a client that has left. */
    public void submit(final Request http, final ClientRequest request, final Consumer<ClientResponse> respond) {
        final Cancellation cancellation = new Cancellation(() -> ClientEndPoint.checkClose(http));
        final Consumer<ClientResponse> callback = response -> {
            ClientEndPoint.ignoreClose(http);
            respond.accept(response);
        };
        ClientEndPoint.onClose(http, () -> {
            cancellation.announce(CancelCause.CLIENT_LEFT);
            loop.execute(() -> cancellation.request(CancelCause.CLIENT_LEFT));
        });
        http.setAttribute(SUBMITTED, Boolean.TRUE);
        if (!loop.offer(() -> edge.handle(request, cancellation, callback))) {
            callback.accept(ClientResponse.notAccepted(503, "ring full", busyRetryAfterMs));
        }
    }
}
