package org.rowanvalve.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Member;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;
import org.rowanvalve.common.Wire;
import org.rowanvalve.common.WireTrouble;

/** The wire duty: one selector thread for all circuits. */
public final class TcpNet implements Net {
    /** How long to wait before a full ring is tried again. */
    private static final long RING_FULL_MS = 10;

    private final NodeId self;
    private final CoreLoop loop;
    private final Journal journal;
    private final Map<NodeId, InetSocketAddress> book = new ConcurrentHashMap<>();
    private volatile Map<NodeId, InetSocketAddress> fixed;
    private final ArrayBlockingQueue<Runnable> ring = new ArrayBlockingQueue<>(8192);
    private final Map<NodeId, Circuit> out = new HashMap<>();
    private final Map<Long, Wait> waits = new HashMap<>();
    private final Thread thread = new Thread(this::run, "wire");
    private final Meter meter;
    private final LongSupplier clock;
    private Selector selector;
    private Listener listener;
    private volatile Net.Port port;
    private long serial;
    private volatile boolean on = true;

    private static final class Wait {
        private final Consumer<Reply> then;
        private Circuit circuit;
        private Circuit.Out frame;
        private boolean begun;

        Wait(final Consumer<Reply> then) {
            this.then = then;
        }
    }

    public TcpNet(
            final NodeId self,
            final CoreLoop loop,
            final Journal journal,
            final Map<NodeId, InetSocketAddress> seeds,
            final Map<NodeId, InetSocketAddress> fixed) {
        this(self, loop, journal, seeds, fixed, Meter.NONE);
    }

    public TcpNet(
            final NodeId self,
            final CoreLoop loop,
            final Journal journal,
            final Map<NodeId, InetSocketAddress> seeds,
            final Map<NodeId, InetSocketAddress> fixed,
            final Meter meter) {
        this(self, loop, journal, seeds, fixed, meter, () -> System.nanoTime() / 1_000_000);
    }

    /** With a steady clock of one's own, in ms, by which silent peers are judged. */
    TcpNet(
            final NodeId self,
            final CoreLoop loop,
            final Journal journal,
            final Map<NodeId, InetSocketAddress> seeds,
            final Map<NodeId, InetSocketAddress> fixed,
            final Meter meter,
            final LongSupplier clock) {
        this.clock = clock;
        this.meter = meter;
        this.self = self;
        this.loop = loop;
        this.journal = journal;
        this.fixed = Map.copyOf(fixed);
        book.putAll(seeds);
    }

    public void bind(final InetSocketAddress at, final Net.Port to) throws IOException {
        port = to;
        selector = Selector.open();
        listener = new Listener(selector, at, journal);
        thread.start();
    }

    /** From now on another part answers. */
    public void serve(final Net.Port to) {
        port = to;
    }

    public int bound() throws IOException {
        return listener.port();
    }

    public void learn(final Member m) {
        if (!m.id().equals(self)) {
            book.put(m.id(), new InetSocketAddress(m.host(), m.port()));
        }
    }

    public void learn(final NodeId id, final InetSocketAddress at) {
        if (!id.equals(self)) {
            book.put(id, at);
        }
    }

    /** Other ways to peers, in place of the earlier ones; connections that stand are kept. */
    public void reach(final Map<NodeId, InetSocketAddress> ways) {
        fixed = Map.copyOf(ways);
    }

    public void stop() {
        on = false;
        selector.wakeup();
    }

    @Override
    public void ask(final NodeId to, final Msg msg, final long wait, final Consumer<Reply> then) {
        if (to.equals(self)) {
            loop.post(() -> port.take(self, msg, m -> loop.post(() -> then.accept(Reply.of(m)))));
            return;
        }
        final long id = ++serial;
        final byte[] data = Wire.pack(new Wire.Envelope(Wire.VERSION, id, 0, self, msg));
        meter.out(msg, 4 + data.length);
        if (data.length > Wire.LIMIT || !ring.offer(() -> push(to, id, data, wait, then))) {
            loop.post(() -> then.accept(Reply.lost(Reply.Trouble.NOT_SENT)));
            return;
        }
        selector.wakeup();
        loop.after(wait, () -> timeOut(id));
    }

