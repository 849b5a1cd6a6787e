package org.rowanvalve.server.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.AckResponse;
import org.rowanvalve.common.message.DigestRequest;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.MessageCodec;
import org.rowanvalve.common.message.MessageFormatException;
import org.rowanvalve.common.message.RejectedResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.message.StatusResponse;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.server.origin.RawPeer;
import org.rowanvalve.server.thread.CoreEventLoop;

/**
 * The wire between processes against a bare socket that splits, doubles, cuts and resets frames at every byte: each
 * question leaves once and gets its own answer or none, and what is said to be unsent has not arrived.
 */
class TcpFramesTest {
    private static final NodeId ONE = NodeId.of("one");
    private final CoreEventLoop loop = new CoreEventLoop();
    private final EventJournal journal = new EventJournal(loop, 1000);
    private final List<AutoCloseable> open = new ArrayList<>();
    private TcpTransport net;

    @BeforeEach
    void begin() throws IOException {
        loop.start();
        net = new TcpTransport(ONE, loop, journal, Map.of(), Map.of());
        net.bind(new InetSocketAddress("127.0.0.1", 0), (from, msg, back) -> back.accept(new AckResponse()));
    }

    @AfterEach
    void end() throws Exception {
        for (final AutoCloseable c : open) {
            c.close();
        }
        net.stop();
        loop.stop();
    }

    /** What the peer does with a connection. */
    @FunctionalInterface
    private interface Script {
        void serve(Socket connection, DataInputStream in) throws IOException, MessageFormatException;
    }

    private NodeId peer(final String name, final Script scenario) throws IOException {
        final ServerSocket door = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        open.add(door);
        final Thread thread = new Thread(
                () -> {
                    while (!door.isClosed()) {
                        try (Socket connection = door.accept()) {
                            scenario.serve(connection, new DataInputStream(connection.getInputStream()));
                        } catch (final IOException | MessageFormatException e) {
                            continue;
                        }
                    }
                },
                "raw-" + name);
        thread.setDaemon(true);
        thread.start();
        final NodeId id = NodeId.of(name);
        net.learnAddress(id, new InetSocketAddress(InetAddress.getLoopbackAddress(), door.getLocalPort()));
        return id;
    }

    private CompletableFuture<Reply> ask(final NodeId recipient, final Message msg, final long wait) {
        final CompletableFuture<Reply> answer = new CompletableFuture<>();
        loop.execute(() -> net.request(recipient, msg, wait, answer::complete));
        return answer;
    }

    private static Reply end(final CompletableFuture<Reply> answer) throws Exception {
        return answer.get(30, TimeUnit.SECONDS);
    }

    private static MessageCodec.Frame read(final DataInputStream in) throws IOException, MessageFormatException {
        return MessageCodec.decodeFrame(in.readNBytes(in.readInt()));
    }

    private static byte[] frame(final long re, final Message msg) {
        final byte[] data = MessageCodec.encode(
                new MessageCodec.Frame(MessageCodec.PROTOCOL_VERSION, 0, re, NodeId.of("peer"), msg));
        return ByteBuffer.allocate(4 + data.length)
                .putInt(data.length)
                .put(data)
                .array();
    }

    /** The right answer to a question names its number. */
    private static Message answer(final MessageCodec.Frame asked) {
        return new RejectedResponse("for " + ((DigestRequest) asked.message()).digest());
    }

    @Test
    void anAnswerThatIsCutAfterAnyByteIsNone() throws Exception {
        final int length = frame(100, answer(new MessageCodec.Frame(1, 100, 0, ONE, new DigestRequest(0, 100)))).length;
        final NodeId recipient = peer("p", (connection, in) -> {
            final MessageCodec.Frame asked = read(in);
            final byte[] whole = frame(asked.id(), answer(asked));
            final int cut = (int) ((DigestRequest) asked.message()).digest() - 100;
            connection.getOutputStream().write(whole, 0, Math.min(cut, whole.length - 1));
            if (cut % 2 == 0) {
                RawPeer.reset(connection);
            }
        });
        for (int cut = 0; cut < length; cut++) {
            assertEquals(
                    Reply.Failure.NO_RESPONSE,
                    end(ask(recipient, new DigestRequest(0, 100 + cut), 20_000)).failure(),
                    "at " + cut);
        }
    }

