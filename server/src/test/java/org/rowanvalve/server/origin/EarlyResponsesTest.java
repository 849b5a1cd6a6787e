package org.rowanvalve.server.origin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.data.origin.OriginTransport;

/**
 * Origins that answer before they have read a request's body, and more than once: what comes behind the first answer is read
 * while the request is still being sent, and is no part of any answer.
 */
class EarlyResponsesTest extends OriginTransportFixture {
    /** More than the sockets of both sides hold, so that the request is being sent until the origin reads. */
    private static final int BODY_BYTES = 24 << 20;

    private static final long REQUEST_TIMEOUT_MILLIS = 5_000;

    EarlyResponsesTest() {
        super(new ByIdProtocol());
    }

    private OriginTransport.OriginResponse ask(final RawPeer peer, final String id, final int bodyBytes)
            throws Exception {
        final Origin origin = originAt(peer);
        final CompletableFuture<OriginTransport.OriginResponse> answer = new CompletableFuture<>();
        loop.execute(() -> transport.send(
                origin,
                new OriginTransport.OutboundRequest(
                        "s", "POST", "/" + id, id, null, new byte[bodyBytes], null, REQUEST_TIMEOUT_MILLIS),
                () -> true,
                answer::complete));
        return answer.get(30, TimeUnit.SECONDS);
    }

    private static String answer(final String id) {
        final String text = "body of " + id;
        return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + text.length() + "\r\n\r\n" + text;
    }

    private static boolean write(final Socket to, final String text, final long pauseMs) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        to.getOutputStream().flush();
        try {
            TimeUnit.MILLISECONDS.sleep(pauseMs);
        } catch (final InterruptedException e) {
            return false;
        }
        return true;
    }

    private static String shown(final OriginTransport.OriginResponse response) {
        return response.result() + " " + response.status() + " "
                + new String(response.body(), StandardCharsets.ISO_8859_1);
    }

    private void assertThatTheNextRequestIsServedOnAnotherConnection(final RawPeer peer, final String surplus)
            throws Exception {
        final OriginTransport.OriginResponse next = ask(peer, "next", 1);
        assertEquals("COMPLETE 200 body of next", shown(next), next.reason() + " after " + surplus + peer.asked());
        assertEquals(
                List.of(0, 1),
                peer.asked().stream().map(RawPeer.Asked::connection).toList());
    }

    /** Guards against the body of an answer to another request under the head of one's own. */
    @ParameterizedTest
    @ValueSource(longs = {0, 100})
    void anotherRequestsAnswerBeforeOnesOwnIsNotShown(final long pauseMs) throws Exception {
        try (RawPeer peer = new RawPeer(
                (asked, to) -> {
                    final String id = asked.heads().get("id");
                    return id.equals("next")
                            ? write(to, answer("next"), 0)
                            : write(to, answer("other"), pauseMs) && write(to, answer(id), 100);
                },
                true)) {
            final OriginTransport.OriginResponse response = ask(peer, "own", BODY_BYTES);
            assertNotEquals(OriginTransport.ExchangeResult.COMPLETE, response.result(), shown(response));
            assertThatTheNextRequestIsServedOnAnotherConnection(peer, "");
        }
    }

    /** The head of one's own answer comes while the request is being sent, and the rest of it later. */
    @Test
    void anotherRequestsAnswerIsNotShownUnderTheHeadOfOnesOwn() throws Exception {
        try (RawPeer peer = new RawPeer(
                (asked, to) -> {
                    final String id = asked.heads().get("id");
                    final int head = answer(id).indexOf("body of");
                    return id.equals("next")
                            ? write(to, answer("next"), 0)
                            : write(to, answer("else"), 100)
                                    && write(to, answer(id).substring(0, head), 100);
                },
                true)) {
            final OriginTransport.OriginResponse response = ask(peer, "mine", BODY_BYTES);
            assertNotEquals(OriginTransport.ExchangeResult.COMPLETE, response.result(), shown(response));
            assertThatTheNextRequestIsServedOnAnotherConnection(peer, "");
        }
    }

    /** Guards against a body that is read from the library's buffer after other bytes have been read into it. */
    @Test
    void bytesThatComeBehindABodyDoNotReplaceIt() throws Exception {
        try (RawPeer peer = new RawPeer(
                (asked, to) -> {
                    final String id = asked.heads().get("id");
                    final int head = answer(id).indexOf("body of");
                    return id.equals("next")
                            ? write(to, answer("next"), 0)
                            : write(to, answer(id).substring(0, head), 100)
                                    && write(to, answer(id).substring(head), 100)
                                    && write(to, "\nbody of another", 100);
                },
                true)) {
            assertEquals("COMPLETE 200 body of own", shown(ask(peer, "own", BODY_BYTES)));
            assertThatTheNextRequestIsServedOnAnotherConnection(peer, "");
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 100})
    void whatComesBehindOnesOwnAnswerChangesNothingOfIt(final long pauseMs) throws Exception {
        for (final String surplus : List.of(answer("other"), answer("own"), "x", "HTTP/1.1 500 No\r\nId: own\r\n")) {
            try (RawPeer peer = new RawPeer(
                    (asked, to) -> {
                        final String id = asked.heads().get("id");
                        return id.equals("next")
                                ? write(to, answer("next"), 0)
                                : write(to, answer(id), pauseMs) && write(to, surplus, 100);
                    },
                    true)) {
                assertEquals("COMPLETE 200 body of own", shown(ask(peer, "own", BODY_BYTES)), surplus);
                assertThatTheNextRequestIsServedOnAnotherConnection(peer, surplus);
            }
        }
    }
}
