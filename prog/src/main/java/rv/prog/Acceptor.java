package rv.prog;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/** The listening address of the wire; one thread uses it. */
final class Acceptor {
    /** How long the next connections wait after one that could not be accepted, as without a free descriptor. */
    private static final long PAUSE_NS = 200_000_000;

    private static final int BACKLOG = 256;
    private final ServerSocketChannel channel;
    private final SelectionKey key;
    private boolean paused;
    private long pausedUntil;

    Acceptor(final Selector selector, final InetSocketAddress at) throws IOException {
        channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(at, BACKLOG);
        channel.configureBlocking(false);
        key = channel.register(selector, SelectionKey.OP_ACCEPT);
    }

    int port() throws IOException {
        return ((InetSocketAddress) channel.getLocalAddress()).getPort();
    }

    /** The next connection, ready for the selector; null where there is none. A failure makes the others wait. */
    SocketChannel accept() throws IOException {
        try {
            final SocketChannel connection = channel.accept();
            if (connection != null) {
                connection.configureBlocking(false);
                connection.setOption(StandardSocketOptions.TCP_NODELAY, true);
            }
            return connection;
        } catch (final IOException e) {
            key.interestOps(0);
            paused = true;
            pausedUntil = System.nanoTime() + PAUSE_NS;
            throw e;
        }
    }

    /** Called at each turn of the selector: takes up those who wait once the pause is over. */
    void resume() {
        if (paused && System.nanoTime() - pausedUntil >= 0) {
            key.interestOps(SelectionKey.OP_ACCEPT);
            paused = false;
        }
    }
}
