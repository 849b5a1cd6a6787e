package org.rowanvalve.testkit.origin;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.testkit.log.RunLog;

/** One stand-in origin: it serves, announces itself, renews, and leaves. */
public final class StandInOrigin {
    private static final ThreadFactory QUIET = r -> {
        final Thread thread = new Thread(r, "originator");
        thread.setDaemon(true);
        return thread;
    };
    private final String name;
    private final StandInBackend backend;
    private final String kind;
    private final String host;
    private final List<String> nodes;
    private final RunLog log;
    private final ScheduledExecutorService clock = Executors.newScheduledThreadPool(2, QUIET);
    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofMillis(800)).build();
    private final AtomicLong beat = new AtomicLong();
    private Server server;
    private StandInHandler face;
    private int port;
    private volatile boolean on;

    public StandInOrigin(
            final String name,
            final StandInBackend backend,
            final String kind,
            final String host,
            final List<String> nodes,
            final RunLog log) {
        this.name = name;
        this.backend = backend;
        this.kind = kind;
        this.host = host;
        this.nodes = nodes;
        this.log = log;
    }

    public void start(final int at) throws Exception {
        start(at, "none");
    }

    /** With fault {@code foreign} it is another service at the old address, and announces nothing. */
    public void start(final int at, final String fault) throws Exception {
        face = new StandInHandler(name, UUID.randomUUID().toString().substring(0, 12), backend, log, clock);
        final QueuedThreadPool pool = new QueuedThreadPool(12, 2);
        pool.setDaemon(true);
        server = new Server(pool);
        final ServerConnector link = new ServerConnector(server, 1, 1, new HttpConnectionFactory());
        link.setHost(host);
        link.setPort(at);
        server.addConnector(link);
        server.setHandler(face);
        server.setStopTimeout(0);
        server.start();
        port = link.getLocalPort();
        face.fault(fault, 3);
        on = !fault.equals("foreign");
        beat.set(0);
        final StandInHandler mine = face;
        clock.execute(() -> round(mine));
    }

    public int port() {
        return port;
    }

    public String name() {
        return name;
    }

    public String service() {
        return backend.service();
    }

    public String kind() {
        return kind;
    }

    public String host() {
        return host;
    }

    public List<String> nodes() {
        return nodes;
    }

    public StandInHandler face() {
        return face;
    }

    private void round(final StandInHandler mine) {
        if (on && face == mine) {
            final boolean ok = announce(false) == 200;
            clock.schedule(() -> round(mine), ok ? 3000 : 300, TimeUnit.MILLISECONDS);
        }
    }

    private int announce(final boolean leaving) {
        final long n = beat.incrementAndGet();
        final String node = nodes.get((int) (n % nodes.size()));
        final String body = Json.write(RunLog.row(
                "service",
                backend.service(),
                "host",
                host,
                "port",
                port,
                "stamp",
                face.stamp(),
                "kind",
                kind,
                "load",
                0,
                "ttlMs",
                10_000,
                "leaving",
                leaving,
                "beat",
                n));
        final long t = System.currentTimeMillis();
        int status = 0;
        try {
            status = http.send(
                            HttpRequest.newBuilder(URI.create("http://" + node + "/v1/origins/" + name))
                                    .timeout(Duration.ofSeconds(3))
                                    .PUT(HttpRequest.BodyPublishers.ofString(body))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString())
                    .statusCode();
        } catch (final java.io.IOException e) {
            status = 0;
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (leaving || n == 1) {
            log.add(RunLog.row(
                    "log",
                    "op",
                    "t",
                    t,
                    "end",
                    System.currentTimeMillis(),
                    "what",
                    leaving ? "leave" : "announce",
                    "origin",
                    name,
                    "service",
                    backend.service(),
                    "stamp",
                    face.stamp(),
                    "status",
                    status));
        }
        return status;
    }

    /** Says that it leaves until a node has accepted that, at most so many times. */
    public boolean leave(final int tries) {
        on = false;
        for (int i = 0; i < tries; i++) {
            if (announce(true) == 200) {
                return true;
            }
        }
        return false;
    }

    public void stop() throws Exception {
        on = false;
        server.stop();
    }

    public void close() throws Exception {
        stop();
        clock.shutdownNow();
    }
}
