package org.rowanvalve.server;

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
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;
import org.rowanvalve.common.Wire;
import org.rowanvalve.common.WireTrouble;

/**
 * The wire between processes against a bare socket that splits, doubles, cuts and resets frames at every byte: each
 * question leaves once and gets its own answer or none, and what is said to be unsent has not arrived.
 */
class TcpFramesTest {
    private static final NodeId ONE = NodeId.of("one");
    private final CoreLoop loop = new CoreLoop();
    private final Journal journal = new Journal(loop, 1000);
    private final List<AutoCloseable> open = new ArrayList<>();
    private TcpNet net;

    @BeforeEach
    void begin() throws IOException {
        loop.start();
        net = new TcpNet(ONE, loop, journal, Map.of(), Map.of());
        net.bind(new InetSocketAddress("127.0.0.1", 0), (from, msg, back) -> back.accept(new Msg.Ok()));
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
        void serve(Socket connection, DataInputStream in) throws IOException, WireTrouble;
    }

    private NodeId peer(final String name, final Script script) throws IOException {
        final ServerSocket door = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        open.add(door);
        final Thread thread = new Thread(
                () -> {
                    while (!door.isClosed()) {
                        try (Socket connection = door.accept()) {
                            script.serve(connection, new DataInputStream(connection.getInputStream()));
                        } catch (final IOException | WireTrouble e) {
                            continue;
                        }
                    }
                },
                "raw-" + name);
        thread.setDaemon(true);
        thread.start();
        final NodeId id = NodeId.of(name);
        net.learn(id, new InetSocketAddress(InetAddress.getLoopbackAddress(), door.getLocalPort()));
        return id;
    }

    private CompletableFuture<Reply> ask(final NodeId to, final Msg msg, final long wait) {
        final CompletableFuture<Reply> answer = new CompletableFuture<>();
        loop.post(() -> net.ask(to, msg, wait, answer::complete));
        return answer;
    }

    private static Reply end(final CompletableFuture<Reply> answer) throws Exception {
        return answer.get(30, TimeUnit.SECONDS);
    }

    private static Wire.Envelope read(final DataInputStream in) throws IOException, WireTrouble {
        return Wire.open(in.readNBytes(in.readInt()));
    }

    private static byte[] frame(final long re, final Msg msg) {
        final byte[] data = Wire.pack(new Wire.Envelope(Wire.VERSION, 0, re, NodeId.of("peer"), msg));
        return ByteBuffer.allocate(4 + data.length)
                .putInt(data.length)
                .put(data)
                .array();
    }

    /** The right answer to a question names its number. */
    private static Msg answer(final Wire.Envelope asked) {
        return new Msg.Nay("for " + ((Msg.Query) asked.msg()).hash());
    }

    @Test
    void anAnswerThatIsCutAfterAnyByteIsNone() throws Exception {
        final int length = frame(100, answer(new Wire.Envelope(1, 100, 0, ONE, new Msg.Query(0, 100)))).length;
        final NodeId to = peer("p", (connection, in) -> {
            final Wire.Envelope asked = read(in);
            final byte[] whole = frame(asked.id(), answer(asked));
            final int cut = (int) ((Msg.Query) asked.msg()).hash() - 100;
            connection.getOutputStream().write(whole, 0, Math.min(cut, whole.length - 1));
            if (cut % 2 == 0) {
                RawPeer.reset(connection);
            }
        });
        for (int cut = 0; cut < length; cut++) {
            assertEquals(
                    Reply.Trouble.NO_ANSWER,
                    end(ask(to, new Msg.Query(0, 100 + cut), 20_000)).trouble(),
                    "at " + cut);
        }
    }

    /** Large questions fill the way to a peer that reads some of them, and of the next one a part. */
    @Test
    void whatIsSaidToBeUnsentDidNotArrive() throws Exception {
        final Random dice = new Random(1);
        final List<String> arrived = new CopyOnWriteArrayList<>();
        final NodeId to = peer("p", (connection, in) -> {
            final int whole = dice.nextInt(3);
            for (int i = 0; i < whole; i++) {
                arrived.add(((Msg.Reported) read(in).msg()).json().split(" ")[0]);
            }
            in.readNBytes(dice.nextInt(200_000));
            RawPeer.reset(connection);
        });
        int unsent = 0;
        for (int round = 0; round < 10; round++) {
            final Map<String, CompletableFuture<Reply>> answers = new HashMap<>();
            for (int i = 0; i < 16; i++) {
                final String name = round + "." + i;
                answers.put(name, ask(to, new Msg.Reported(name + " " + "x".repeat(1_000_000)), 700));
            }
            for (final Map.Entry<String, CompletableFuture<Reply>> e : answers.entrySet()) {
                final Reply.Trouble trouble = end(e.getValue()).trouble();
                assertNotEquals(Reply.Trouble.NONE, trouble);
                if (trouble == Reply.Trouble.NOT_SENT) {
                    unsent++;
                    assertFalse(arrived.contains(e.getKey()), e.getKey() + " was unsent, and has arrived");
                }
            }
        }
        assertTrue(unsent > 10 && !arrived.isEmpty(), unsent + " unsent, " + arrived.size() + " arrived");
    }

