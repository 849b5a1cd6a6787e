package org.rowanvalve.server.origin;

import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.UnaryOperator;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.data.origin.OriginTransport;

/** A dialect for tests over bare sockets: a request states its id, and every answer is taken as it is. */
class PlainOriginProtocol implements OriginProtocol {
    @Override
    public boolean asksForIdentity() {
        return false;
    }

    @Override
    public void writeHeaders(
            final Origin to, final OriginTransport.OutboundRequest what, final BiConsumer<String, String> put) {
        put.accept("Id", what.requestId());
    }

    @Override
    public OriginTransport.OriginResponse read(
            final Origin to,
            final OriginTransport.OutboundRequest what,
            final int status,
            final Map<String, String> heads,
            final byte[] body) {
        return new OriginTransport.OriginResponse(OriginTransport.ExchangeResult.COMPLETE, status, heads, body, "");
    }

    @Override
    public Map<String, String> warmupHeaders(final UnaryOperator<String> heads) {
        return Map.of();
    }

    @Override
    public String error(
            final Origin to, final OriginTransport.OutboundRequest what, final OriginTransport.OriginResponse got) {
        return "";
    }
}
