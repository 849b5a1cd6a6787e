package org.rowanvalve.testkit.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.ToLongFunction;

/**
 * All links between machines: one listener for each direction of each pair. A partitioned link drops what is sent; it
 * does not refuse connections.
 */
public final class LinkRelay implements AutoCloseable {
    private static final int ROOM = 1 << 20;
    private final Selector selector;
    private final Map<String, Integer> ports = new HashMap<>();
    private final Set<String> cuts = ConcurrentHashMap.newKeySet();
    private final ConcurrentLinkedQueue<Runnable> jobs = new ConcurrentLinkedQueue<>();
    private final ToLongFunction<String> delay;
    private final java.util.Random random = new java.util.Random(1);
    private final Thread thread = new Thread(this::run, "relay");
    private volatile boolean on = true;
    private volatile int slow;

    private static final class Pipe {
        private final String link;
        private final SocketChannel from;
        private final SocketChannel to;
        private final ArrayDeque<Part> queue = new ArrayDeque<>();
        private Pipe other;
        private long size;

        Pipe(final String link, final SocketChannel from, final SocketChannel to) {
            this.link = link;
            this.from = from;
            this.to = to;
        }
    }

    private record Part(long due, ByteBuffer data) {}

    private record Link(String link, InetSocketAddress target) {}

    /** {@code delay} gives the one-way milliseconds of a link named "a>b". */
    public LinkRelay(final ToLongFunction<String> delay) throws IOException {
        this.delay = delay;
        selector = Selector.open();
        thread.setDaemon(true);
    }

    public int open(final String a, final String b, final String host, final InetSocketAddress target)
            throws IOException {
        final ServerSocketChannel listener = ServerSocketChannel.open();
        listener.bind(new InetSocketAddress(host, 0), 64);
        listener.configureBlocking(false);
        listener.register(selector, SelectionKey.OP_ACCEPT, new Link(a + ">" + b, target));
        final int port = ((InetSocketAddress) listener.getLocalAddress()).getPort();
        ports.put(a + ">" + b, port);
        return port;
    }

    public void start() {
        thread.start();
    }

    public void cut(final String a, final String b) {
        cuts.add(a + ">" + b);
    }

    /** All links take up to so many ms longer. */
    public void slow(final int ms) {
        slow = ms;
    }

    /** Takes back one partition. */
    public void restore(final String a, final String b) {
        cuts.remove(a + ">" + b);
        jobs.add(() -> {});
        selector.wakeup();
    }

    public void heal() {
        cuts.clear();
        jobs.add(() -> {});
        selector.wakeup();
    }

    /** A link is named for who dialled; what comes back is swallowed when either direction is cut. */
    private boolean shut(final String link) {
        final String[] ends = link.split(">");
        return cuts.contains(link) || cuts.contains(ends[1] + ">" + ends[0]);
    }

    private void run() {
        while (on) {
            try {
                selector.select(2);
                for (Runnable r = jobs.poll(); r != null; r = jobs.poll()) {
                    r.run();
                }
                final var it = selector.selectedKeys().iterator();
                while (it.hasNext()) {
                    final SelectionKey key = it.next();
                    it.remove();
                    if (key.isValid()) {
                        serve(key);
                    }
                }
                final long now = System.currentTimeMillis();
                for (final SelectionKey key : selector.keys()) {
                    if (key.isValid() && key.attachment() instanceof Pipe pipe) {
                        flush(pipe, now);
                    }
                }
            } catch (final IOException e) {
                on = false;
            }
        }
    }

    private void serve(final SelectionKey key) {
        if (key.attachment() instanceof Link traffic) {
            accept((ServerSocketChannel) key.channel(), traffic);
            return;
        }
        final Pipe pipe = (Pipe) key.attachment();
        try {
            if (key.isConnectable()) {
                ((SocketChannel) key.channel()).finishConnect();
                key.interestOps(SelectionKey.OP_READ);
            }
            if (key.isReadable()) {
                read(pipe);
            }
        } catch (final IOException e) {
            close(pipe);
        }
    }

    private void accept(final ServerSocketChannel listener, final Link traffic) {
        try {
            final SocketChannel a = listener.accept();
            if (a == null) {
                return;
            }
            a.configureBlocking(false);
            final SocketChannel b = SocketChannel.open();
            b.configureBlocking(false);
            final Pipe there = new Pipe(traffic.link(), a, b);
            final Pipe back = new Pipe(traffic.link(), b, a);
            there.other = back;
            back.other = there;
            a.register(selector, SelectionKey.OP_READ, there);
            b.connect(traffic.target());
            b.register(selector, SelectionKey.OP_CONNECT, back);
        } catch (final IOException e) {
            jobs.add(() -> {});
        }
    }

    private void read(final Pipe pipe) throws IOException {
        if (pipe.size > ROOM) {
            return;
        }
        final ByteBuffer b = ByteBuffer.allocate(32 << 10);
        final int n = pipe.from.read(b);
        if (n < 0) {
            if (pipe.queue.isEmpty()) {
                close(pipe);
            } else {
                pipe.from.keyFor(selector).interestOps(0);
                pipe.queue.addLast(new Part(System.currentTimeMillis(), null));
            }
            return;
        }
        b.flip();
        pipe.size += n;
        pipe.queue.addLast(new Part(
                System.currentTimeMillis() + delay.applyAsLong(pipe.link) + (slow == 0 ? 0 : random.nextInt(slow)), b));
    }

    private void flush(final Pipe pipe, final long now) {
        if (pipe.queue.isEmpty() || !pipe.to.isConnected() || shut(pipe.link)) {
            return;
        }
        try {
            while (!pipe.queue.isEmpty() && pipe.queue.peek().due() <= now) {
                final Part part = pipe.queue.peek();
                if (part.data() == null) {
                    close(pipe);
                    return;
                }
                pipe.size -= pipe.to.write(part.data());
                if (part.data().hasRemaining()) {
                    return;
                }
                pipe.queue.poll();
            }
        } catch (final IOException e) {
            close(pipe);
        }
    }

    private static void close(final Pipe pipe) {
        for (final SocketChannel channel : new SocketChannel[] {pipe.from, pipe.to}) {
            try {
                channel.close();
            } catch (final IOException e) {
                pipe.queue.clear();
            }
        }
        pipe.queue.clear();
        pipe.other.queue.clear();
    }

    @Override
    public void close() throws IOException {
        on = false;
        selector.wakeup();
        try {
            thread.join(2000);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (final SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }
}
