package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;
import org.rowanvalve.control.Origin;
import org.rowanvalve.data.AnswerCheck;
import org.rowanvalve.data.Port;
import org.rowanvalve.server.CoreLoop;
import org.rowanvalve.server.OriginPort;

/** The real way to origins against the stand-in over HTTP. */
@Isolated
class OriginPortTest {
    private final CoreLoop loop = new CoreLoop();
    private final HttpClient http = new HttpClient();
    private final Log log = new Log();
    private Originator origin;
    private OriginPort port;
    private Port.Gate gate = () -> true;

    @BeforeEach
    void begin() throws Exception {
        loop.start();
        http.start();
        port = new OriginPort(loop, http);
        origin = new Originator("s1", new Stock("s"), "content", "127.0.0.1", List.of("127.0.0.1:1"), log);
        origin.start(0, "none");
    }

    @AfterEach
    void end() throws Exception {
        http.stop();
        origin.close();
        loop.stop();
    }

    private Port.Got send(final Origin to, final String id, final long span) throws Exception {
        final CompletableFuture<Port.Got> f = new CompletableFuture<>();
        loop.post(
                () -> port.send(to, new Port.Send("s", "GET", "/s/1", id, null, null, null, span), gate, f::complete));
        return f.get(30, TimeUnit.SECONDS);
    }

    private Origin at(final String service, final String stamp, final int to) {
        return new Origin(service, "127.0.0.1", to, stamp, "content", 0, 10_000, false, 1);
    }

    private Origin here() {
        return at("s", origin.face().stamp(), origin.port());
    }

    private long asked() {
        return log.rows().stream().filter(r -> "org".equals(r.get("log"))).count();
    }

    @Test
    void aWholeAnswerProvesItself() throws Exception {
        final Port.Got got = send(here(), "r1", 20_000);
        assertEquals(Port.End.WHOLE, got.end());
        assertEquals(
                "",
                AnswerCheck.fault(
                        here(), new Port.Send("s", "GET", "/s/1", "r1", null, null, null, 1), got.heads(), got.body()));
        assertEquals(Port.End.WHOLE, send(here(), "r2", 20_000).end());
        assertEquals(2, asked());
    }

    @Test
    void someoneElseAtTheAddressGetsNoRequest() throws Exception {
        assertEquals(
                Port.End.STRANGE,
                send(at("t", origin.face().stamp(), origin.port()), "r1", 20_000)
                        .end());
        assertEquals(
                Port.End.STRANGE,
                send(at("s", "older", origin.port()), "r2", 20_000).end());
        assertEquals(0, asked());
    }

    @Test
    void theAddressHandedToAnotherServiceBetweenTwoRequests() throws Exception {
        final Origin to = here();
        assertEquals(Port.End.WHOLE, send(to, "r1", 20_000).end());
        final int old = origin.port();
        origin.stop();
        origin.start(old, "foreign");
        final Port.Got got = send(to, "r2", 20_000);
        assertTrue(got.end() != Port.End.WHOLE, got.toString());
        assertEquals(Port.End.STRANGE, send(to, "r3", 20_000).end());
        assertEquals(1, asked());
    }

    /** The right ended while the new circuit was asked who it is: no request leaves, on a new circuit or an old one. */
    @Test
    void aRightThatEndsDuringTheIdentityCheckSendsNothing() throws Exception {
        gate = () -> false;
        assertEquals(Port.End.BARRED, send(here(), "r1", 20_000).end());
        gate = () -> true;
        assertEquals(Port.End.WHOLE, send(here(), "r2", 20_000).end());
        gate = () -> false;
        assertEquals(Port.End.BARRED, send(here(), "r3", 20_000).end());
        assertEquals(1, asked());
    }

    @Test
    void wrongBytesDoNotProveThemselves() throws Exception {
        origin.face().fault("wrong", 1);
        final Port.Got got = send(here(), "r1", 20_000);
        assertEquals(Port.End.BAD, got.end());
        assertEquals("digest differs", got.why());
    }

    @Test
    void aLostAnswerMayHaveRunAndADeadAddressHasNot() throws Exception {
        origin.face().fault("lose", 1);
        assertEquals(Port.End.LOST, send(here(), "r1", 2500).end());
        assertEquals(1, asked());
        final Origin dead = here();
        origin.stop();
        assertEquals(
                Port.End.NOT_SENT,
                send(at("s", dead.stamp() + "x", dead.port()), "r2", 20_000).end());
    }
}
