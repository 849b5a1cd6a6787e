package org.rowanvalve.server.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;

/**
 * Accepts the connections that peers open; one that cannot be accepted never ends the transport. Transport thread only.
 */
final class ConnectionListener {
    /** How long the next connections wait after one that could not be accepted. */
    private static final long PAUSE_NS = 200_000_000;

    private static final int BACKLOG = 256;
    private final Selector selector;
    private final ServerSocketChannel channel;
    private final SelectionKey key;
    private final EventJournal journal;
    private boolean paused;
    private long pausedUntil;

    ConnectionListener(final Selector selector, final InetSocketAddress at, final EventJournal journal)
            throws IOException {
        this.selector = selector;
        this.journal = journal;
        channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(at, BACKLOG);
        channel.configureBlocking(false);
        key = channel.register(selector, SelectionKey.OP_ACCEPT);
    }

    int port() throws IOException {
        return ((InetSocketAddress) channel.getLocalAddress()).getPort();
    }

    /** Without a free file descriptor nothing more is accepted for a while; waiting connections are accepted then. */
    Optional<SelectionKey> accept() {
        try {
            final SocketChannel accepted = channel.accept();
            if (accepted == null) {
                return Optional.empty();
            }
            accepted.configureBlocking(false);
            accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
            return Optional.of(accepted.register(selector, SelectionKey.OP_READ));
        } catch (final IOException e) {
            journal.add(Event.of(EventCode.CIRCUIT_CLOSED, "why", "not accepted: " + e.getMessage()));
            key.interestOps(0);
            paused = true;
            pausedUntil = System.nanoTime() + PAUSE_NS;
            return Optional.empty();
        }
    }

    void acceptAgain() {
        if (paused && System.nanoTime() - pausedUntil >= 0) {
            key.interestOps(SelectionKey.OP_ACCEPT);
            paused = false;
        }
    }
}
