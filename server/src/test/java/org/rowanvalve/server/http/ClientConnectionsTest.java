package org.rowanvalve.server.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.server.process.Main;
import org.rowanvalve.server.process.Program;

/** An address that may hold a few connections only, over real sockets. */
class ClientConnectionsTest {
    private static final int MOST = 4;
    /** Beyond the bound, this many more are accepted. */
    private static final int OVERFLOW = MOST / 4;

    private static final long IDLE_TIMEOUT_MS = 8000;
    private static final long NOTHING_COMES_MS = 400;
    private final Server server = HttpAddresses.server("test");
    private final HttpAddresses all = new HttpAddresses(server);
    private final List<Socket> clients = new ArrayList<>();
    private final CompletableFuture<Runnable> held = new CompletableFuture<>();
    private final Semaphore busy = new Semaphore(0);
    private final BlockingQueue<Runnable> finishes = new LinkedBlockingQueue<>();
    private final List<Event> events = new CopyOnWriteArrayList<>();
    private final AtomicLong idleTimeoutMs = new AtomicLong(IDLE_TIMEOUT_MS);
    private int port;

    @BeforeEach
    void begin() throws Exception {
        Main.configureLogging();
        server.setHandler(all);
        Program.startServer(server, "server");
        port = all.open(
                "address ",
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                handler(),
                new ConnectionOptions(MOST, idleTimeoutMs::get, events::add));
    }

    private Handler handler() {
        return new Handler.Abstract() {
            @Override
            public boolean handle(final Request req, final Response res, final Callback done) {
                final Runnable finish = () -> {
                    ClientEndPoint.announceKeepAlive(req, res);
                    res.write(true, ByteBuffer.allocate(0), done);
                };
                if (req.getHttpURI().getPath().equals("/held")) {
                    held.complete(finish);
                } else if (req.getHttpURI().getPath().equals("/busy")) {
                    finishes.add(finish);
                    busy.release();
                } else {
                    finish.run();
                }
                return true;
            }
        };
    }

    @AfterEach
    void end() throws Exception {
        for (final Socket s : clients) {
            s.close();
        }
        server.stop();
    }

    private Socket connect() throws IOException {
        return connect(port);
    }

    private Socket connect(final int port) throws IOException {
        final Socket s = new Socket(InetAddress.getLoopbackAddress(), port);
        s.setSoTimeout(20_000);
        clients.add(s);
        return s;
    }

    private static void ask(final Socket s, final String path) throws IOException {
        s.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    /** The head of a response, or "" where the other side ended the connection instead. */
    private static String head(final Socket s) throws IOException {
        final StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            final int b = s.getInputStream().read();
            if (b < 0) {
                return "";
            }
            head.append((char) b);
        }
        return head.toString();
    }

    /** Sends a request and returns the head of its response; closes the connection if the response says so. */
    private static String exchange(final Socket s, final String path) throws IOException {
        ask(s, path);
        final String head = head(s);
        if (head.contains("Connection: close")) {
            assertEquals(-1, s.getInputStream().read(), "the server ends it as well");
            s.close();
        }
        return head;
    }

    private static void assertServed(final String head, final String who) {
        assertTrue(head.startsWith("HTTP/1.1 200 "), who + ": " + head);
    }

    /** Whether nothing, not even an end, comes on the connection for some time. */
    private static boolean isSilent(final Socket s) throws IOException {
        s.setSoTimeout((int) NOTHING_COMES_MS);
        try {
            s.getInputStream().read();
            return false;
        } catch (final SocketTimeoutException e) {
            return true;
        } finally {
            s.setSoTimeout(20_000);
        }
    }

    /** Clients that were told nothing keep their connections while others come; those beyond the bound are told to close. */
    @Test
    void whoeverComesIsServedAndNoClientIsCutOffWithinItsRest() throws Exception {
        for (int i = 0; i < 3 * MOST; i++) {
            final String head = exchange(connect(), "/");
            assertServed(head, "client " + i);
            assertEquals(i >= MOST, head.contains("Connection: close"), "client " + i + ": " + head);
        }
        for (int i = 0; i < MOST; i++) {
            assertServed(exchange(clients.get(i), "/"), "client " + i + " still has its connection");
        }
        assertEquals(List.of(), events);
    }