    /** Without it an ask might never end, so it is offered until it is taken. */
    private void timeOut(final long id) {
        if (ring.offer(() -> late(id))) {
            selector.wakeup();
        } else {
            loop.after(RING_FULL_MS, () -> timeOut(id));
        }
    }

    @Override
    public void tell(final NodeId to, final Msg msg) {
        tell(List.of(to), msg);
    }

    /** Packed once for all. */
    @Override
    public void tell(final Collection<NodeId> to, final Msg msg) {
        if (to.contains(self)) {
            loop.post(() -> port.take(self, msg, m -> {}));
        }
        final byte[] data = Wire.pack(new Wire.Envelope(Wire.VERSION, 0, 0, self, msg));
        if (data.length > Wire.LIMIT) {
            return;
        }
        final List<NodeId> others = to.stream().filter(n -> !n.equals(self)).toList();
        others.forEach(n -> meter.out(msg, 4 + data.length));
        if (ring.offer(() -> others.forEach(n -> send(n, data)))) {
            selector.wakeup();
        }
    }

    private void send(final NodeId to, final byte[] data) {
        final Circuit c = circuit(to);
        if (c != null) {
            c.send(new Circuit.Out(data, () -> {}, () -> {}));
        }
    }

    /**
     * The connection for what is sent now. One on which the peer has been silent for too long is left to the answers
     * that may still come on it: after a cut or a loss of power TCP itself would send again only seconds later.
     */
    private Circuit circuit(final NodeId to) {
        final Circuit c = out.get(to);
        if (c == null) {
            return dial(to);
        }
        if (!c.hung(clock.getAsLong())) {
            return c;
        }
        out.remove(to);
        if (c.connected()) {
            c.retire();
            closeIfDone(c);
        } else {
            close(c);
        }
        return dial(to);
    }

    private void closeIfDone(final Circuit c) {
        if (c != null && c.retired() && waits.values().stream().noneMatch(w -> w.circuit == c)) {
            close(c);
        }
    }

    private void push(final NodeId to, final long id, final byte[] data, final long wait, final Consumer<Reply> then) {
        final Wait w = new Wait(then);
        waits.put(id, w);
        w.circuit = circuit(to);
        w.frame = new Circuit.Out(data, () -> w.begun = true, () -> end(id, Reply.lost(Reply.Trouble.NOT_SENT)));
        if (w.circuit == null || !w.circuit.send(w.frame)) {
            end(id, Reply.lost(Reply.Trouble.NOT_SENT));
            return;
        }
        w.circuit.asked(clock.getAsLong());
    }

    private void late(final long id) {
        final Wait w = waits.get(id);
        if (w != null) {
            final boolean unsent = w.circuit != null && !w.begun && w.circuit.drop(w.frame);
            end(id, Reply.lost(unsent ? Reply.Trouble.NOT_SENT : Reply.Trouble.NO_ANSWER));
        }
    }

    private void end(final long id, final Reply r) {
        final Wait w = waits.remove(id);
        if (w != null) {
            loop.post(() -> w.then.accept(r));
            closeIfDone(w.circuit);
        }
    }

    private Circuit circuit(final SelectionKey key) {
        return new Circuit((SocketChannel) key.channel(), key, clock.getAsLong());
    }

    private Circuit dial(final NodeId to) {
        final InetSocketAddress at = fixed.getOrDefault(to, book.get(to));
        if (at == null) {
            return null;
        }
        try {
            final SocketChannel ch = SocketChannel.open();
            ch.configureBlocking(false);
            ch.setOption(StandardSocketOptions.TCP_NODELAY, true);
            final boolean open = ch.connect(at);
            final SelectionKey key = ch.register(selector, open ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT);
            final Circuit c = circuit(key);
            key.attach(c);
            out.put(to, c);
            return c;
        } catch (final IOException e) {
            return null;
        }
    }

