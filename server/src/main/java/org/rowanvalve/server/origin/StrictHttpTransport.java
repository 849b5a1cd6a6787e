package org.rowanvalve.server.origin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.client.transport.HttpExchange;
import org.eclipse.jetty.client.transport.internal.HttpChannelOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpConnectionOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpReceiverOverHTTP;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;

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

        /** Bytes have been read, which the parser may hold without telling. */
        @Override
        protected void addBytesIn(final long count) {
            super.addBytesIn(count);
            ((ClosingChannel) getHttpChannel()).receiver().onBytesRead();
        }

        /** Reads what there is: on an idle connection anything is a reason not to use it again. */
        private boolean isSilent() {
            final ByteBuffer anything = BufferUtil.allocate(1);
            try {
                return getEndPoint().fill(anything) == 0;
            } catch (final IOException e) {
                return false;
            }
        }
    }

    /**
     * Whether an idle connection can take another request: the origin has neither closed it nor sent a byte that nobody asked
     * for, though no thread may have read it yet. One that cannot is to be closed.
     */
    static boolean isSilent(final org.eclipse.jetty.client.Connection connection) {
        return !(connection instanceof ClosingConnection known) || known.isSilent();
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
        public boolean associate(final HttpExchange exchange) {
            if (receiver().begin()) {
                return super.associate(exchange);
            }
            getHttpConnection().close();
            return false;
        }

        @Override
        public void exchangeTerminated(final HttpExchange exchange, final Result result) {
            super.exchangeTerminated(exchange, result);
            if (receiver().surplus) {
                getHttpConnection().close();
            }
        }

        private StrictReceiver receiver() {
            return (StrictReceiver) getHttpReceiver();
        }
    }

    /**
     * Passes on the first whole response of a request only, and sees whether bytes are left behind it. Jetty goes on parsing
     * while a request whose response has come is not sent whole, and would give what it reads then to that request, or a
     * part of it to the next one.
     */
    private static final class StrictReceiver extends HttpReceiverOverHTTP {
        /** Whose response has ended. */
        private volatile HttpExchange answered;
        /** Bytes came that belong to no request; nothing that comes later can be told from them. */
        private volatile boolean surplus;

        StrictReceiver(final ClosingChannel channel) {
            super(channel);
        }

        /** A request is about to be sent; false where the connection cannot take it. */
        boolean begin() {
            answered = null;
            return !surplus;
        }

        void onBytesRead() {
            isSurplus();
        }

        /** Whether what is read now belongs to no request. The one that is answered may still have to be sent whole. */
        private boolean isSurplus() {
            final HttpExchange exchange = getHttpExchange();
            surplus |= answered != null || exchange == null;
            if (surplus && (exchange == null || exchange != answered)) {
                ((ClosingChannel) getHttpChannel()).getHttpConnection().close();
            }
            return surplus;
        }

        @Override
        public void startResponse(final HttpVersion version, final int status, final String reason) {
            if (!isSurplus()) {
                super.startResponse(version, status, reason);
            }
        }

        @Override
        public void parsedHeader(final HttpField field) {
            if (!isSurplus()) {
                super.parsedHeader(field);
            }
        }

        @Override
        public boolean headerComplete() {
            return !isSurplus() && super.headerComplete();
        }

        @Override
        public boolean content(final ByteBuffer buffer) {
            return !isSurplus() && super.content(buffer);
        }

        @Override
        public boolean contentComplete() {
            return !isSurplus() && super.contentComplete();
        }

        @Override
        public void parsedTrailer(final HttpField trailer) {
            if (!isSurplus()) {
                super.parsedTrailer(trailer);
            }
        }

        /** What ends with its connection only has not stated its end, also within the trailer of its last chunk. */
        @Override
        public boolean messageComplete() {
            if (isSurplus()) {
                return false;
            }
            if (isShutdown()) {
                earlyEOF();
                return false;
            }
            final HttpExchange exchange = getHttpExchange();
            if (exchange != null && !HttpStatus.isInterim(exchange.getResponse().getStatus())) {
                final ByteBuffer rest = getResponseBuffer();
                surplus = rest != null && rest.hasRemaining();
                answered = exchange;
            }
            return super.messageComplete();
        }

        @Override
        public void badMessage(final HttpException failure) {
            if (!isSurplus()) {
                super.badMessage(failure);
            }
        }
    }
}
