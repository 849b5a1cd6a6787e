package org.rowanvalve.server.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.rowanvalve.server.process.Main;
import org.rowanvalve.server.process.Program;

/** An address that may hold a few connections only, over real sockets. */
class ConnectionLimitTest {
    private static final int MOST = 4;
    private final Server server = HttpAddresses.server("test");
    private final HttpAddresses all = new HttpAddresses(server);
    private final List<Socket> clients = new ArrayList<>();
    private final CompletableFuture<Runnable> held = new CompletableFuture<>();
    private final Semaphore busy = new Semaphore(0);
    private int port;

    @BeforeEach
    void begin() throws Exception {
        Main.configureLogging();
        server.setHandler(all);
        Program.startServer(server, "server");
        port = all.open("address ", new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), handler(), MOST);
    }

    private Handler handler() {
        return new Handler.Abstract() {
            @Override
            public boolean handle(final Request req, final Response res, final Callback done) {
                if (req.getHttpURI().getPath().equals("/held")) {
                    held.complete(() -> res.write(true, ByteBuffer.allocate(0), done));
                } else if (req.getHttpURI().getPath().equals("/busy")) {
                    busy.release();
                } else {
                    res.write(true, ByteBuffer.allocate(0), done);
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

    /** The status, or "closed" where the other side ended the connection instead. */
    private static String answer(final Socket s) throws IOException {
        final StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            final int b = s.getInputStream().read();
            if (b < 0) {
                return "closed";
            }
            head.append((char) b);
        }
        return head.substring(9, 12);
    }

    @Test
    void whoeverComesIsServedAndTheLongestIdleMakeRoom() throws Exception {
        for (int i = 0; i < 3 * MOST; i++) {
            final Socket s = connect();
            ask(s, "/");
            assertEquals("200", answer(s), "client " + i);
        }
        for (int i = 0; i < 2 * MOST; i++) {
            assertEquals("closed", answer(clients.get(i)), "client " + i + " has rested the longest");
        }
        final Socket last = clients.get(3 * MOST - 1);
        ask(last, "/");
        assertEquals("200", answer(last), "the last ones are kept");
    }

    @Test
    void anAddressWithoutALimitHoldsThemAll() throws Exception {
        final int open = all.open("address ", new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), handler());
        for (int round = 0; round < 2; round++) {
            for (int i = 0; i < 3 * MOST; i++) {
                final Socket s = round == 0 ? connect(open) : clients.get(i);
                ask(s, "/");
                assertEquals("200", answer(s), "client " + i);
            }
        }
    }

    @Test
    void whereAllAreAtWorkTheNextIsClosedUnreadInsteadOfWaiting() throws Exception {
        final Socket last = connect();
        for (int i = 0; i < MOST + MOST / 4; i++) {
            final Socket s = i == 0 ? last : connect();
            ask(s, "/busy");
            busy.acquire();
        }
        assertEquals("closed", answer(connect()));
    }

    @Test
    void aConnectionWithARequestUnderWayIsNotEnded() throws Exception {
        final Socket first = connect();
        ask(first, "/held");
        final Runnable finish = held.get(20, TimeUnit.SECONDS);
        for (int i = 0; i < 2 * MOST; i++) {
            final Socket s = connect();
            ask(s, "/");
            assertEquals("200", answer(s), "client " + i);
        }
        finish.run();
        assertEquals("200", answer(first));
        assertTrue(clients.size() > MOST);
    }
}