    private void run() {
        try {
            while (on) {
                selector.select(1000);
                for (Runnable r = ring.poll(); r != null; r = ring.poll()) {
                    Guard.run(r);
                }
                listener.acceptAgain();
                final var keys = selector.selectedKeys().iterator();
                while (keys.hasNext()) {
                    final SelectionKey k = keys.next();
                    keys.remove();
                    turn(k);
                }
            }
            for (final SelectionKey k : selector.keys()) {
                k.channel().close();
            }
            selector.close();
        } catch (final IOException e) {
            journal.add(Event.of(Code.CIRCUIT_CLOSED, "why", "wire ended: " + e.getMessage()));
        }
    }

    /** What goes wrong with one connection ends that one. */
    private void turn(final SelectionKey k) {
        try {
            if (k.isValid() && k.isAcceptable()) {
                listener.accept().ifPresent(key -> key.attach(circuit(key)));
            } else if (k.isValid()) {
                serve(k);
            }
        } catch (final RuntimeException | Error e) {
            Guard.failed(e);
            if (k.attachment() instanceof Circuit c) {
                close(c);
            }
        }
    }

    private void serve(final SelectionKey k) {
        final Circuit c = (Circuit) k.attachment();
        try {
            if (k.isConnectable() && ((SocketChannel) k.channel()).finishConnect()) {
                c.want();
            }
            if (k.isValid() && k.isReadable()) {
                c.read(data -> take(c, data));
            }
            if (k.isValid() && k.isWritable()) {
                c.write();
            }
        } catch (final Circuit.BadFrame e) {
            bad(c, e.getMessage());
        } catch (final IOException e) {
            if (c.cut()) {
                journal.add(Event.of(Code.CIRCUIT_CLOSED, "why", "frame cut short"));
            }
            close(c);
        }
    }

    private void bad(final Circuit c, final String why) {
        journal.add(Event.of(Code.CIRCUIT_CLOSED, "why", why));
        close(c);
    }

    private void close(final Circuit c) {
        out.values().remove(c);
        c.close();
        waits.entrySet().stream()
                .filter(e -> e.getValue().circuit == c)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(id -> end(id, Reply.lost(Reply.Trouble.NO_ANSWER)));
    }

    private void take(final Circuit c, final byte[] data) {
        final Wire.Envelope e;
        try {
            e = Wire.open(data);
        } catch (final WireTrouble t) {
            bad(c, t.getMessage());
            return;
        }
        meter.in(e.msg(), 4 + data.length);
        if (e.re() != 0) {
            answered(c, e);
        } else {
            loop.post(() -> port.take(e.from(), e.msg(), e.id() == 0 ? m -> {} : m -> back(c, e.id(), m)));
        }
    }

    /** An answer counts only on the connection that its question went out on; one that comes late is for nobody. */
    private void answered(final Circuit c, final Wire.Envelope e) {
        final Wait w = waits.get(e.re());
        if (w != null && w.circuit != c) {
            bad(c, "answer to a question that was asked elsewhere");
        } else {
            end(e.re(), Reply.of(e.msg()));
        }
    }

    /** Who asked is told at once where the answer is larger than a frame may be. */
    private void back(final Circuit c, final long re, final Msg m) {
        final byte[] data = Wire.pack(new Wire.Envelope(Wire.VERSION, 0, re, self, m));
        if (data.length > Wire.LIMIT) {
            back(c, re, new Msg.Nay("the answer is larger than a frame"));
            return;
        }
        meter.out(m, 4 + data.length);
        backWhenTaken(c, data);
    }

    private void backWhenTaken(final Circuit c, final byte[] data) {
        if (ring.offer(() -> c.send(new Circuit.Out(data, () -> {}, () -> {})))) {
            selector.wakeup();
        } else {
            loop.after(RING_FULL_MS, () -> backWhenTaken(c, data));
        }
    }
}
