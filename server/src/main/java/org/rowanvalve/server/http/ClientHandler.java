package org.rowanvalve.server.http;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.rowanvalve.data.edge.Edge;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.data.request.ClientResponse;
import org.rowanvalve.server.thread.CoreEventLoop;

/** The clients' interface of an edge. */
public final class ClientHandler extends Handler.Abstract {
    private static final int LIMIT = 1 << 20;
    private static final long BUSY_RETRY_AFTER_MS = 1000;
    private final ClientRequests requests;
    private final Edge edge;

    public ClientHandler(final CoreEventLoop loop, final Edge edge) {
        this.requests = new ClientRequests(loop, edge, BUSY_RETRY_AFTER_MS);
        this.edge = edge;
    }

    @Override
    public boolean handle(final Request req, final Response res, final Callback done) {
        if (HeaderLimit.over(req, edge.limits())) {
            send(req, res, done, ClientResponse.notAccepted(431, "head over the limit", 0));
            return true;
        }
        if (req.getLength() > LIMIT) {
            send(req, res, done, ClientResponse.notAccepted(413, "body over the limit", 0));
            return true;
        }
        RequestBody.read(req, LIMIT).whenComplete((body, trouble) -> {
            if (trouble != null) {
                send(req, res, done, ClientResponse.notAccepted(413, "body over the limit or cut short", 0));
                return;
            }
            final ClientRequest request = new ClientRequest(
                    req.getMethod(),
                    req.getHttpURI().getPathQuery(),
                    req.getHeaders().get("Rv-Key"),
                    body,
                    Optional.ofNullable(req.getHeaders().get(HttpHeader.CONTENT_TYPE))
                            .orElse("application/json"));
            requests.submit(req, request, response -> send(req, res, done, response));
        });
        return true;
    }

    private static void send(
            final Request req, final Response res, final Callback done, final ClientResponse response) {
        ClientEndPoint.announceKeepAlive(req, res);
        res.setStatus(response.status());
        response.headers().forEach((k, v) -> res.getHeaders().put(k, v));
        res.getHeaders().put("Rv-Fate", response.fate().code());
        res.getHeaders().put(HttpHeader.CONTENT_LENGTH, response.body().length);
        res.write(true, ByteBuffer.wrap(response.body()), done);
    }
}
