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
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.data.origin.OriginResponseValidator;
import org.rowanvalve.data.origin.OriginTransport;
import org.rowanvalve.server.origin.HttpOriginTransport;
import org.rowanvalve.server.thread.CoreEventLoop;
import org.rowanvalve.testkit.log.RunLog;
import org.rowanvalve.testkit.origin.StandInBackend;
import org.rowanvalve.testkit.origin.StandInOrigin;

/** The real way to origins against the stand-in over HTTP. */
@Isolated
class HttpOriginTransportTest {
    private final CoreEventLoop loop = new CoreEventLoop();
    private final HttpClient http = new HttpClient();
    private final RunLog log = new RunLog();
    private StandInOrigin origin;
    private HttpOriginTransport port;
    private OriginTransport.Permission gate = () -> true;

    @BeforeEach
    void begin() throws Exception {
        loop.start();
        http.start();
        port = new HttpOriginTransport(loop, http);
        origin = new StandInOrigin("s1", new StandInBackend("s"), "content", "127.0.0.1", List.of("127.0.0.1:1"), log);
        origin.start(0, "none");
    }

    @AfterEach
    void end() throws Exception {
        http.stop();
        origin.close();
        loop.stop();
    }

    private OriginTransport.OriginResponse send(final Origin origin, final String id, final long span)
            throws Exception {
        final CompletableFuture<OriginTransport.OriginResponse> f = new CompletableFuture<>();
        loop.execute(() -> port.send(
                origin,
                new OriginTransport.OutboundRequest("s", "GET", "/s/1", id, null, null, null, span),
                gate,
                f::complete));
        return f.get(30, TimeUnit.SECONDS);
    }

    private Origin at(final String service, final String stamp, final int to) {
        return new Origin(service, "127.0.0.1", to, stamp, ServiceKind.CONTENT, 0, 10_000, false, 1);
    }

    private Origin here() {
        return at("s", origin.face().stamp(), origin.port());
    }

    private long asked() {
        return log.rows().stream().filter(r -> "org".equals(r.get("log"))).count();
    }

    @Test
    void aWholeAnswerProvesItself() throws Exception {
        final OriginTransport.OriginResponse response = send(here(), "r1", 20_000);
        assertEquals(OriginTransport.ExchangeResult.COMPLETE, response.result());
        assertEquals(
                "",
                OriginResponseValidator.error(
                        here(),
                        new OriginTransport.OutboundRequest("s", "GET", "/s/1", "r1", null, null, null, 1),
                        response.headers(),
                        response.body()));
        assertEquals(
                OriginTransport.ExchangeResult.COMPLETE,
                send(here(), "r2", 20_000).result());
        assertEquals(2, asked());
    }

    @Test
    void someoneElseAtTheAddressGetsNoRequest() throws Exception {
        assertEquals(
                OriginTransport.ExchangeResult.WRONG_INSTANCE,
                send(at("t", origin.face().stamp(), origin.port()), "r1", 20_000)
                        .result());
        assertEquals(
                OriginTransport.ExchangeResult.WRONG_INSTANCE,
                send(at("s", "older", origin.port()), "r2", 20_000).result());
        assertEquals(0, asked());
    }

    @Test
    void theAddressHandedToAnotherServiceBetweenTwoRequests() throws Exception {
        final Origin to = here();
        assertEquals(
                OriginTransport.ExchangeResult.COMPLETE, send(to, "r1", 20_000).result());
        final int old = origin.port();
        origin.stop();
        origin.start(old, "foreign");
        final OriginTransport.OriginResponse response = send(to, "r2", 20_000);
        assertTrue(response.result() != OriginTransport.ExchangeResult.COMPLETE, response.toString());
        assertEquals(
                OriginTransport.ExchangeResult.WRONG_INSTANCE,
                send(to, "r3", 20_000).result());
        assertEquals(1, asked());
    }

    /** The right ended while the new circuit was asked who it is: no request leaves, on a new circuit or an old one. */
    @Test
    void aRightThatEndsDuringTheIdentityCheckSendsNothing() throws Exception {
        gate = () -> false;
        assertEquals(
                OriginTransport.ExchangeResult.NOT_PERMITTED,
                send(here(), "r1", 20_000).result());
        gate = () -> true;
        assertEquals(
                OriginTransport.ExchangeResult.COMPLETE,
                send(here(), "r2", 20_000).result());
        gate = () -> false;
        assertEquals(
                OriginTransport.ExchangeResult.NOT_PERMITTED,
                send(here(), "r3", 20_000).result());
        assertEquals(1, asked());
    }

    @Test
    void wrongBytesDoNotProveThemselves() throws Exception {
        origin.face().fault("wrong", 1);
        final OriginTransport.OriginResponse response = send(here(), "r1", 20_000);
        assertEquals(OriginTransport.ExchangeResult.INVALID, response.result());
        assertEquals("digest differs", response.reason());
    }

    @Test
    void aLostAnswerMayHaveRunAndADeadAddressHasNot() throws Exception {
        origin.face().fault("lose", 1);
        assertEquals(
                OriginTransport.ExchangeResult.LOST, send(here(), "r1", 2500).result());
        assertEquals(1, asked());
        final Origin dead = here();
        origin.stop();
        assertEquals(
                OriginTransport.ExchangeResult.NOT_SENT,
                send(at("s", dead.instance() + "x", dead.port()), "r2", 20_000).result());
    }
}
