package org.rowanvalve.server.origin;

import java.nio.ByteBuffer;
import java.util.Map;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.client.transport.HttpExchange;
import org.eclipse.jetty.client.transport.internal.HttpChannelOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpConnectionOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpReceiverOverHTTP;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;

/**
 * HTTP/1.1 over connections that are closed once an answer is followed by a byte that nobody asked for. Jetty would drop
 * such bytes and use the connection again, where the rest of them would stand in the next answer's place.
 */
final class StrictHttpTransport extends HttpClientTransportOverHTTP {
    StrictHttpTransport(final ClientConnector connector) {
        super(connector);
    }

    @Override
    public Connection newConnection(final EndPoint endPoint, final Map<String, Object> context) {
        return customize(new ClosingConnection(endPoint, context), context);
    }

    private static final class ClosingConnection extends HttpConnectionOverHTTP {
        ClosingConnection(final EndPoint endPoint, final Map<String, Object> context) {
            super(endPoint, context);
        }

        @Override
        protected HttpChannelOverHTTP newHttpChannel() {
            return new ClosingChannel(this);
        }
    }

    private static final class ClosingChannel extends HttpChannelOverHTTP {
        ClosingChannel(final ClosingConnection connection) {
            super(connection);
        }

        @Override
        protected HttpReceiverOverHTTP newHttpReceiver() {
            return new StrictReceiver(this);
        }

        @Override
        public void exchangeTerminated(final HttpExchange exchange, final Result result) {
            super.exchangeTerminated(exchange, result);
            if (((StrictReceiver) getHttpReceiver()).surplus) {
                getHttpConnection().close();
            }
        }
    }

    /** Sees whether bytes are left when an answer has ended, or whether only the connection has. */
    private static final class StrictReceiver extends HttpReceiverOverHTTP {
        private boolean surplus;

        StrictReceiver(final ClosingChannel channel) {
            super(channel);
        }

        /** What ends with its connection only has not stated its end, also within the trailer of its last chunk. */
        @Override
        public boolean messageComplete() {
            if (isShutdown()) {
                earlyEOF();
                return false;
            }
            final ByteBuffer rest = getResponseBuffer();
            final HttpExchange exchange = getHttpExchange();
            surplus |= rest != null
                    && rest.hasRemaining()
                    && (exchange == null
                            || !HttpStatus.isInterim(exchange.getResponse().getStatus()));
            return super.messageComplete();
        }
    }
}
