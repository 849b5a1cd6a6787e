package org.rowanvalve.server.origin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.data.origin.OriginTransport;

/**
 * The real pool and HTTP client against a bare socket that delays, doubles, splits, cuts and resets at every byte: each
 * request gets its own whole answer or none, and leaves once.
 */
class OriginResponsesTest extends OriginTransportFixture {
    OriginResponsesTest() {
        super(new ByIdProtocol());
    }

    private CompletableFuture<OriginTransport.OriginResponse> send(
            final RawPeer peer, final String method, final String id, final long ms) {
        final Origin origin = originAt(peer);
        final CompletableFuture<OriginTransport.OriginResponse> answer = new CompletableFuture<>();
        final byte[] body = method.equals("POST") ? ("for " + id).getBytes(StandardCharsets.US_ASCII) : null;
        loop.execute(() -> transport.send(
                origin,
                new OriginTransport.OutboundRequest("s", method, "/" + id, id, null, body, null, ms),
                () -> true,
                answer::complete));
        return answer;
    }

    private OriginTransport.OriginResponse ask(final RawPeer peer, final String method, final String id)
            throws Exception {
        return send(peer, method, id, 20_000).get(30, TimeUnit.SECONDS);
    }

    private static byte[] bytes(final String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String body(final String id) {
        return "body of " + id;
    }

    private static String whole(final String id, final boolean chunked) {
        final String text = body(id);
        final String head = "HTTP/1.1 200 OK\r\nId: " + id + "\r\n";
        return chunked
                ? head + "Transfer-Encoding: chunked\r\n\r\n4\r\n" + text.substring(0, 4) + "\r\n"
                        + Integer.toHexString(text.length() - 4) + "\r\n" + text.substring(4) + "\r\n0\r\n\r\n"
                : head + "Content-Length: " + text.length() + "\r\n\r\n" + text;
    }

    private static boolean write(final Socket to, final String text) throws IOException {
        to.getOutputStream().write(bytes(text));
        return true;
    }

    private static String shown(final OriginTransport.OriginResponse response) {
        return response.result() + " " + response.status() + " "
                + new String(response.body(), StandardCharsets.ISO_8859_1);
    }

    /** A whole answer is shown whole; cut after any byte, by an end or a reset, it is no answer. */
    @Test
    void anAnswerThatEndsEarlyNeverLooksComplete() throws Exception {
        for (final boolean chunked : List.of(false, true)) {
            for (final boolean reset : List.of(false, true)) {
                final int length = whole("i000", chunked).length();
                try (RawPeer peer = new RawPeer((asked, to) -> {
                    final String id = asked.heads().get("id");
                    write(to, whole(id, chunked).substring(0, Integer.parseInt(id.substring(1))));
                    return reset && RawPeer.reset(to);
                })) {
                    for (int cut = 0; cut < length; cut++) {
                        final OriginTransport.OriginResponse response = ask(peer, "GET", String.format("i%03d", cut));
                        assertEquals(
                                OriginTransport.ExchangeResult.LOST,
                                response.result(),
                                "cut at " + cut + ", chunked " + chunked);
                    }
                    assertEquals(length, peer.asked().size(), "each was sent once");
                }
            }
        }
    }

    @Test
    void whatDoesNotStateItsEndIsNoAnswer() throws Exception {
        for (final String head : List.of("", "Connection: close\r\n")) {
            try (RawPeer peer = new RawPeer((asked, to) -> {
                write(to, "HTTP/1.1 200 OK\r\nId: a\r\n" + head + "\r\npart of a bo");
                return false;
            })) {
                assertEquals(
                        OriginTransport.ExchangeResult.LOST,
                        ask(peer, "GET", "a").result());
            }
        }
    }

    /** After a byte too many, also one that comes apart from the answer, no other request is sent on the connection. */
    @Test
    void aConnectionWithAByteTooManyGivesNothingToTheNextRequest() throws Exception {
        for (final String surplus : List.of("x", "\r\nx", "HTTP/1.1 200 OK\r\n", whole("b", false), whole("a", true))) {
            for (final boolean chunked : List.of(false, true)) {
                try (RawPeer peer = new RawPeer((asked, to) -> {
                    final String id = asked.heads().get("id");
                    return write(to, whole(id, chunked) + (id.equals("a") ? surplus : ""));
                })) {
                    assertEquals("COMPLETE 200 body of a", shown(ask(peer, "GET", "a")), surplus);
                    assertEquals("COMPLETE 200 body of b", shown(ask(peer, "POST", "b")), surplus);
                    assertEquals(
                            List.of(0, 1),
                            peer.asked().stream().map(RawPeer.Asked::connection).toList(),
                            surplus);
                }
            }
        }
    }

    @Test
    void anotherRequestsAnswerIsNotShownAndItsConnectionIsClosed() throws Exception {
        try (RawPeer peer = new RawPeer((asked, to) -> {
            final String id = asked.heads().get("id");
            return write(to, whole(id.equals("a") ? "earlier" : id, false));
        })) {
            final OriginTransport.OriginResponse response = ask(peer, "POST", "a");
            assertEquals("INVALID another request's answer", response.result() + " " + response.reason());
            assertEquals("COMPLETE 200 body of b", shown(ask(peer, "POST", "b")));
            assertEquals(1, peer.asked().get(1).connection());
        }
    }

    @Test
    void interimAnswersGoBeforeTheAnswerAndStatusesWithoutABodyHaveNone() throws Exception {
        final Map<String, String> says = new HashMap<>();
        says.put("a", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + whole("a", false));
        says.put("b", "HTTP/1.1 102 Processing\r\n\r\n" + whole("b", true));
        says.put("c", "HTTP/1.1 204 No Content\r\nId: c\r\n\r\n");
        says.put("d", "HTTP/1.1 304 Not Modified\r\nId: d\r\nContent-Length: 99\r\n\r\n");
        says.put("e", "HTTP/1.1 401 Unauthorized\r\nId: e\r\nContent-Length: 2\r\n\r\nno");
        says.put("f", "HTTP/1.1 302 Found\r\nId: f\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n");
        says.put("g", whole("g", false));
        try (RawPeer peer =
                new RawPeer((asked, to) -> write(to, says.get(asked.heads().get("id"))))) {
            assertEquals("COMPLETE 200 body of a", shown(ask(peer, "GET", "a")));
            assertEquals("COMPLETE 200 body of b", shown(ask(peer, "GET", "b")));
            assertEquals("COMPLETE 204 ", shown(ask(peer, "GET", "c")));
            assertEquals("COMPLETE 304 ", shown(ask(peer, "GET", "d")));
            assertEquals("COMPLETE 401 no", shown(ask(peer, "GET", "e")));
            assertEquals("COMPLETE 302 ", shown(ask(peer, "GET", "f")));
            assertEquals("COMPLETE 200 body of g", shown(ask(peer, "GET", "g")));
            assertEquals(7, peer.asked().size(), "each was sent once");
            assertEquals(0, peer.asked().get(6).connection(), "on one connection");
        }
    }

    @Test
    void noAnswerButTheLastIsTheAnswer() throws Exception {
        try (RawPeer peer = new RawPeer((asked, to) -> write(
                to,
                "HTTP/1.1 101 Switching Protocols\r\nId: a\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"
                        + whole("a", false)))) {
            assertNotEquals(
                    OriginTransport.ExchangeResult.COMPLETE,
                    ask(peer, "GET", "a").result());
        }
    }

    /** The client adds nothing of its own that an origin could take for the caller's wish. */
    @Test
    void aRequestGoesOutAsItIsGiven() throws Exception {
        try (RawPeer peer = new RawPeer((asked, to) -> write(to, whole("a", false)))) {
            ask(peer, "POST", "a");
            final RawPeer.Asked one = peer.asked().get(0);
            assertEquals("POST /a HTTP/1.1", one.line());
            assertEquals("for a", new String(one.body(), StandardCharsets.US_ASCII));
            assertEquals(
                    List.of("content-length", "content-type", "host", "id"),
                    one.heads().keySet().stream().sorted().toList());
        }
    }

    /** Connections that an origin resets the moment they are used again: the request leaves no second time by itself. */
    @Test
    void aRequestThatMeetsAResetOfItsConnectionIsNotSentAgain() throws Exception {
        try (RawPeer peer = new RawPeer((asked, to) -> {
            if (asked.turn() == 1) {
                return RawPeer.reset(to);
            }
            return write(to, whole(asked.heads().get("id"), false));
        })) {
            for (int i = 0; i < 20; i += 2) {
                assertEquals(
                        OriginTransport.ExchangeResult.COMPLETE,
                        ask(peer, "POST", "r" + i).result());
                assertEquals(
                        OriginTransport.ExchangeResult.LOST,
                        ask(peer, "POST", "r" + (i + 1)).result());
            }
            assertEquals(20, peer.asked().size(), "each was sent once");
        }
    }

    /** Guards against a status that bytes behind an answer replace: seen with threads that wait for a processor. */
    @Test
    void eachRequestGetsItsOwnWholeAnswerBesideBusyThreads() throws Exception {
        final AtomicBoolean busy = new AtomicBoolean(true);
        for (int i = 0; i < Runtime.getRuntime().availableProcessors(); i++) {
            final Thread thread = new Thread(() -> {
                while (busy.get()) {
                    Thread.onSpinWait();
                }
            });
            thread.setDaemon(true);
            thread.start();
        }
        try {
            eachRequestGetsItsOwnWholeAnswerOrNone();
        } finally {
            busy.set(false);
        }
    }

    /** Drawn answers: whole, in pieces, doubled, late, cut, another's, reset; each request's end against what was written. */
    @Test
    void eachRequestGetsItsOwnWholeAnswerOrNone() throws Exception {
        int whole = 0;
        int other = 0;
        for (int seed = 0; seed < 12; seed++) {
            final Random random = new Random(seed);
            final List<String> earlier = new ArrayList<>();
            try (RawPeer peer = new RawPeer((asked, to) -> drawn(asked, to, random, earlier))) {
                final Map<String, CompletableFuture<OriginTransport.OriginResponse>> asked = new HashMap<>();
                for (int i = 0; i < 60; i++) {
                    final String id = "s" + seed + "r" + i;
                    final CompletableFuture<OriginTransport.OriginResponse> answer =
                            send(peer, i % 2 == 0 ? "GET" : "POST", id, 1500);
                    asked.put(id, answer);
                    if (i % 3 != 0) {
                        answer.get(30, TimeUnit.SECONDS);
                    }
                }
                for (final Map.Entry<String, CompletableFuture<OriginTransport.OriginResponse>> entry :
                        asked.entrySet()) {
                    final OriginTransport.OriginResponse response =
                            entry.getValue().get(30, TimeUnit.SECONDS);
                    if (response.result() == OriginTransport.ExchangeResult.COMPLETE) {
                        assertEquals("COMPLETE 200 " + body(entry.getKey()), shown(response), "seed " + seed);
                        whole++;
                    } else {
                        assertTrue(
                                response.result() == OriginTransport.ExchangeResult.LOST
                                        || response.result() == OriginTransport.ExchangeResult.INVALID,
                                "seed " + seed + ": " + response.result() + " " + response.reason());
                        other++;
                    }
                }
                final List<String> ids =
                        peer.asked().stream().map(a -> a.heads().get("id")).toList();
                assertEquals(ids.stream().distinct().count(), ids.size(), "each was sent once, seed " + seed);
                peer.asked()
                        .forEach(a ->
                                assertEquals("/" + a.heads().get("id"), a.line().split(" ")[1]));
            }
        }
        assertTrue(whole > 150 && other > 100, whole + " whole, " + other + " not");
    }

    private static boolean drawn(
            final RawPeer.Asked asked, final Socket to, final Random shared, final List<String> earlier)
            throws IOException {
        final Random random;
        final String last;
        final String id = asked.heads().get("id");
        synchronized (shared) {
            random = new Random(shared.nextLong());
            last = earlier.isEmpty() ? "none" : earlier.get(random.nextInt(earlier.size()));
            earlier.add(id);
        }
        final byte[] answer = bytes(whole(id, random.nextBoolean()));
        final OutputStream out = to.getOutputStream();
        final int cut = random.nextInt(answer.length);
        return switch (random.nextInt(10)) {
            case 0, 1, 2 -> pieces(out, answer, random);
            case 3 -> {
                out.write(Arrays.copyOf(answer, cut));
                yield false;
            }
            case 4 -> {
                out.write(Arrays.copyOf(answer, cut));
                yield RawPeer.reset(to);
            }
            case 5 -> pieces(out, bytes(whole(last, random.nextBoolean())), random) && pieces(out, answer, random);
            case 6 -> pieces(out, answer, random) && pieces(out, bytes(whole(last, random.nextBoolean())), random);
            case 7 -> {
                final byte[] second = bytes(whole(last, random.nextBoolean()));
                yield pieces(out, answer, random)
                        && pieces(out, Arrays.copyOf(second, random.nextInt(second.length)), random);
            }
            case 8 -> pieces(out, bytes("no answer at all \r\n\r\n"), random);
            default -> RawPeer.reset(to);
        };
    }

    private static boolean pieces(final OutputStream out, final byte[] data, final Random random) throws IOException {
        for (int at = 0; at < data.length; ) {
            final int next = Math.min(data.length, at + 1 + random.nextInt(data.length));
            out.write(data, at, next - at);
            out.flush();
            at = next;
        }
        return true;
    }
}
