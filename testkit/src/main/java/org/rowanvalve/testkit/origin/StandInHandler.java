package org.rowanvalve.testkit.origin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.rowanvalve.common.model.Hash;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.server.http.RequestBody;
import org.rowanvalve.testkit.log.RunLog;

/** The HTTP interface of a stand-in origin; it keeps the origin contract unless a fault is injected. */
public final class StandInHandler extends Handler.Abstract {
    private final String name;
    private final String stamp;
    private final StandInBackend backend;
    private final RunLog log;
    private final ScheduledExecutorService clock;
    private volatile String fault = "none";
    private volatile long slow = 3;

    public StandInHandler(
            final String name,
            final String stamp,
            final StandInBackend backend,
            final RunLog log,
            final ScheduledExecutorService clock) {
        this.name = name;
        this.stamp = stamp;
        this.backend = backend;
        this.log = log;
        this.clock = clock;
    }

    /** none, lose (run but never answer), wrong (bytes differ from the digest), foreign (another service answers). */
    public void fault(final String kind, final long slowMs) {
        fault = kind;
        slow = slowMs;
    }

    public String stamp() {
        return stamp;
    }

    @Override
    public boolean handle(final Request req, final Response res, final Callback done) {
        RequestBody.read(req, 1 << 21).whenComplete((body, trouble) -> {
            if (trouble != null) {
                done.failed(trouble);
                return;
            }
            final String path = req.getHttpURI().getPathQuery();
            if (path.equals("/rv/identity")) {
                final boolean other = fault.equals("foreign");
                send(
                        res,
                        done,
                        200,
                        Json.write(Map.of("service", other ? "someone-else" : backend.service(), "stamp", stamp)),
                        "");
                return;
            }
            serve(req.getMethod(), path, req.getHeaders(), body, res, done);
        });
        return true;
    }

    private void serve(
            final String method,
            final String path,
            final HttpFields heads,
            final byte[] body,
            final Response res,
            final Callback done) {
        final String id = heads.get("Rv-Request");
        final String key = heads.get("Rv-Key");
        final boolean run = method.equals("POST");
        log.add(RunLog.row(
                "log",
                "org",
                "t",
                System.currentTimeMillis(),
                "origin",
                name,
                "service",
                fault.equals("foreign") ? "someone-else" : backend.service(),
                "want",
                heads.get("Rv-Service"),
                "stamp",
                stamp,
                "what",
                run ? "run" : "get",
                "request",
                id,
                "path",
                path,
                "key",
                key,
                "body",
                Hash.sha256Hex(body)));
        final String text = run ? backend.run(path, String.valueOf(key)) : backend.view(path);
        if (!fault.equals("lose")) {
            clock.schedule(
                    () -> send(res, done, run ? 201 : 200, text, String.valueOf(id)), slow, TimeUnit.MILLISECONDS);
        }
    }

    private void send(final Response res, final Callback done, final int status, final String text, final String id) {
        final byte[] data = text.getBytes(StandardCharsets.UTF_8);
        res.setStatus(status);
        res.getHeaders().put("Content-Type", "application/json");
        res.getHeaders().put("Content-Length", data.length);
        res.getHeaders().put("Rv-Stamp", stamp);
        res.getHeaders().put("Rv-Request", id);
        res.getHeaders().put("Rv-Digest", Hash.sha256Hex(data));
        if (fault.equals("wrong") && !id.isEmpty()) {
            data[data.length - 2] ^= 1;
        }
        res.write(true, ByteBuffer.wrap(data), done);
    }
}
