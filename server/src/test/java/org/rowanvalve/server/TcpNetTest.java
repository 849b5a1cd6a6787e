package org.rowanvalve.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;
import org.rowanvalve.common.Wire;

class TcpNetTest {
    private final CoreLoop loop = new CoreLoop();
    private final Journal journal = new Journal(loop, 100);
    private final List<Msg> got = new CopyOnWriteArrayList<>();
    private TcpNet one;
    private TcpNet two;
    private int port;

    @BeforeEach
    void begin() throws IOException {
        loop.start();
        two = new TcpNet(NodeId.of("two"), loop, journal, Map.of(), Map.of());
        two.bind(new InetSocketAddress("127.0.0.1", 0), (from, msg, back) -> {
            got.add(msg);
            back.accept(new Msg.Nay("heard " + from));
        });
        port = two.bound();
        one = new TcpNet(
                NodeId.of("one"),
                loop,
                journal,
                Map.of(
                        NodeId.of("two"),
                        new InetSocketAddress("127.0.0.1", port),
                        NodeId.of("dead"),
                        new InetSocketAddress("127.0.0.1", 1)),
                Map.of());
        one.bind(new InetSocketAddress("127.0.0.1", 0), (from, msg, back) -> back.accept(new Msg.Ok()));
    }

    @AfterEach
    void end() {
        one.stop();
        two.stop();
        loop.stop();
    }

    private Reply ask(final String to, final Msg msg) throws Exception {
        final CompletableFuture<Reply> f = new CompletableFuture<>();
        loop.post(() -> one.ask(NodeId.of(to), msg, 5000, f::complete));
        return f.get(20, TimeUnit.SECONDS);
    }

    @Test
    void anAskIsAnswered() throws Exception {
        assertEquals(new Msg.Nay("heard one"), ask("two", new Msg.Query(0, 4)).msg());
        assertEquals(List.of(new Msg.Query(0, 4)), got);
    }

    @Test
    void whatCouldNotBeSentIsSaidToBeUnsent() throws Exception {
        assertEquals(Reply.Trouble.NOT_SENT, ask("nobody", new Msg.Ok()).trouble());
    }

    @Test
    void aPeerThatIsGoneIsAnAnswerAtOnce() throws Exception {
        assertTrue(ask("dead", new Msg.Ok()).trouble() != Reply.Trouble.NONE);
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
        assertEquals(Reply.Trouble.NONE, ask("two", new Msg.Query(0, 1)).trouble());
        final CompletableFuture<String> closed = new CompletableFuture<>();
        journal.fold(e -> {
            if (e.event().code() == Code.CIRCUIT_CLOSED) {
                closed.complete(e.event().line());
            }
        });
        try (Socket s = new Socket("127.0.0.1", port)) {
            final DataOutputStream out = new DataOutputStream(s.getOutputStream());
            if (kind.equals("long")) {
                out.writeInt(Wire.LIMIT + 1);
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
        assertEquals(Reply.Trouble.NONE, ask("two", new Msg.Query(0, 2)).trouble());
    }
}
