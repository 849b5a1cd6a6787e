package org.rowanvalve.server.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
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

/** What a server hears of its clients' connections while it handles their requests, over real sockets. */
class ClientEndPointTest {
    private static final long PROMPT_MS = 2000;
    private static final long NOTHING_COMES_MS = 400;
    private final Server server = HttpAddresses.server("test");
    private final HttpAddresses addresses = new HttpAddresses(server);
    private final BlockingQueue<Held> requests = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> closed = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> libraryEvents = new LinkedBlockingQueue<>();
    private final List<Socket> clients = new ArrayList<>();
    private boolean watched = true;
    private int port;

    /** A request that is not answered yet. */
    private record Held(Request request, Response response, Callback callback, String path) {
        void answer() {
            ClientEndPoint.ignoreClose(request);
            response.getHeaders().put("Content-Length", path.length());
            response.write(true, ByteBuffer.wrap(path.getBytes(StandardCharsets.US_ASCII)), callback);
        }
    }

    @BeforeEach
    void begin() throws Exception {
        Main.configureLogging();
        server.setHandler(addresses);
        Program.startServer(server, "server");
        port = addresses.open(
                "address ", new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), new HoldingHandler());
    }

    private final class HoldingHandler extends Handler.Abstract {
        @Override
        public boolean handle(final Request request, final Response response, final Callback callback) {
            final String path = request.getHttpURI().getPath();
            request.addFailureListener(failure -> libraryEvents.add("failure " + path));
            Request.addCompletionListener(request, failure -> libraryEvents.add("completion " + path));
            RequestBody.read(request, 1 << 16).whenComplete((body, trouble) -> {
                if (watched) {
                    ClientEndPoint.onClose(request, () -> closed.add(path));
                }
                requests.add(new Held(request, response, callback, path));
            });
            return true;
        }
    }

    @AfterEach
    void end() throws Exception {
        for (final Socket client : clients) {
            client.close();
        }
        server.stop();
    }

    private Socket connect() throws IOException {
        final Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
        client.setTcpNoDelay(true);
        client.setSoTimeout(10_000);
        clients.add(client);
        return client;
    }

    private static void send(final Socket client, final String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String get(final String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    private static String post(final String path, final String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private Held nextRequest() throws InterruptedException {
        final Held held = requests.poll(10, TimeUnit.SECONDS);
        assertTrue(held != null, "a request comes");
        return held;
    }

    private static void reset(final Socket client) throws IOException {
        client.setSoLinger(true, 0);
        client.close();
    }

    /** The body of one response. */
    private static String read(final Socket client) throws IOException {
        final InputStream in = client.getInputStream();
        final ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            final int b = in.read();
            assertTrue(b >= 0, "the connection ended after: " + head.toString(StandardCharsets.ISO_8859_1));
            head.write(b);
        }
        final String text = head.toString(StandardCharsets.ISO_8859_1);
        final int at = text.toLowerCase(java.util.Locale.ROOT).indexOf("content-length: ") + 16;
        final int length = Integer.parseInt(text.substring(at, text.indexOf('\r', at)));
        return new String(in.readNBytes(length), StandardCharsets.US_ASCII);
    }

    /** The reason for reading ahead: while a request is handled, nothing in the library tells of an end or a reset. */
    @Test
    void theHttpLibraryAloneTellsNeitherOfAnEndNorOfAReset() throws Exception {
        watched = false;
        final Socket ends = connect();
        send(ends, get("/ends"));
        final Held first = nextRequest();
        ends.close();
        final Socket resets = connect();
        send(resets, get("/resets"));
        final Held second = nextRequest();
        reset(resets);
        assertNull(libraryEvents.poll(NOTHING_COMES_MS, TimeUnit.MILLISECONDS));
        first.answer();
        second.answer();
        assertTrue(libraryEvents.poll(10, TimeUnit.SECONDS) != null, "it hears of it when it writes");
    }

    @Test
    void anEndAndAResetAreToldWhileTheRequestIsHandled() throws Exception {
        for (final boolean byReset : new boolean[] {false, true}) {
            final Socket client = connect();
            final String path = "/left-" + byReset;
            send(client, get(path));
            nextRequest();
            if (byReset) {
                reset(client);
            } else {
                client.close();
            }
            assertEquals(path, closed.poll(PROMPT_MS, TimeUnit.MILLISECONDS));
        }
    }

    @Test
    void aClientThatLeftBeforeItsRequestWasHandledIsToldOf() throws Exception {
        final Socket client = connect();
        send(client, post("/early", "body"));
        client.close();
        nextRequest();
        assertEquals("/early", closed.poll(PROMPT_MS, TimeUnit.MILLISECONDS));
    }

    @Test
    void aCloseOnAKeptConnectionIsToldForTheRequestThatIsHandled() throws Exception {
        final Socket client = connect();
        for (int turn = 0; turn < 3; turn++) {
            send(client, turn == 1 ? post("/kept-" + turn, "x".repeat(3000)) : get("/kept-" + turn));
            nextRequest().answer();
            assertEquals("/kept-" + turn, read(client));
        }
        send(client, get("/last"));
        nextRequest();
        assertNull(closed.poll(50, TimeUnit.MILLISECONDS));
        client.close();
        assertEquals("/last", closed.poll(PROMPT_MS, TimeUnit.MILLISECONDS));
    }

    /** False alarms, and bytes of the next request that are lost, are worse than a close that is not seen. */
    @Test
    void bytesOfTheNextRequestsAreNoCloseAndAreNotLost() throws Exception {
        final Socket client = connect();
        send(client, get("/one") + get("/two") + "GET /thr");
        final Held one = nextRequest();
        send(client, "ee HTTP/1.1\r\nHost: h\r\n\r\n" + post("/four", "y".repeat(5000)));
        assertNull(closed.poll(NOTHING_COMES_MS, TimeUnit.MILLISECONDS), "nobody has left");
        one.answer();
        assertEquals("/one", read(client));
        for (final String path : List.of("/two", "/three", "/four")) {
            final Held next = nextRequest();
            assertEquals(path, next.path());
            next.answer();
            assertEquals(path, read(client));
        }
        assertTrue(closed.isEmpty());
    }

    @Test
    void bytesThatComeInSmallPiecesWhileRequestsAreHandledAreNotLost() throws Exception {
        assertNoBytesAreLost(held -> {});
    }

    /** Guards against bytes that the look-up takes from the HTTP connection. */
    @Test
    void bytesThatComeWhileACloseIsLookedForAreNotLost() throws Exception {
        assertNoBytesAreLost(held -> {
            for (int i = 0; i < 200; i++) {
                ClientEndPoint.checkClose(held.request());
            }
        });
    }

    private void assertNoBytesAreLost(final Consumer<Held> whileItIsHandled) throws Exception {
        final Socket client = connect();
        final StringBuilder all = new StringBuilder();
        for (int i = 0; i < 60; i++) {
            all.append(i % 3 == 0 ? post("/p" + i, "z".repeat(i * 40)) : get("/p" + i));
        }
        final Thread writer = new Thread(() -> {
            try {
                for (int at = 0; at < all.length(); at += 7) {
                    send(client, all.substring(at, Math.min(all.length(), at + 7)));
                }
            } catch (final IOException e) {
                closed.add("cannot write: " + e);
            }
        });
        writer.start();
        for (int i = 0; i < 60; i++) {
            final Held next = nextRequest();
            assertEquals("/p" + i, next.path());
            whileItIsHandled.accept(next);
            next.answer();
            assertEquals("/p" + i, read(client));
        }
        writer.join();
        assertTrue(closed.isEmpty(), closed.toString());
    }

    @Test
    void aCloseThatIsLookedForIsToldOnce() throws Exception {
        final Socket client = connect();
        send(client, get("/left"));
        final Held held = nextRequest();
        ClientEndPoint.checkClose(held.request());
        assertTrue(closed.isEmpty());
        client.close();
        for (int i = 0; i < 1000 && closed.isEmpty(); i++) {
            ClientEndPoint.checkClose(held.request());
        }
        assertEquals("/left", closed.poll(PROMPT_MS, TimeUnit.MILLISECONDS));
        ClientEndPoint.checkClose(held.request());
        assertNull(closed.poll(NOTHING_COMES_MS, TimeUnit.MILLISECONDS));
    }

    /** Guards against a request that is sent on although its connection was closed on this side. */
    @Test
    void aConnectionThatThisSideHasClosedIsFoundWhenItIsLookedFor() throws Exception {
        final Socket client = connect();
        send(client, get("/ended"));
        final Held held = nextRequest();
        held.request().getConnectionMetaData().getConnection().getEndPoint().close();
        ClientEndPoint.checkClose(held.request());
        assertEquals("/ended", closed.poll());
    }

    @Test
    void aCloseBehindTheNextRequestsBytesIsTold() throws Exception {
        final Socket client = connect();
        send(client, get("/first") + get("/second"));
        nextRequest();
        client.close();
        assertEquals("/first", closed.poll(PROMPT_MS, TimeUnit.MILLISECONDS));
    }

    /** It counts as having left, but what is written to it arrives. */
    @Test
    void aClientThatOnlyEndsItsSendingSideGetsItsResponse() throws Exception {
        final Socket client = connect();
        send(client, get("/half"));
        final Held held = nextRequest();
        client.shutdownOutput();
        assertEquals("/half", closed.poll(PROMPT_MS, TimeUnit.MILLISECONDS));
        held.answer();
        assertEquals("/half", read(client));
        assertEquals(-1, client.getInputStream().read(), "and then the end");
    }

    @Test
    void aCloseAfterTheResponseIsNoMatter() throws Exception {
        final Socket client = connect();
        send(client, get("/done"));
        nextRequest().answer();
        assertEquals("/done", read(client));
        client.close();
        assertNull(closed.poll(NOTHING_COMES_MS, TimeUnit.MILLISECONDS));
    }

    @Test
    void theServersOwnEndDoesNotLookLikeAClientThatLeft() throws Exception {
        final Socket client = connect();
        send(client, get("/served"));
        nextRequest();
        server.stop();
        assertNull(closed.poll(NOTHING_COMES_MS, TimeUnit.MILLISECONDS));
        assertFalse(client.isClosed());
    }
}
