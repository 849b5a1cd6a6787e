package org.rowanvalve.server.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.AckResponse;
import org.rowanvalve.common.message.DigestRequest;
import org.rowanvalve.common.message.MessageCodec;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.server.thread.CoreEventLoop;

/** After a cut or a loss of power TCP sends again only seconds later, so what is sent next takes another connection. */
@Timeout(60)
class SilentPeerTest {
    private static final NodeId PEER = NodeId.of("peer");
    private static final long PATIENT = 10_000;
    private static final long LONGER = 100_000;
    private final CoreEventLoop loop = new CoreEventLoop();
    private final AtomicLong now = new AtomicLong(1000);
    private ServerSocket peer;
    private TcpTransport net;

    @BeforeEach
    void begin() throws IOException {
        loop.start();
        peer = new ServerSocket();
        peer.bind(new InetSocketAddress("127.0.0.1", 0), 1);
        peer.setSoTimeout((int) PATIENT);
        net = new TcpTransport(
                NodeId.of("one"),
                loop,
                new EventJournal(loop, 100),
                Map.of(PEER, new InetSocketAddress("127.0.0.1", peer.getLocalPort())),
                Map.of(),
                TrafficMeter.NONE,
                now::get);
        net.bind(new InetSocketAddress("127.0.0.1", 0), (from, msg, back) -> back.accept(new AckResponse()));
    }

    @AfterEach
    void end() throws IOException {
        net.stop();
        loop.stop();
        peer.close();
    }

    private CompletableFuture<Reply> ask(final int number) {
        final CompletableFuture<Reply> got = new CompletableFuture<>();
        loop.execute(() -> net.request(PEER, new DigestRequest(0, number), LONGER, got::complete));
        return got;
    }

    private static MessageCodec.Frame read(final Socket s) throws Exception {
        final DataInputStream in = new DataInputStream(s.getInputStream());
        final byte[] data = new byte[in.readInt()];
        in.readFully(data);
        return MessageCodec.decodeFrame(data);
    }

    private static void answer(final Socket s, final MessageCodec.Frame asked) throws IOException {
        final byte[] data = MessageCodec.encode(
                new MessageCodec.Frame(MessageCodec.PROTOCOL_VERSION, 0, asked.id(), PEER, new AckResponse()));
        final DataOutputStream out = new DataOutputStream(s.getOutputStream());
        out.writeInt(data.length);
        out.write(data);
        out.flush();
    }

    private static Reply of(final CompletableFuture<Reply> f) throws Exception {
        return f.get(PATIENT, TimeUnit.MILLISECONDS);
    }

    @Test
    void whatFollowsALongSilenceTakesAnotherConnection() throws Exception {
        final CompletableFuture<Reply> first = ask(1);
        try (Socket silent = peer.accept()) {
            final MessageCodec.Frame early = read(silent);
            now.addAndGet(PeerConnection.SILENCE_TIMEOUT_MILLIS);
            final CompletableFuture<Reply> second = ask(2);
            try (Socket fresh = peer.accept()) {
                final MessageCodec.Frame late = read(fresh);
                assertEquals(new DigestRequest(0, 2), late.message());
                answer(fresh, late);
                assertEquals(new AckResponse(), of(second).message());
                answer(silent, early);
                assertEquals(
                        new AckResponse(), of(first).message(), "an answer on the earlier connection still counts");
                assertEquals(-1, silent.getInputStream().read(), "which ends once nothing is awaited on it");
            }
        }
    }

    @Test
    void aPeerThatIsHeardKeepsItsConnection() throws Exception {
        final CompletableFuture<Reply> first = ask(1);
        try (Socket s = peer.accept()) {
            final MessageCodec.Frame early = read(s);
            final CompletableFuture<Reply> second = ask(2);
            answer(s, read(s));
            assertEquals(new AckResponse(), of(second).message());
            now.addAndGet(PeerConnection.SILENCE_TIMEOUT_MILLIS);
            final CompletableFuture<Reply> third = ask(3);
            final MessageCodec.Frame late = read(s);
            assertEquals(new DigestRequest(0, 3), late.message());
            answer(s, late);
            answer(s, early);
            assertEquals(new AckResponse(), of(third).message());
            assertEquals(new AckResponse(), of(first).message());
        }
    }

    @Test
    void aConnectThatHangsIsGivenUpForTheNextAskAndItsOwnWasNotSent() throws Exception {
        final List<Socket> crowd = new ArrayList<>();
        try {
            fill(crowd);
            final CompletableFuture<Reply> first = ask(1);
            of(ofLoop());
            now.addAndGet(PeerConnection.CONNECT_TIMEOUT_MILLIS);
            ask(2);
            assertEquals(Reply.Failure.NOT_SENT, of(first).failure());
        } finally {
            for (final Socket s : crowd) {
                s.close();
            }
        }
    }

    /** Connections that nobody accepts, until no more fit: the next one hangs. */
    private void fill(final List<Socket> crowd) throws IOException {
        while (true) {
            final Socket s = new Socket();
            crowd.add(s);
            try {
                s.connect(peer.getLocalSocketAddress(), 200);
            } catch (final java.net.SocketTimeoutException e) {
                return;
            }
        }
    }

    /** Once all asks so far are with the wire. */
    private CompletableFuture<Reply> ofLoop() {
        final CompletableFuture<Reply> got = new CompletableFuture<>();
        loop.execute(() -> net.request(NodeId.of("nobody"), new AckResponse(), PATIENT, got::complete));
        return got;
    }
}
