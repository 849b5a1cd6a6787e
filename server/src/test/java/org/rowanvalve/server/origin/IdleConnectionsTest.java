package org.rowanvalve.server.origin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.data.origin.OriginTransport;
import org.rowanvalve.server.process.Main;
import org.rowanvalve.server.thread.CoreEventLoop;

/** For how long a connection to an origin is used again. */
class IdleConnectionsTest {
    private static final OriginProtocol PLAIN = new PlainOriginProtocol();
    private final Set<String> circuits = ConcurrentHashMap.newKeySet();
    private final CoreEventLoop loop = new CoreEventLoop();
    private final HttpClient http = new HttpClient();
    private final Server server = new Server();
    private final ServerConnector link = new ServerConnector(server, 1, 1);
    private volatile Map<String, String> says = Map.of();
    private volatile String target = "";
    private HttpOriginTransport port;

    @BeforeEach
    void begin() throws Exception {
        Main.configureLogging();
        link.setHost("127.0.0.1");
        link.getConnectionFactory(HttpConnectionFactory.class)
                .getHttpConfiguration()
                .setUriCompliance(UriCompliance.UNSAFE);
        server.addConnector(link);
        server.setHandler(new Handler.Abstract() {
            @Override
            public boolean handle(final Request req, final Response res, final Callback done) {
                target = req.getHttpURI().getPathQuery();
                circuits.add(
                        req.getConnectionMetaData().getRemoteSocketAddress().toString());
                says.forEach((k, v) -> res.getHeaders().put(k, v));
                res.setStatus(Integer.parseInt(says.getOrDefault("Status", "200")));
                res.write(true, ByteBuffer.allocate(0), done);
                return true;
            }
        });
        server.start();
        http.start();
        loop.start();
        port = new HttpOriginTransport(loop, http, PLAIN);
    }

    @AfterEach
    void end() throws Exception {
        http.stop();
        server.stop();
        loop.stop();
    }

    private int circuits(final String stay, final String stamp) throws Exception {
        final Set<String> before = new HashSet<>(circuits);
        says = stay.equals("close")
                ? Map.of("Connection", "close")
                : stay.isEmpty() ? Map.of() : Map.of("Keep-Alive", stay);
        final Origin origin =
                new Origin("s", "127.0.0.1", link.getLocalPort(), stamp, ServiceKind.OPEN, 0, 0, false, 1);
        for (int i = 0; i < 3; i++) {
            final CompletableFuture<OriginTransport.OriginResponse> f = new CompletableFuture<>();
            final String id = "r" + i;
            loop.execute(() -> port.send(
                    origin,
                    new OriginTransport.OutboundRequest("s", "GET", "/", id, null, null, null, 20_000),
                    () -> true,
                    f::complete));
            assertEquals(
                    OriginTransport.ExchangeResult.COMPLETE,
                    f.get(30, TimeUnit.SECONDS).result());
        }
        circuits.removeAll(before);
        final int n = circuits.size();
        circuits.addAll(before);
        return n;
    }

    @Test
    void noRequestMeetsTheEndThatTheOriginStates() throws Exception {
        assertEquals(1, circuits("", "a"));
        assertEquals(1, circuits("timeout=60", "b"));
        assertEquals(1, circuits("max=5, timeout=60", "c"));
        assertEquals(3, circuits("timeout=1", "d"), "a second less than it says");
        assertEquals(3, circuits("timeout=0", "e"));
        assertEquals(3, circuits("close", "f"));
    }

    /** What is no URI by the letter is no reason to fail in the core: it reaches the origin as it came. */
    @Test
    void everyTargetGoesOutAsItCame() throws Exception {
        final Origin origin = new Origin("s", "127.0.0.1", link.getLocalPort(), "a", ServiceKind.OPEN, 0, 0, false, 1);
        for (final String target : List.of("/x?a=b|c", "//h/x?a={b}", "/x//y", "/a%2Fb?%25", "/x?u=//h/%2F&&=")) {
            final CompletableFuture<OriginTransport.OriginResponse> f = new CompletableFuture<>();
            loop.execute(() -> port.send(
                    origin,
                    new OriginTransport.OutboundRequest("s", "GET", target, "r", null, null, null, 20_000),
                    () -> true,
                    f::complete));
            final OriginTransport.OriginResponse response = f.get(30, TimeUnit.SECONDS);
            assertEquals("200 " + target, response.status() + " " + this.target, response.reason());
        }
    }

    /** An origin that is too busy to say who it is is not someone else: it got no request and is asked again. */
    @Test
    void whoeverDoesNotSayWhoItIsIsNotTakenForAnother() throws Exception {
        port = new HttpOriginTransport(loop, http);
        says = Map.of("Status", "503");
        final Origin origin = new Origin("s", "127.0.0.1", link.getLocalPort(), "a", ServiceKind.OPEN, 0, 0, false, 1);
        final CompletableFuture<OriginTransport.OriginResponse> f = new CompletableFuture<>();
        loop.execute(() -> port.send(
                origin,
                new OriginTransport.OutboundRequest("s", "GET", "/", "r", null, null, null, 20_000),
                () -> true,
                f::complete));
        assertEquals(
                OriginTransport.ExchangeResult.NOT_SENT,
                f.get(30, TimeUnit.SECONDS).result());
    }

    /** A new life at the same address is another origin. */
    @Test
    void connectionsOfAnEarlierLifeAreNotUsedForTheNext() throws Exception {
        assertEquals(1, circuits("", "a"));
        assertEquals(1, circuits("", "b"));
        assertEquals(2, circuits.size());
    }

    /** The bytes may not have been read yet: the connection is looked at when it is about to be used. */
    @Test
    void oneOnWhichSomethingHasComeIsClosed() {
        final List<String> calls = new ArrayList<>();
        final Connection connection = (Connection) Proxy.newProxyInstance(
                Connection.class.getClassLoader(), new Class<?>[] {Connection.class}, (proxy, method, arguments) -> {
                    calls.add(method.getName());
                    return method.getReturnType() == boolean.class ? Boolean.FALSE : null;
                });
        final OriginConnection kept = new OriginConnection(connection);
        final IdleConnections idle = new IdleConnections(looked -> looked != kept);
        idle.put("site", kept, null, 0);
        assertNull(idle.take("site", "s", "r", true, 10));
        assertEquals("close", calls.get(calls.size() - 1));
    }
}
