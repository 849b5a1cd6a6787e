package org.rowanvalve.server.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.AckResponse;
import org.rowanvalve.common.message.DigestRequest;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.MessageCodec;
import org.rowanvalve.common.message.RejectedResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.server.thread.CoreEventLoop;

class TcpTransportTest {
    private final CoreEventLoop loop = new CoreEventLoop();
    private final EventJournal journal = new EventJournal(loop, 100);
    private final List<Message> got = new CopyOnWriteArrayList<>();
    private TcpTransport one;
    private TcpTransport two;
    private int port;

    @BeforeEach
    void begin() throws IOException {
        loop.start();
        two = new TcpTransport(NodeId.of("two"), loop, journal, Map.of(), Map.of());
        two.bind(new InetSocketAddress("127.0.0.1", 0), (from, msg, back) -> {
            got.add(msg);
            back.accept(new RejectedResponse("heard " + from));
        });
        port = two.boundPort();
        one = new TcpTransport(
                NodeId.of("one"),
                loop,
                journal,
                Map.of(
                        NodeId.of("two"),
                        new InetSocketAddress("127.0.0.1", port),
                        NodeId.of("dead"),
                        new InetSocketAddress("127.0.0.1", 1)),
                Map.of());
        one.bind(new InetSocketAddress("127.0.0.1", 0), (from, msg, back) -> back.accept(new AckResponse()));
    }

    @AfterEach
    void end() {
        one.stop();
        two.stop();
        loop.stop();
    }

    /** What came on a connection can be given up when it ends; it is told after all that came on it. */
    @Test
    void theEndOfAConnectionIsToldToTheOneWhoWasAskedOnIt() throws Exception {
        final BlockingQueue<Long> events = new LinkedBlockingQueue<>();
        two.setHandler((from, msg, back) -> events.add(back.connectionId()));
        two.onConnectionClosed(events::add);
        loop.execute(() -> one.request(NodeId.of("two"), new AckResponse(), 5000, reply -> {}));
        final long asked = events.poll(10, TimeUnit.SECONDS);
        assertTrue(asked != Transport.Responder.NO_CONNECTION);
        assertNull(events.poll(200, TimeUnit.MILLISECONDS), "it stands");
        one.stop();
        assertEquals(asked, events.poll(10, TimeUnit.SECONDS));
    }

    private Reply ask(final String to, final Message msg) throws Exception {
        final CompletableFuture<Reply> f = new CompletableFuture<>();
        loop.execute(() -> one.request(NodeId.of(to), msg, 5000, f::complete));
        return f.get(20, TimeUnit.SECONDS);
    }

    @Test
    void anAskIsAnswered() throws Exception {
        assertEquals(
                new RejectedResponse("heard one"),
                ask("two", new DigestRequest(0, 4)).message());
        assertEquals(List.of(new DigestRequest(0, 4)), got);
    }

    @Test
    void whatCouldNotBeSentIsSaidToBeUnsent() throws Exception {
        assertEquals(Reply.Failure.NOT_SENT, ask("nobody", new AckResponse()).failure());
    }

    @Test
    void aPeerThatIsGoneIsAnAnswerAtOnce() throws Exception {
        assertTrue(ask("dead", new AckResponse()).failure() != Reply.Failure.NONE);
    }

    private static byte[] frame(final String kind) throws IOException {
        final CBORMapper map = new CBORMapper();
        final byte[] data =
                switch (kind) {
                    case "unknown" ->
                        map.writeValueAsBytes(
                                Map.of("v", 1, "id", 1, "re", 0, "from", "one", "msg", Map.of("t", "Dance")));
                    case "version" ->
                        map.writeValueAsBytes(
                                Map.of("v", 9, "id", 1, "re", 0, "from", "one", "msg", Map.of("t", "Ok")));
                    default -> new byte[] {1, 2, 3, 4, 5};
                };
        return data;
    }

    @ParameterizedTest
    @ValueSource(strings = {"long", "unknown", "version", "noise", "short"})
    void aBadFrameEndsItsCircuitAndHarmsNothingElse(final String kind) throws Exception {
        assertEquals(Reply.Failure.NONE, ask("two", new DigestRequest(0, 1)).failure());
        final CompletableFuture<String> closed = new CompletableFuture<>();
        journal.subscribe(entry -> {
            if (entry.event().code() == EventCode.CIRCUIT_CLOSED) {
                closed.complete(entry.event().format());
            }
        });
        try (Socket s = new Socket("127.0.0.1", port)) {
            final DataOutputStream out = new DataOutputStream(s.getOutputStream());
            if (kind.equals("long")) {
                out.writeInt(MessageCodec.MAX_FRAME_BYTES + 1);
            } else if (kind.equals("short")) {
                out.writeInt(100);
                out.write(7);
                s.shutdownOutput();
            } else {
                final byte[] data = frame(kind);
                out.writeInt(data.length);
                out.write(data);
            }
            out.flush();
            assertTrue(closed.get(20, TimeUnit.SECONDS).startsWith("RV1101"));
            assertEquals(-1, s.getInputStream().read());
        }
        assertEquals(Reply.Failure.NONE, ask("two", new DigestRequest(0, 2)).failure());
    }
}
