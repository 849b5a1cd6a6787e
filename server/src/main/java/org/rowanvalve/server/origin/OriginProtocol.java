package org.rowanvalve.server.origin;

import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.UnaryOperator;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.data.origin.OriginTransport;

/** How origins are spoken to: by which headers a request names itself, and what an answer says of itself. */
public interface OriginProtocol {
    /** Whether a new connection asks who the origin is before its first request. */
    boolean asksForIdentity();

    void writeHeaders(Origin origin, OriginTransport.OutboundRequest request, BiConsumer<String, String> put);

    /** {@code heads} with names in small letters. */
    OriginTransport.OriginResponse read(
            Origin origin, OriginTransport.OutboundRequest request, int status, Map<String, String> heads, byte[] body);

    /** What a sound answer states, given the request's headers by name; for rehearsals in this process only. */
    Map<String, String> warmupHeaders(UnaryOperator<String> heads);

    /** What an answer lacks to be shown to a caller; empty where it lacks nothing. */
    String error(Origin origin, OriginTransport.OutboundRequest request, OriginTransport.OriginResponse response);
}
