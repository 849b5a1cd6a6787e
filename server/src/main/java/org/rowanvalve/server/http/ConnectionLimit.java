package org.rowanvalve.server.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.eclipse.jetty.io.Connection;

/**
 * Bounds the connections that an address holds at once: beyond it the ones that have been idle the longest are closed,
 * so that a new one is accepted at once instead of waiting for a file descriptor. A connection with a request in flight
 * is never closed for this; where there are only such, a quarter more are accepted and the others closed unread, so
 * that their clients turn elsewhere. Thread-safe.
 */
final class ConnectionLimit implements Connection.Listener {
    private static final int BUSY_BEYOND = 4;
    private final int most;
    private final Set<Connection> open = new HashSet<>();
    /** In the order in which they became idle. */
    private final LinkedHashSet<Connection> idle = new LinkedHashSet<>();

    ConnectionLimit(final int most) {
        this.most = most;
    }

    @Override
    public void onOpened(final Connection connection) {
        final List<Connection> closing = new ArrayList<>();
        synchronized (this) {
            open.add(connection);
            final Iterator<Connection> longest = idle.iterator();
            while (open.size() - closing.size() > most && longest.hasNext()) {
                closing.add(longest.next());
                longest.remove();
            }
            if (open.size() - closing.size() <= most + (long) most / BUSY_BEYOND) {
                idle.add(connection);
            } else {
                closing.add(connection);
            }
        }
        closing.forEach(Connection::close);
    }

    @Override
    public synchronized void onClosed(final Connection connection) {
        open.remove(connection);
        idle.remove(connection);
    }

    /** A request has been read from it. */
    synchronized void busy(final Connection connection) {
        idle.remove(connection);
    }

    /** Its request has been answered. */
    synchronized void rests(final Connection connection) {
        if (open.contains(connection)) {
            idle.add(connection);
        }
    }
}
