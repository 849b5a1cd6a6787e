package org.rowanvalve.server.origin;

import org.eclipse.jetty.io.ClientConnector;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.data.origin.OriginTransport;
import org.rowanvalve.server.process.Main;
import org.rowanvalve.server.thread.CoreEventLoop;

/** The real connection pool and HTTP client, for requests to bare sockets. */
abstract class OriginTransportFixture {
    /** Accepts a response only if it has the ID of the request. */
    static class ByIdProtocol extends PlainOriginProtocol {
        @Override
        public String error(
                final Origin origin,
                final OriginTransport.OutboundRequest request,
                final OriginTransport.OriginResponse response) {
            return request.requestId().equals(response.headers().get("id")) ? "" : "another request's answer";
        }
    }

    final CoreEventLoop loop = new CoreEventLoop();
    final HttpOriginTransport transport;
    private final OriginHttpClient http = new OriginHttpClient(new ClientConnector());

    OriginTransportFixture(final OriginProtocol protocol) {
        transport = new HttpOriginTransport(loop, http, protocol);
    }

    @BeforeEach
    void begin() throws Exception {
        Main.configureLogging();
        loop.start();
        http.start();
    }

    @AfterEach
    void end() throws Exception {
        http.stop();
        loop.stop();
    }

    static Origin originAt(final RawPeer peer) {
        return new Origin("s", "127.0.0.1", peer.port(), "a", ServiceKind.OPEN, 0, 0, false, 1);
    }
}
