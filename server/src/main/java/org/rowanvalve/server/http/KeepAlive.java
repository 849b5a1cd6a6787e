package org.rowanvalve.server.http;

import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;

/**
 * How long a client may let its connection rest after a response.
 *
 * @param restMs the longest rest; 0 if the client must close the connection
 * @param stated whether the response states the time, because it is shorter than the configured idle timeout
 */
record KeepAlive(long restMs, boolean stated) {
    /** No response has been sent on the connection yet. */
    static final KeepAlive UNUSED = new KeepAlive(Long.MAX_VALUE, false);

    static final KeepAlive CLOSE = new KeepAlive(0, true);
    private static final int FULL_REST_DIVISOR = 2;
    private static final int CLOSE_DIVISOR = 8;

    /**
     * Connections may rest for the whole idle timeout while at most half of the places are taken, for less the fewer places
     * are free, and not at all if fewer than an eighth are free.
     */
    static KeepAlive forOccupancy(final int open, final int maxConnections, final long idleTimeoutMs) {
        final int half = maxConnections / FULL_REST_DIVISOR;
        if (open <= half) {
            return new KeepAlive(idleTimeoutMs, false);
        }
        if (open > maxConnections - maxConnections / CLOSE_DIVISOR) {
            return CLOSE;
        }
        final double freeShare = (double) (maxConnections - open) / (maxConnections - half);
        final long seconds = Math.max(1, (long) (idleTimeoutMs * freeShare) / TimeUnit.SECONDS.toMillis(1));
        final long restMs = TimeUnit.SECONDS.toMillis(seconds);
        return restMs < idleTimeoutMs ? new KeepAlive(restMs, true) : new KeepAlive(idleTimeoutMs, false);
    }

    /** Adds the header that tells the client, if there is anything to tell. */
    void addTo(final Response response) {
        if (equals(CLOSE)) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        } else if (stated) {
            response.getHeaders().put(HttpHeader.KEEP_ALIVE, "timeout=" + TimeUnit.MILLISECONDS.toSeconds(restMs));
        }
    }
}
