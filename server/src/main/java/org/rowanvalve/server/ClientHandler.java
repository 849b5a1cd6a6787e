package org.rowanvalve.server;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.rowanvalve.data.Answer;
import org.rowanvalve.data.ClientRequest;
import org.rowanvalve.data.Edge;

/** Callers' side of an edge. */
public final class ClientHandler extends Handler.Abstract {
    private static final int LIMIT = 1 << 20;
    private final CoreLoop loop;
    private final Edge edge;

    public ClientHandler(final CoreLoop loop, final Edge edge) {
        this.loop = loop;
        this.edge = edge;
    }

    @Override
    public boolean handle(final Request req, final Response res, final Callback done) {
        if (Heads.over(req, edge.limits())) {
            send(res, done, Answer.reject(431, "head over the limit", 0));
            return true;
        }
        if (req.getLength() > LIMIT) {
            send(res, done, Answer.reject(413, "body over the limit", 0));
            return true;
        }
        Content.Source.asByteArrayAsync(req, LIMIT).whenComplete((body, trouble) -> {
            if (trouble != null) {
                send(res, done, Answer.reject(413, "body over the limit or cut short", 0));
                return;
            }
            final ClientRequest ask = new ClientRequest(
                    req.getMethod(),
                    req.getHttpURI().getPathQuery(),
                    req.getHeaders().get("Rv-Key"),
                    body,
                    Optional.ofNullable(req.getHeaders().get(HttpHeader.CONTENT_TYPE))
                            .orElse("application/json"));
            if (!loop.offer(() -> edge.take(ask, a -> send(res, done, a)))) {
                send(res, done, Answer.reject(503, "ring full", 1000));
            }
        });
        return true;
    }

    private static void send(final Response res, final Callback done, final Answer a) {
        res.setStatus(a.status());
        a.heads().forEach((k, v) -> res.getHeaders().put(k, v));
        res.getHeaders().put("Rv-Fate", a.fate());
        res.getHeaders().put(HttpHeader.CONTENT_LENGTH, a.body().length);
        res.write(true, ByteBuffer.wrap(a.body()), done);
    }
}
