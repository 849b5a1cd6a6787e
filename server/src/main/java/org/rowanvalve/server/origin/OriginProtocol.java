package org.rowanvalve.server.origin;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.UnaryOperator;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.data.origin.OriginTransport;

/** The protocol of origins: the headers by which a request names itself, and what a response says of itself. */
public interface OriginProtocol {
    /** Whether a new connection identifies the origin before its first request. */
    boolean asksForIdentity();

    void writeHeaders(Origin origin, OriginTransport.OutboundRequest request, BiConsumer<String, String> put);

    /** {@code heads} with names in small letters. */
    OriginTransport.OriginResponse read(
            Origin origin, OriginTransport.OutboundRequest request, int status, Map<String, String> heads, byte[] body);

    /** Tags of a response, separated by spaces in a header; none where {@code header} is null. */
    static List<String> tags(final String header) {
        return header == null ? List.of() : Arrays.asList(header.trim().split(" +"));
    }

    /** The headers of a valid response, given the request's headers by name; for the warm-up in this process only. */
    Map<String, String> warmupHeaders(UnaryOperator<String> heads);

    /** What a response lacks to be given to a client; empty where it lacks nothing. */
    String error(Origin origin, OriginTransport.OutboundRequest request, OriginTransport.OriginResponse response);
}
