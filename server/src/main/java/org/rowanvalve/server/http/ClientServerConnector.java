package org.rowanvalve.server.http;

import java.io.IOException;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A server's address with a bounded number of connections, which tell when a client closes one while its request is
 * handled. While no place is free, connections are not accepted and wait in the backlog.
 */
final class ClientServerConnector extends ServerConnector {
    /** One selector, so that the listening socket and all connections share it. */
    private static final int SELECTORS = 1;

    private static final Logger LOG = LoggerFactory.getLogger(ClientServerConnector.class);
    private static final long BOUNDED_SWEEP_INTERVAL_MS = 500;
    private static final long UNBOUNDED_SWEEP_INTERVAL_MS = 5000;
    private final ClientConnections connections;
    private volatile SelectionKey listeningKey;

    ClientServerConnector(final Server server, final ConnectionFactory factory, final ClientConnections connections) {
        super(server, 0, SELECTORS, factory);
        this.connections = connections;
        connections.setGate(this::setAcceptInterest);
        addBean(connections);
    }

    @Override
    protected void doStart() throws Exception {
        super.doStart();
        scheduleSweep();
    }

    private void scheduleSweep() {
        final long intervalMs = connections.isBounded() ? BOUNDED_SWEEP_INTERVAL_MS : UNBOUNDED_SWEEP_INTERVAL_MS;
        getScheduler().schedule(this::sweep, intervalMs, TimeUnit.MILLISECONDS);
    }

    private void sweep() {
        if (isRunning()) {
            connections.sweep();
            scheduleSweep();
        }
    }

    /** Does nothing before the first connection, when no bound can have been reached. */
    private void setAcceptInterest(final boolean accepting) {
        final SelectionKey key = listeningKey;
        if (key == null) {
            return;
        }
        try {
            key.interestOps(accepting ? SelectionKey.OP_ACCEPT : 0);
            key.selector().wakeup();
        } catch (final CancelledKeyException e) {
            LOG.debug("the address is being closed", e);
        }
    }

    private void findListeningKey(final Selector selector) {
        if (listeningKey == null && getTransport() instanceof SelectableChannel listening) {
            listeningKey = listening.keyFor(selector);
        }
    }

    @Override
    protected SelectorManager newSelectorManager(
            final Executor executor, final Scheduler scheduler, final int selectors) {
        return new BoundedSelectorManager(executor, scheduler, selectors);
    }

    /** Accepts a connection only if there is a place for it. */
    private final class BoundedSelectorManager extends ServerConnectorManager {
        BoundedSelectorManager(final Executor executor, final Scheduler scheduler, final int selectors) {
            super(executor, scheduler, selectors);
        }

        @Override
        protected SelectableChannel doAccept(final SelectableChannel listening) throws IOException {
            if (!connections.mayAccept()) {
                return null;
            }
            final SelectableChannel channel = super.doAccept(listening);
            if (channel != null) {
                connections.onAccepted(channel);
            }
            return channel;
        }

        @Override
        protected void accepted(final SelectableChannel channel) throws IOException {
            try {
                super.accepted(channel);
            } catch (final IOException | RuntimeException e) {
                connections.onAcceptFailed(channel);
                throw e;
            }
        }

        @Override
        protected void onAcceptFailed(final SelectableChannel channel, final Throwable cause) {
            connections.onAcceptFailed(channel);
            super.onAcceptFailed(channel, cause);
        }
    }

    @Override
    protected SocketChannelEndPoint newEndPoint(
            final SocketChannel channel, final ManagedSelector selector, final SelectionKey key) {
        findListeningKey(key.selector());
        final ClientEndPoint endPoint =
                new ClientEndPoint(channel, selector, key, getScheduler(), getExecutor(), connections);
        endPoint.setIdleTimeout(getIdleTimeout());
        return endPoint;
    }
}
