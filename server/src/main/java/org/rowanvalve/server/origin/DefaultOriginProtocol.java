package org.rowanvalve.server.origin;

import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.UnaryOperator;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.data.origin.OriginResponseValidator;
import org.rowanvalve.data.origin.OriginTransport;

/** The origin contract of docs/ORIGINS.md. */
public final class DefaultOriginProtocol implements OriginProtocol {
    private static final String TAGS = "rv-tags";

    @Override
    public boolean asksForIdentity() {
        return true;
    }

    @Override
    public void writeHeaders(
            final Origin origin, final OriginTransport.OutboundRequest request, final BiConsumer<String, String> put) {
        put.accept("Rv-Request", request.requestId());
        put.accept("Rv-Service", origin.service());
        put.accept("Rv-Stamp", origin.instance());
        if (request.key() != null) {
            put.accept("Rv-Key", request.key());
        }
    }

    @Override
    public OriginTransport.OriginResponse read(
            final Origin origin,
            final OriginTransport.OutboundRequest request,
            final int status,
            final Map<String, String> heads,
            final byte[] body) {
        final List<String> tags = OriginProtocol.tags(heads.get(TAGS));
        return new OriginTransport.OriginResponse(
                OriginTransport.ExchangeResult.COMPLETE, status, heads, body, "", tags, OriginTransport.Load.NONE);
    }

    @Override
    public Map<String, String> warmupHeaders(final UnaryOperator<String> heads) {
        return Map.of(
                OriginResponseValidator.REQUEST_HEADER,
                heads.apply("Rv-Request"),
                OriginResponseValidator.INSTANCE_HEADER,
                "o",
                "content-type",
                "text/plain",
                TAGS,
                "a b");
    }

    @Override
    public String error(
            final Origin origin,
            final OriginTransport.OutboundRequest request,
            final OriginTransport.OriginResponse response) {
        return OriginResponseValidator.error(origin, request, response.headers(), response.body());
    }
}
