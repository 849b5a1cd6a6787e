package org.rowanvalve.server.http;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.rowanvalve.common.event.Event;

/**
 * The bounds of an address's connections.
 *
 * @param maxConnections how many connections the address should hold; a quarter more are accepted for a short time
 * @param idleTimeoutMs how long a connection may rest between two requests
 * @param journal receives an event for each connection that this node ends; called from any thread
 */
public record ConnectionOptions(int maxConnections, LongSupplier idleTimeoutMs, Consumer<Event> journal) {
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 30_000;

    /** Options without events and with the default idle timeout. */
    public static ConnectionOptions atMost(final int maxConnections) {
        return new ConnectionOptions(maxConnections, () -> DEFAULT_IDLE_TIMEOUT_MILLIS, event -> {});
    }
}
