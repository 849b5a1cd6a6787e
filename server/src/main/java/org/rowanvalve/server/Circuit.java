package org.rowanvalve.server;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.rowanvalve.common.Wire;

/** One TCP circuit between processes: frames are a length and a CBOR envelope. Wire thread only. */
final class Circuit {
    /** How long a connect may take before another one is worth more than TCP's own repeats, which come after 1, 3 and 7 s. */
    static final long CONNECT_MS = 300;
    /** How long an ask may meet no byte at all from the peer before the next one takes another connection. */
    static final long SILENT_MS = 1000;

    private static final long NONE = -1;
    private static final int ROOM = 16 << 20;
    private final SocketChannel channel;
    private final SelectionKey key;
    private final ArrayDeque<Out> queue = new ArrayDeque<>();
    private final long dialed;
    private ByteBuffer in = ByteBuffer.allocate(16 << 10);
    private long size;
    private long unanswered = NONE;
    private boolean retired;

    static final class Out {
        private final ByteBuffer data;
        private final Runnable begun;
        private final Runnable lost;

        Out(final byte[] frame, final Runnable begun, final Runnable lost) {
            data = ByteBuffer.allocate(4 + frame.length)
                    .putInt(frame.length)
                    .put(frame)
                    .flip();
            this.begun = begun;
            this.lost = lost;
        }
    }

    Circuit(final SocketChannel channel, final SelectionKey key, final long now) {
        this.channel = channel;
        this.key = key;
        this.dialed = now;
    }

    /** An ask is sent that the peer is expected to answer. */
    void asked(final long now) {
        unanswered = unanswered == NONE ? now : unanswered;
    }

    /** Whether the peer has left a connect, or an ask, without a sign for too long: what follows goes elsewhere. */
    boolean hung(final long now) {
        return channel.isConnected() ? unanswered != NONE && now - unanswered >= SILENT_MS : now - dialed >= CONNECT_MS;
    }

    boolean connected() {
        return channel.isConnected();
    }

    /** No new frames; it stays open for the answers that are still awaited on it. */
    void retire() {
        retired = true;
    }

    boolean retired() {
        return retired;
    }

    boolean send(final Out out) {
        if (size + out.data.remaining() > ROOM) {
            return false;
        }
        size += out.data.remaining();
        queue.add(out);
        want();
        return true;
    }

    boolean drop(final Out out) {
        if (out.data.position() == 0 && queue.remove(out)) {
            size -= out.data.remaining();
            return true;
        }
        return false;
    }

    void want() {
        if (key.isValid()) {
            final int base = channel.isConnected() ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT;
            key.interestOps(base | (channel.isConnected() && !queue.isEmpty() ? SelectionKey.OP_WRITE : 0));
        }
    }

    void write() throws IOException {
        while (!queue.isEmpty()) {
            final Out out = queue.peek();
            if (out.data.position() == 0) {
                out.begun.run();
            }
            size -= channel.write(out.data);
            if (out.data.hasRemaining()) {
                break;
            }
            queue.poll();
        }
        want();
    }

    void read(final Consumer<byte[]> each) throws IOException {
        if (channel.read(in) < 0) {
            throw new IOException("closed by peer");
        }
        unanswered = NONE;
        in.flip();
        while (in.remaining() >= 4) {
            final int len = in.getInt(in.position());
            if (len <= 0 || len > Wire.LIMIT) {
                throw new BadFrame("frame of " + len + " bytes");
            }
            if (in.remaining() < 4 + len) {
                break;
            }
            in.getInt();
            final byte[] data = new byte[len];
            in.get(data);
            each.accept(data);
        }
        if (in.remaining() >= 4 && in.getInt(in.position()) + 4 > in.capacity()) {
            in = ByteBuffer.allocate(in.getInt(in.position()) + 4).put(in);
        } else {
            in.compact();
        }
    }

    boolean cut() {
        return in.position() > 0;
    }

    void close() {
        retired = false;
        key.cancel();
        try {
            channel.close();
        } catch (final IOException e) {
            size = 0;
        }
        queue.forEach(o -> o.lost.run());
        queue.clear();
    }

    static final class BadFrame extends IOException {
        private static final long serialVersionUID = 1L;

        BadFrame(final String text) {
            super(text);
        }
    }
}