    /** Large questions fill the way to a peer that reads some of them, and of the next one a part. */
    @Test
    void whatIsSaidToBeUnsentDidNotArrive() throws Exception {
        final Random random = new Random(1);
        final List<String> arrived = new CopyOnWriteArrayList<>();
        final NodeId recipient = peer("p", (connection, in) -> {
            final int whole = random.nextInt(3);
            for (int i = 0; i < whole; i++) {
                arrived.add(((StatusResponse) read(in).message()).json().split(" ")[0]);
            }
            in.readNBytes(random.nextInt(200_000));
            RawPeer.reset(connection);
        });
        int unsent = 0;
        for (int round = 0; round < 10; round++) {
            final Map<String, CompletableFuture<Reply>> answers = new HashMap<>();
            for (int i = 0; i < 16; i++) {
                final String name = round + "." + i;
                answers.put(name, ask(recipient, new StatusResponse(name + " " + "x".repeat(1_000_000)), 700));
            }
            for (final Map.Entry<String, CompletableFuture<Reply>> entry : answers.entrySet()) {
                final Reply.Failure trouble = end(entry.getValue()).failure();
                assertNotEquals(Reply.Failure.NONE, trouble);
                if (trouble == Reply.Failure.NOT_SENT) {
                    unsent++;
                    assertFalse(arrived.contains(entry.getKey()), entry.getKey() + " was unsent, and has arrived");
                }
            }
        }
        assertTrue(unsent > 10 && !arrived.isEmpty(), unsent + " unsent, " + arrived.size() + " arrived");
    }

    @Test
    void aQuestionThatIsCutAfterAnyByteIsNotTakenUp() throws Exception {
        final List<Message> taken = new CopyOnWriteArrayList<>();
        net.setHandler((from, msg, back) -> {
            taken.add(msg);
            back.accept(new AckResponse());
        });
        final byte[] data = MessageCodec.encode(new MessageCodec.Frame(
                MessageCodec.PROTOCOL_VERSION, 7, 0, NodeId.of("peer"), new DigestRequest(0, 9)));
        final byte[] whole = ByteBuffer.allocate(4 + data.length)
                .putInt(data.length)
                .put(data)
                .array();
        for (int cut = 0; cut < whole.length; cut++) {
            try (Socket s = new Socket("127.0.0.1", net.boundPort())) {
                s.getOutputStream().write(whole, 0, cut);
                if (cut % 2 == 0) {
                    RawPeer.reset(s);
                }
            }
        }
        try (Socket s = new Socket("127.0.0.1", net.boundPort())) {
            for (final byte b : whole) {
                s.getOutputStream().write(b);
            }
            final MessageCodec.Frame e = read(new DataInputStream(s.getInputStream()));
            assertEquals(7, e.inReplyTo());
        }
        assertEquals(List.of(new DigestRequest(0, 9)), taken);
    }

    /** An answer on a connection that the question did not go out on ends that connection and not the question. */
    @Test
    void anAnswerFromElsewhereIsNone() throws Exception {
        final CompletableFuture<Long> asked = new CompletableFuture<>();
        final CompletableFuture<Boolean> forged = new CompletableFuture<>();
        final NodeId slow = peer("slow", (connection, in) -> {
            final MessageCodec.Frame e = read(in);
            asked.complete(e.id());
            forged.join();
            connection.getOutputStream().write(frame(e.id(), answer(e)));
            in.read();
        });
        final NodeId liar = peer("liar", (connection, in) -> {
            read(in);
            connection.getOutputStream().write(frame(asked.join(), new RejectedResponse("forged")));
            forged.complete(in.read() < 0);
        });
        final CompletableFuture<Reply> first = ask(slow, new DigestRequest(0, 1), 20_000);
        asked.get(30, TimeUnit.SECONDS);
        final CompletableFuture<Reply> second = ask(liar, new DigestRequest(0, 2), 20_000);
        assertTrue(forged.get(30, TimeUnit.SECONDS), "its connection is closed");
        assertEquals(Reply.Failure.NO_RESPONSE, end(second).failure());
        assertEquals(new RejectedResponse("for 1"), end(first).message());
    }