    @Test
    void aQuestionThatIsCutAfterAnyByteIsNotTakenUp() throws Exception {
        final List<Msg> taken = new CopyOnWriteArrayList<>();
        net.serve((from, msg, back) -> {
            taken.add(msg);
            back.accept(new Msg.Ok());
        });
        final byte[] data = Wire.pack(new Wire.Envelope(Wire.VERSION, 7, 0, NodeId.of("peer"), new Msg.Query(0, 9)));
        final byte[] whole = ByteBuffer.allocate(4 + data.length)
                .putInt(data.length)
                .put(data)
                .array();
        for (int cut = 0; cut < whole.length; cut++) {
            try (Socket s = new Socket("127.0.0.1", net.bound())) {
                s.getOutputStream().write(whole, 0, cut);
                if (cut % 2 == 0) {
                    RawPeer.reset(s);
                }
            }
        }
        try (Socket s = new Socket("127.0.0.1", net.bound())) {
            for (final byte b : whole) {
                s.getOutputStream().write(b);
            }
            final Wire.Envelope e = read(new DataInputStream(s.getInputStream()));
            assertEquals(7, e.re());
        }
        assertEquals(List.of(new Msg.Query(0, 9)), taken);
    }

    /** An answer on a connection that the question did not go out on ends that connection and not the question. */
    @Test
    void anAnswerFromElsewhereIsNone() throws Exception {
        final CompletableFuture<Long> asked = new CompletableFuture<>();
        final CompletableFuture<Boolean> forged = new CompletableFuture<>();
        final NodeId slow = peer("slow", (connection, in) -> {
            final Wire.Envelope e = read(in);
            asked.complete(e.id());
            forged.join();
            connection.getOutputStream().write(frame(e.id(), answer(e)));
            in.read();
        });
        final NodeId liar = peer("liar", (connection, in) -> {
            read(in);
            connection.getOutputStream().write(frame(asked.join(), new Msg.Nay("forged")));
            forged.complete(in.read() < 0);
        });
        final CompletableFuture<Reply> first = ask(slow, new Msg.Query(0, 1), 20_000);
        asked.get(30, TimeUnit.SECONDS);
        final CompletableFuture<Reply> second = ask(liar, new Msg.Query(0, 2), 20_000);
        assertTrue(forged.get(30, TimeUnit.SECONDS), "its connection is closed");
        assertEquals(Reply.Trouble.NO_ANSWER, end(second).trouble());
        assertEquals(new Msg.Nay("for 1"), end(first).msg());
    }

    @Test
    void anAnswerLargerThanAFrameIsToldAtOnce() throws Exception {
        net.serve((from, msg, back) -> back.accept(new Msg.Reported("x".repeat(Wire.LIMIT))));
        try (Socket s = new Socket("127.0.0.1", net.bound())) {
            final byte[] data =
                    Wire.pack(new Wire.Envelope(Wire.VERSION, 7, 0, NodeId.of("peer"), new Msg.Query(0, 9)));
            s.getOutputStream()
                    .write(ByteBuffer.allocate(4 + data.length)
                            .putInt(data.length)
                            .put(data)
                            .array());
            final Wire.Envelope e = read(new DataInputStream(s.getInputStream()));
            assertEquals(new Msg.Nay("the answer is larger than a frame"), e.msg());
        }
    }

    /** Drawn: in pieces, doubled, out of order, late ones of earlier questions, cut, reset, noise. */
    @Test
    void eachQuestionGetsItsOwnAnswerOrNone() throws Exception {
        final Random dice = new Random(7);
        final List<Long> seen = Collections.synchronizedList(new ArrayList<>());
        final List<byte[]> earlier = new ArrayList<>();
        final NodeId to = peer("p", (connection, in) -> {
            boolean on = true;
            while (on) {
                final Wire.Envelope asked = read(in);
                seen.add(((Msg.Query) asked.msg()).hash());
                on = drawn(connection, frame(asked.id(), answer(asked)), dice, earlier);
            }
        });
        final Map<Long, CompletableFuture<Reply>> answers = new HashMap<>();
        int answered = 0;
        int none = 0;
        for (long n = 1; n <= 600; n++) {
            answers.put(n, ask(to, new Msg.Query(0, n), 1500));
            if (n % 4 == 0) {
                end(answers.get(n));
            }
        }
        for (final Map.Entry<Long, CompletableFuture<Reply>> e : answers.entrySet()) {
            final Reply r = end(e.getValue());
            if (r.trouble() == Reply.Trouble.NONE) {
                assertEquals(new Msg.Nay("for " + e.getKey()), r.msg());
                answered++;
            } else {
                none++;
                assertFalse(r.trouble() == Reply.Trouble.NOT_SENT && seen.contains(e.getKey()), "unsent, and arrived");
            }
        }
        assertEquals(seen.stream().distinct().count(), seen.size(), "each arrived once");
        assertTrue(answered > 100 && none > 20, answered + " answered, " + none + " not");
    }

    private static boolean drawn(
            final Socket connection, final byte[] answer, final Random dice, final List<byte[]> earlier)
            throws IOException {
        final OutputStream out = connection.getOutputStream();
        earlier.add(answer);
        final byte[] late = earlier.get(dice.nextInt(earlier.size()));
        final int roll = dice.nextInt(16);
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
            out.write(Arrays.copyOf(answer, dice.nextInt(answer.length)));
            return false;
        } else if (roll == 14) {
            out.write(Arrays.copyOf(answer, dice.nextInt(answer.length)));
            return RawPeer.reset(connection);
        } else {
            out.write(new byte[] {0, 0, 0, 2, 1, 1});
        }
        return true;
    }
}