    @Test
    void fullerAddressStatesShorterRestsAndEndsConnectionsOnlyAfterThem() throws Exception {
        final List<String> heads = new ArrayList<>();
        for (int i = 0; i < MOST; i++) {
            heads.add(exchange(connect(), "/"));
        }
        assertFalse(heads.get(0).contains("Keep-Alive"), heads.get(0));
        assertFalse(heads.get(1).contains("Keep-Alive"), heads.get(1));
        assertTrue(heads.get(2).contains("Keep-Alive: timeout=4"), heads.get(2));
        assertTrue(heads.get(3).contains("Keep-Alive: timeout=1"), heads.get(3));
        final long before = System.nanoTime();
        assertEquals(-1, clients.get(3).getInputStream().read(), "it rested for longer than it was told that it may");
        final long restedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - before);
        assertTrue(restedMs >= 1000, "it rested for " + restedMs + " ms");
        assertServed(exchange(clients.get(0), "/"), "the first one has the whole idle timeout");
        assertEquals("rest-over", events.get(0).facts().get("cause"));
    }

    @Test
    void idleTimeoutEndsRestingConnectionsAndHoldsForNewRestsAtOnce() throws Exception {
        final Socket first = connect();
        assertServed(exchange(first, "/"), "the first");
        idleTimeoutMs.set(300);
        final Socket second = connect();
        assertServed(exchange(second, "/"), "the second");
        assertEquals(-1, second.getInputStream().read());
        assertServed(exchange(first, "/"), "the first was promised the longer time");
        assertEquals(-1, first.getInputStream().read());
    }

    /** A response under way may take longer than a connection may rest. */
    @Test
    void idleTimeoutDoesNotEndARequest() throws Exception {
        idleTimeoutMs.set(10);
        final Socket client = connect();
        ask(client, "/held");
        final Runnable finish = held.get(20, TimeUnit.SECONDS);
        assertTrue(isSilent(client));
        TimeUnit.MILLISECONDS.sleep(3 * ClientConnections.REST_SLACK_MS);
        finish.run();
        assertServed(head(client), "the request");
    }

    /** Guards against connections that this side ends while the first part of a request has come. */
    @Test
    void partOfARequestKeepsItsConnection() throws Exception {
        idleTimeoutMs.set(10);
        final Socket client = connect();
        client.getOutputStream().write("GET / HT".getBytes(StandardCharsets.US_ASCII));
        TimeUnit.MILLISECONDS.sleep(3 * ClientConnections.REST_SLACK_MS);
        client.getOutputStream().write("TP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        assertServed(head(client), "the request");
    }

    @Test
    void silentConnectionsMakeRoom() throws Exception {
        for (int i = 0; i < MOST + OVERFLOW; i++) {
            connect();
        }
        assertServed(exchange(connect(), "/"), "the next");
    }

    @Test
    void anAddressWithoutALimitHoldsThemAll() throws Exception {
        final int open = all.open("address ", new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), handler());
        for (int round = 0; round < 2; round++) {
            for (int i = 0; i < 3 * MOST; i++) {
                final Socket s = round == 0 ? connect(open) : clients.get(i);
                final String head = exchange(s, "/");
                assertServed(head, "client " + i);
                assertFalse(head.contains("Keep-Alive") || head.contains("close"), head);
            }
        }
    }

    /** One that is not accepted costs its client no request: it is served as soon as a place is free. */
    @Test
    void whereAllAreAtWorkTheNextWaitsUnreadForAPlace() throws Exception {
        for (int i = 0; i < MOST + OVERFLOW; i++) {
            ask(connect(), "/busy");
            busy.acquire();
        }
        final Socket next = connect();
        ask(next, "/");
        assertTrue(isSilent(next));
        finishes.take().run();
        final Socket first = clients.get(0);
        assertTrue(head(first).contains("Connection: close"));
        first.close();
        assertServed(head(next), "the next");
        for (Runnable finish = finishes.poll(); finish != null; finish = finishes.poll()) {
            finish.run();
        }
        for (int i = 1; i < MOST + OVERFLOW; i++) {
            assertServed(head(clients.get(i)), "client " + i);
        }
    }

    @Test
    void aConnectionWithARequestUnderWayIsNotEnded() throws Exception {
        final Socket first = connect();
        ask(first, "/held");
        final Runnable finish = held.get(20, TimeUnit.SECONDS);
        for (int i = 0; i < 2 * MOST; i++) {
            assertServed(exchange(connect(), "/"), "client " + i);
        }
        finish.run();
        assertServed(head(first), "the first");
        assertTrue(clients.size() > MOST);
    }

    /** Places come and go many times, and none is lost. */
    @Test
    void placesAreGivenBack() throws Exception {
        for (int round = 0; round < 200; round++) {
            final Socket s = connect();
            if (round % 3 == 0) {
                s.setSoLinger(true, 0);
            } else {
                assertServed(exchange(s, "/"), "round " + round);
            }
            s.close();
        }
        for (int i = 0; i < MOST; i++) {
            assertServed(exchange(connect(), "/"), "client " + i);
        }
    }
}
