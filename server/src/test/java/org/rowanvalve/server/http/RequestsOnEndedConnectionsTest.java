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
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
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

/** Guards against requests that are handled although this side has closed their connection to make room for others. */
class RequestsOnEndedConnectionsTest {
    private static final int MOST = 16;
    private static final int CLIENTS = 48;
    private static final int RUN_MS = 4000;
    private static final int MAX_WORK_MICROS = 2000;
    private static final int MAX_PAUSE_MICROS = 8000;

    private final Server server = HttpAddresses.server("test");
    private final HttpAddresses addresses = new HttpAddresses(server);
    private final ScheduledExecutorService workers = Executors.newScheduledThreadPool(2);
    private final Set<String> handled = ConcurrentHashMap.newKeySet();
    private final Set<String> unanswered = ConcurrentHashMap.newKeySet();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger connects = new AtomicInteger();
    private int port;

    @BeforeEach
    void begin() throws Exception {
        Main.configureLogging();
        server.setHandler(addresses);
        Program.startServer(server, "server");
        port = addresses.open(
                "address ", new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), new WorkingHandler(), MOST);
    }

    @AfterEach
    void end() throws Exception {
        server.stop();
        workers.shutdownNow();
    }

    /** Answers each request after some work. */
    private final class WorkingHandler extends Handler.Abstract {
        @Override
        public boolean handle(final Request request, final Response response, final Callback callback) {
            final String path = request.getHttpURI().getPath();
            handled.add(path);
            workers.schedule(
                    () -> {
                        ClientEndPoint.announceKeepAlive(request, response);
                        response.write(true, ByteBuffer.allocate(0), callback);
                    },
                    Math.floorMod(path.hashCode(), MAX_WORK_MICROS),
                    TimeUnit.MICROSECONDS);
            return true;
        }
    }

    /** A client that keeps its connection until it is told to close it, or finds it closed. */
    private final class KeepingClient implements Runnable {
        private final int number;
        private final Random random;
        private Socket socket;

        KeepingClient(final int number) {
            this.number = number;
            this.random = new Random(number);
        }

        @Override
        public void run() {
            final long endAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RUN_MS);
            for (int i = 0; System.nanoTime() < endAt; i++) {
                try {
                    if (socket == null) {
                        socket = connect();
                    }
                    final String path = "/" + number + "-" + i;
                    sent.incrementAndGet();
                    if (!ask(path)) {
                        unanswered.add(path);
                        close();
                    }
                    TimeUnit.MICROSECONDS.sleep(random.nextInt(MAX_PAUSE_MICROS));
                } catch (final IOException | InterruptedException e) {
                    close();
                }
            }
            close();
        }

        private Socket connect() throws IOException {
            connects.incrementAndGet();
            final Socket s = new Socket(InetAddress.getLoopbackAddress(), port);
            s.setTcpNoDelay(true);
            s.setSoTimeout(20_000);
            return s;
        }

        private void close() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (final IOException e) {
                assertTrue(socket.isClosed());
            }
            socket = null;
        }

        /** Whether the request was answered. */
        private boolean ask(final String path) {
            final StringBuilder head = new StringBuilder();
            try {
                socket.getOutputStream()
                        .write(("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                while (head.indexOf("\r\n\r\n") < 0) {
                    final int b = socket.getInputStream().read();
                    if (b < 0) {
                        return false;
                    }
                    head.append((char) b);
                }
            } catch (final IOException e) {
                return false;
            }
            if (head.toString().toLowerCase(Locale.ROOT).contains("connection: close")) {
                close();
            }
            return true;
        }
    }

    @Test
    void crowdOfKeptConnectionsCostsHandshakesAndNoRequest() throws Exception {
        final List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Thread(new KeepingClient(i), "client-" + i));
        }
        clients.forEach(Thread::start);
        for (final Thread client : clients) {
            client.join();
        }
        final List<String> handledAndLost =
                unanswered.stream().filter(handled::contains).sorted().toList();
        final String counts = sent + " sent, " + connects + " connects, " + unanswered.size() + " unanswered, "
                + handledAndLost.size() + " of these handled";
        assertEquals(List.of(), handledAndLost, counts);
        assertEquals(Set.of(), unanswered, counts);
        assertTrue(sent.get() > CLIENTS, counts);
    }
}
