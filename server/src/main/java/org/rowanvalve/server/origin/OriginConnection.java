package org.rowanvalve.server.origin;

import java.util.HashSet;
import java.util.Set;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Request;
import org.rowanvalve.common.model.Hash;

/**
 * A connection to an origin, with the IDs of the requests that were sent on it. An origin may write a second copy of a
 * response at any later time. The request ID tells the copy from the response to another request, but not from the response to a
 * later send of the same request. Safety: a request ID is sent at most once on a connection, so a response with the ID of the
 * request answers that send.
 */
final class OriginConnection {
    /** After so many requests the connection is closed, which bounds the memory for their IDs. */
    static final int MAX_REQUESTS = 1024;

    private final Connection connection;
    /** Hashes of the request IDs; a collision only keeps one request from using this connection. */
    private final Set<Long> sentIds = new HashSet<>();

    OriginConnection(final Connection connection) {
        this.connection = connection;
    }

    boolean hasSent(final String requestId) {
        return sentIds.contains(Hash.hash64(requestId));
    }

    /** Sends a request that was not sent on this connection before. */
    void send(final String requestId, final Request request, final ResponseCollector collector) {
        if (!sentIds.add(Hash.hash64(requestId))) {
            throw new IllegalStateException("request " + requestId + " was sent on this connection before");
        }
        connection.send(request, collector);
    }

    /** Sends a request without an ID, which a new connection may begin with. */
    void sendIdentityRequest(final Request request, final ResponseCollector collector) {
        connection.send(request, collector);
    }

    /** Whether the connection can take another request. */
    boolean isReusable() {
        return !connection.isClosed() && sentIds.size() < MAX_REQUESTS;
    }

    boolean isClosed() {
        return connection.isClosed();
    }

    /** Whether nothing has arrived on this idle connection. */
    boolean isSilent() {
        return StrictHttpTransport.isSilent(connection);
    }

    void close() {
        connection.close();
    }
}