    @Test
    void anAnswerLargerThanAFrameIsToldAtOnce() throws Exception {
        net.setHandler((from, msg, back) -> back.accept(new StatusResponse("x".repeat(MessageCodec.MAX_FRAME_BYTES))));
        try (Socket s = new Socket("127.0.0.1", net.boundPort())) {
            final byte[] data = MessageCodec.encode(new MessageCodec.Frame(
                    MessageCodec.PROTOCOL_VERSION, 7, 0, NodeId.of("peer"), new DigestRequest(0, 9)));
            s.getOutputStream()
                    .write(ByteBuffer.allocate(4 + data.length)
                            .putInt(data.length)
                            .put(data)
                            .array());
            final MessageCodec.Frame e = read(new DataInputStream(s.getInputStream()));
            assertEquals(new RejectedResponse("the answer is larger than a frame"), e.message());
        }
    }

    /** Drawn: in pieces, doubled, out of order, late ones of earlier questions, cut, reset, noise. */
    @Test
    void eachQuestionGetsItsOwnAnswerOrNone() throws Exception {
        final Random random = new Random(7);
        final List<Long> seen = Collections.synchronizedList(new ArrayList<>());
        final List<byte[]> earlier = new ArrayList<>();
        final NodeId recipient = peer("p", (connection, in) -> {
            boolean on = true;
            while (on) {
                final MessageCodec.Frame asked = read(in);
                seen.add(((DigestRequest) asked.message()).digest());
                on = drawn(connection, frame(asked.id(), answer(asked)), random, earlier);
            }
        });
        final Map<Long, CompletableFuture<Reply>> answers = new HashMap<>();
        int answered = 0;
        int none = 0;
        for (long n = 1; n <= 600; n++) {
            answers.put(n, ask(recipient, new DigestRequest(0, n), 1500));
            if (n % 4 == 0) {
                end(answers.get(n));
            }
        }
        for (final Map.Entry<Long, CompletableFuture<Reply>> entry : answers.entrySet()) {
            final Reply reply = end(entry.getValue());
            if (reply.failure() == Reply.Failure.NONE) {
                assertEquals(new RejectedResponse("for " + entry.getKey()), reply.message());
                answered++;
            } else {
                none++;
                assertFalse(
                        reply.failure() == Reply.Failure.NOT_SENT && seen.contains(entry.getKey()),
                        "unsent, and arrived");
            }
        }
        assertEquals(seen.stream().distinct().count(), seen.size(), "each arrived once");
        assertTrue(answered > 100 && none > 20, answered + " answered, " + none + " not");
    }

    private static boolean drawn(
            final Socket connection, final byte[] answer, final Random random, final List<byte[]> earlier)
            throws IOException {
        final OutputStream out = connection.getOutputStream();
        earlier.add(answer);
        final byte[] late = earlier.get(random.nextInt(earlier.size()));
        final int roll = random.nextInt(16);
        if (roll < 8) {
            for (final byte b : answer) {
                out.write(b);
            }
        } else if (roll < 11) {
            out.write(answer);
            out.write(roll == 8 ? answer : late);
        } else if (roll < 13) {
            out.write(late);
            out.write(answer);
        } else if (roll == 13) {
            out.write(Arrays.copyOf(answer, random.nextInt(answer.length)));
            return false;
        } else if (roll == 14) {
            out.write(Arrays.copyOf(answer, random.nextInt(answer.length)));
            return RawPeer.reset(connection);
        } else {
            out.write(new byte[] {0, 0, 0, 2, 1, 1});
        }
        return true;
    }
}
