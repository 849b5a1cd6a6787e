package org.rowanvalve.server.origin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.data.origin.OriginTransport;
import org.rowanvalve.server.process.Main;
import org.rowanvalve.server.thread.CoreEventLoop;

/** Origins that forget idle connections sooner than they say, over real sockets and with a clock of the test's own. */
class ForgottenConnectionTest {
    private static final OriginProtocol PLAIN = new PlainOriginProtocol();

    private final CoreEventLoop core = new CoreEventLoop();
    private final AtomicLong passed = new AtomicLong();
    private final EventLoop loop = new EventLoop() {
        @Override
        public long now() {
            return passed.get();
        }

        @Override
        public void schedule(final long ms, final Runnable job) {
            core.schedule(ms, job);
        }
    };
    private final HttpClient http = new HttpClient();
    private final AtomicInteger connections = new AtomicInteger();
    private int requests;
    private volatile long forgetsAfter = Long.MAX_VALUE;
    private ServerSocket listener;
    private HttpOriginTransport port;

    @BeforeEach
    void begin() throws Exception {
        Main.configureLogging();
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        final Thread acceptor = new Thread(this::accept, "origin");
        acceptor.setDaemon(true);
        acceptor.start();
        http.start();
        core.start();
        port = new HttpOriginTransport(loop, http, PLAIN);
    }

    @AfterEach
    void end() throws Exception {
        http.stop();
        listener.close();
        core.stop();
    }

    private void accept() {
        try {
            while (true) {
                final Socket socket = listener.accept();
                connections.incrementAndGet();
                final Thread server = new Thread(() -> serve(socket), "origin connection");
                server.setDaemon(true);
                server.start();
            }
        } catch (final IOException e) {
            connections.get();
        }
    }

    private void serve(final Socket socket) {
        try (socket) {
            final BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            long answered = loop.now();
            while (request(in)) {
                if (loop.now() - answered > forgetsAfter) {
                    socket.setSoLinger(true, 0);
                    return;
                }
                socket.getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                answered = loop.now();
            }
        } catch (final IOException e) {
            connections.get();
        }
    }

    private static boolean request(final BufferedReader in) throws IOException {
        String line = in.readLine();
        final boolean any = line != null;
        int length = 0;
        while (line != null && !line.isEmpty()) {
            if (line.startsWith("Content-Length: ")) {
                length = Integer.parseInt(line.substring("Content-Length: ".length()));
            }
            line = in.readLine();
        }
        for (int i = 0; i < length; i++) {
            in.read();
        }
        return any;
    }

    private OriginTransport.ExchangeResult send(final String method) throws Exception {
        final Origin origin =
                new Origin("s", "127.0.0.1", listener.getLocalPort(), "a", ServiceKind.OPEN, 0, 0, false, 1);
        final byte[] body = method.equals("POST") ? new byte[] {1} : null;
        final CompletableFuture<OriginTransport.OriginResponse> answer = new CompletableFuture<>();
        loop.execute(() -> port.send(
                origin,
                new OriginTransport.OutboundRequest("s", method, "/", "r" + ++requests, null, body, null, 20_000),
                () -> true,
                answer::complete));
        return answer.get(30, TimeUnit.SECONDS).result();
    }

    @Test
    void whatMustNotRunTwiceMeetsNoConnectionThatMayBeForgotten() throws Exception {
        forgetsAfter = 250;
        assertEquals(OriginTransport.ExchangeResult.COMPLETE, send("POST"));
        passed.addAndGet(300);
        assertEquals(OriginTransport.ExchangeResult.COMPLETE, send("POST"), "sent over a new connection");
        assertEquals(2, connections.get());
    }

    @Test
    void aForgottenConnectionTeachesHowLongOthersMayRest() throws Exception {
        forgetsAfter = 250;
        assertEquals(OriginTransport.ExchangeResult.COMPLETE, send("GET"));
        passed.addAndGet(300);
        assertEquals(OriginTransport.ExchangeResult.LOST, send("GET"), "the first that is forgotten cannot be known");
        assertEquals(OriginTransport.ExchangeResult.COMPLETE, send("GET"));
        passed.addAndGet(300);
        assertEquals(
                OriginTransport.ExchangeResult.COMPLETE,
                send("GET"),
                "rested for as long as the one that was forgotten");
        assertEquals(3, connections.get());
    }

    @Test
    void connectionsOfOriginsThatKeepThemAreUsedAgain() throws Exception {
        for (int i = 0; i < 4; i++) {
            assertEquals(OriginTransport.ExchangeResult.COMPLETE, send("GET"));
            passed.addAndGet(5000);
        }
        assertEquals(1, connections.get());
        assertEquals(OriginTransport.ExchangeResult.COMPLETE, send("GET"));
        assertEquals(
                OriginTransport.ExchangeResult.COMPLETE,
                send("POST"),
                "one that was used a moment ago is as good as a new one");
        assertEquals(1, connections.get());
    }
}
