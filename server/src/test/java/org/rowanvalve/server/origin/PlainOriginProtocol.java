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
            final Origin origin, final OriginTransport.OutboundRequest request, final BiConsumer<String, String> put) {
        put.accept("Id", request.requestId());
    }

    @Override
    public OriginTransport.OriginResponse read(
            final Origin origin,
            final OriginTransport.OutboundRequest request,
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
            final Origin origin,
            final OriginTransport.OutboundRequest request,
            final OriginTransport.OriginResponse response) {
        return "";
    }
}
