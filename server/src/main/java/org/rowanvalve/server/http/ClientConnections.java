package org.rowanvalve.server.http;

import java.nio.channels.SelectableChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.Connection;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;

/**
 * The open connections of one address, in three bounds of its places. From half of them on, responses state how long a
 * connection may rest, and near the bound that it ends; so clients close connections themselves. Beyond the bound,
 * connections that have rested for longer than their clients were told are ended. A quarter beyond it, no connection is
 * accepted until one ends: new ones wait in the backlog, unread.
 *
 * <p>Only a connection's own state, {@link ClientEndPoint#endUnlessActive}, decides whether it can be ended. A connection
 * with a request on it never is. Thread-safe.
 */
final class ClientConnections implements Connection.Listener {
    /** Time that a client's request, sent at the end of the stated rest, may take to arrive. */
    static final long REST_SLACK_MS = 1000;
    /** How long a connection without a request stays open if places are short. */
    private static final long UNUSED_REST_MS = 1000;
    /** How long a client may take to close a connection after a response that tells it to. */
    private static final long CLOSE_WAIT_MS = 1000;

    private static final int OVERFLOW_DIVISOR = 4;

    private final ConnectionOptions options;
    private final Set<ClientEndPoint> open = new HashSet<>();
    /** Accepted channels whose connections have not been opened yet. */
    private final Set<SelectableChannel> accepted = new HashSet<>();
    /** When the connections without a request on them began to rest, oldest first; in ms of {@link #now}. */
    private final Map<ClientEndPoint, Long> resting = new LinkedHashMap<>();

    private AcceptGate gate = accepting -> {};
    private boolean accepting = true;

    /** Starts or stops accepting connections. Called with the lock of the connections held; must not block. */
    interface AcceptGate {
        void set(boolean accepting);
    }

    private record Ending(ClientEndPoint endPoint, ConnectionEndCause cause, long restedMs) {}

    ClientConnections(final ConnectionOptions options) {
        this.options = options;
    }

    synchronized void setGate(final AcceptGate newGate) {
        gate = newGate;
    }

    private static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    boolean isBounded() {
        return options.maxConnections() != Integer.MAX_VALUE;
    }

    private long capacity() {
        return (long) options.maxConnections() + options.maxConnections() / OVERFLOW_DIVISOR;
    }

    private long taken() {
        return (long) open.size() + accepted.size();
    }

    /** Returns whether a connection may be accepted now. If not, accepting stops until there is a place. */
    synchronized boolean mayAccept() {
        if (taken() < capacity()) {
            return true;
        }
        accepting = false;
        gate.set(false);
        return false;
    }

    synchronized void onAccepted(final SelectableChannel channel) {
        accepted.add(channel);
    }

    synchronized void onAcceptFailed(final SelectableChannel channel) {
        accepted.remove(channel);
        acceptIfPossible();
    }

    private void acceptIfPossible() {
        if (!accepting && taken() < capacity()) {
            accepting = true;
            gate.set(true);
        }
    }

    @Override
    public void onOpened(final Connection connection) {
        final ClientEndPoint endPoint = (ClientEndPoint) connection.getEndPoint();
        final List<Ending> endings;
        synchronized (this) {
            accepted.remove(endPoint.getChannel());
            open.add(endPoint);
            resting.put(endPoint, now());
            endings = taken() > options.maxConnections() ? restedTooLong() : List.of();
        }
        endings.forEach(this::end);
    }

    @Override
    public void onClosed(final Connection connection) {
        final ClientEndPoint endPoint = (ClientEndPoint) connection.getEndPoint();
        synchronized (this) {
            open.remove(endPoint);
            resting.remove(endPoint);
            acceptIfPossible();
        }
        if (endPoint.hasOpenRequest()) {
            journal(ConnectionEndCause.UNDER_REQUEST, 0);
        }
    }

    /** A request, or its first part, is about to be read from the connection. */
    synchronized void onActive(final ClientEndPoint endPoint) {
        resting.remove(endPoint);
    }

    /** The connection rests, or waits for its client to close it. */
    synchronized void onIdle(final ClientEndPoint endPoint) {
        if (open.contains(endPoint)) {
            resting.put(endPoint, now());
        }
    }

    /** How long a connection may rest after a response that is about to be written. */
    KeepAlive keepAlive() {
        final int count;
        synchronized (this) {
            count = open.size();
        }
        return KeepAlive.forOccupancy(
                count, options.maxConnections(), options.idleTimeoutMs().getAsLong());
    }

    /** Ends the connections that have rested for too long; called at regular intervals. */
    void sweep() {
        final List<Ending> endings;
        synchronized (this) {
            accepted.removeIf(channel -> !channel.isOpen());
            acceptIfPossible();
            endings = restedTooLong();
        }
        endings.forEach(this::end);
    }

    private List<Ending> restedTooLong() {
        final long now = now();
        final boolean crowded = taken() > options.maxConnections();
        final long idleTimeoutMs = options.idleTimeoutMs().getAsLong();
        final List<Ending> endings = new ArrayList<>();
        resting.forEach((endPoint, since) -> {
            if (now - since > longestRestMs(endPoint, crowded, idleTimeoutMs)) {
                endings.add(new Ending(
                        endPoint,
                        endPoint.isFinished() ? ConnectionEndCause.NOT_CLOSED : ConnectionEndCause.REST_OVER,
                        now - since));
            }
        });
        return endings;
    }

    /** The idle timeout may have been raised since the last response, so the longer one counts where none was stated. */
    private static long longestRestMs(final ClientEndPoint endPoint, final boolean crowded, final long idleTimeoutMs) {
        if (endPoint.isFinished()) {
            return CLOSE_WAIT_MS;
        }
        final KeepAlive keepAlive = endPoint.keepAlive();
        if (keepAlive.equals(KeepAlive.UNUSED)) {
            return crowded ? UNUSED_REST_MS : idleTimeoutMs + REST_SLACK_MS;
        }
        return REST_SLACK_MS + (keepAlive.stated() ? keepAlive.restMs() : Math.max(keepAlive.restMs(), idleTimeoutMs));
    }

    private void end(final Ending ending) {
        if (ending.endPoint().endUnlessActive()) {
            journal(ending.cause(), ending.restedMs());
        }
    }

    private void journal(final ConnectionEndCause cause, final long restedMs) {
        final int count;
        synchronized (this) {
            count = open.size();
        }
        options.journal()
                .accept(Event.of(
                        EventCode.CONNECTION_ENDED, "cause", cause.code(), "restedMs", restedMs, "open", count));
    }
}
