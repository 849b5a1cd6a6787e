package org.rowanvalve.server.http;

import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/** A server's address whose connections tell when a client closes one while its request is handled. */
final class ClientServerConnector extends ServerConnector {
    private static final int SELECTORS = 1;

    ClientServerConnector(final Server server, final ConnectionFactory factory) {
        super(server, 0, SELECTORS, factory);
    }

    @Override
    protected SocketChannelEndPoint newEndPoint(
            final SocketChannel channel, final ManagedSelector selector, final SelectionKey key) {
        final ClientEndPoint endPoint = new ClientEndPoint(channel, selector, key, getScheduler(), getExecutor());
        endPoint.setIdleTimeout(getIdleTimeout());
        return endPoint;
    }
}
