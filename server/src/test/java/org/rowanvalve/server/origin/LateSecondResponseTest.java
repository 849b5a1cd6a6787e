package org.rowanvalve.server.origin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.data.origin.OriginTransport;

/**
 * Guards against an origin's second copy of a response that is taken for the response to a later send of the same request
 * ID, which the request ID cannot tell apart.
 */
class LateSecondResponseTest extends OriginTransportFixture {
    private static final String REPEATED = "repeated";

    /** A status 503 states that the request was not executed. */
    private static final class RefusingProtocol extends ByIdProtocol {
        @Override
        public OriginTransport.OriginResponse read(
                final Origin origin,
                final OriginTransport.OutboundRequest request,
                final int status,
                final Map<String, String> heads,
                final byte[] body) {
            return status == 503
                    ? OriginTransport.OriginResponse.failure(OriginTransport.ExchangeResult.NOT_EXECUTED, "status 503")
                    : super.read(origin, request, status, heads, body);
        }
    }

    LateSecondResponseTest() {
        super(new RefusingProtocol());
    }

    private String ask(final RawPeer peer, final String method, final String id) throws Exception {
        final Origin origin = originAt(peer);
        final CompletableFuture<OriginTransport.OriginResponse> response = new CompletableFuture<>();
        loop.execute(() -> transport.send(
                origin,
                new OriginTransport.OutboundRequest("s", method, "/" + id, id, null, null, null, 5000),
                () -> true,
                response::complete));
        final OriginTransport.OriginResponse received = response.get(10, TimeUnit.SECONDS);
        return received.result() + " " + new String(received.body(), StandardCharsets.US_ASCII);
    }

    private static boolean write(final Socket connection, final String status, final String id, final String body)
            throws IOException {
        connection
                .getOutputStream()
                .write(("HTTP/1.1 " + status + "\r\nId: " + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n"
                                + body)
                        .getBytes(StandardCharsets.US_ASCII));
        return true;
    }

    private static boolean refuse(final Socket connection, final String id) throws IOException {
        return write(connection, "503 Full", id, "");
    }

    private static boolean isFirst(final RawPeer.Asked asked) {
        return asked.connection() == 0 && asked.turn() == 0;
    }

    /** The origin works on the second send, while the copy of its earlier refusal is on the way. */
    @ParameterizedTest
    @ValueSource(strings = {"GET", "POST"})
    void secondCopyOfARefusalIsNotTheResponseToTheNextSendOfTheSameRequest(final String method) throws Exception {
        try (RawPeer peer = new RawPeer((asked, connection) -> {
            if (isFirst(asked)) {
                return refuse(connection, REPEATED);
            }
            return (asked.connection() != 0 || refuse(connection, REPEATED))
                    && write(connection, "200 OK", REPEATED, "executed");
        })) {
            assertEquals("NOT_EXECUTED ", ask(peer, method, REPEATED));
            assertEquals("COMPLETE executed", ask(peer, method, REPEATED));
        }
    }

    /** A request in between whose response is in its place shows nothing about a copy that comes later still. */
    @Test
    void secondCopyIsNotTheResponseToALaterSendEither() throws Exception {
        try (RawPeer peer = new RawPeer((asked, connection) -> {
            final String id = asked.heads().get("id");
            if (isFirst(asked)) {
                return refuse(connection, id);
            }
            return (asked.connection() != 0 || !id.equals(REPEATED) || refuse(connection, REPEATED))
                    && write(connection, "200 OK", id, "executed " + id);
        })) {
            assertEquals("NOT_EXECUTED ", ask(peer, "POST", REPEATED));
            assertEquals("COMPLETE executed other", ask(peer, "POST", "other"));
            assertEquals("COMPLETE executed " + REPEATED, ask(peer, "POST", REPEATED));
        }
    }

    /** An object that changed between two fills of one request: the copy of the first response is the old version. */
    @Test
    void secondCopyOfAResponseIsNotTheResponseToTheNextSendOfTheSameRequest() throws Exception {
        try (RawPeer peer = new RawPeer((asked, connection) -> {
            if (isFirst(asked)) {
                return write(connection, "200 OK", REPEATED, "old");
            }
            return (asked.connection() != 0 || write(connection, "200 OK", REPEATED, "old"))
                    && write(connection, "200 OK", REPEATED, "new");
        })) {
            assertEquals("COMPLETE old", ask(peer, "GET", REPEATED));
            assertEquals("COMPLETE new", ask(peer, "GET", REPEATED));
        }
    }
}
