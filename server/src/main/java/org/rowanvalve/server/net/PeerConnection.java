package org.rowanvalve.server.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.rowanvalve.common.message.MessageCodec;

/** One TCP connection between processes: each message is a length and a CBOR envelope. Transport thread only. */
final class PeerConnection {
    /**
     * Time-out of a connect: after it, a new connect is better than TCP's own retransmissions, which come after 1, 3
     * and 7 s.
     */
    static final long CONNECT_TIMEOUT_MILLIS = 300;
    /** How long a request may get no byte at all from the peer before the next one takes another connection. */
    static final long SILENCE_TIMEOUT_MILLIS = 1000;

    private static final long NONE = -1;
    private static final int MAX_QUEUED_BYTES = 16 << 20;
    private final long id;
    private final SocketChannel channel;
    private final SelectionKey key;
    private final ArrayDeque<OutgoingFrame> queue = new ArrayDeque<>();
    private final long dialedAt;
    private ByteBuffer input = ByteBuffer.allocate(16 << 10);
    private long queuedBytes;
    private long unansweredSince = NONE;
    private boolean retired;

    static final class OutgoingFrame {
        private final ByteBuffer data;
        private final Runnable onFirstByte;
        private final Runnable onLost;

        OutgoingFrame(final byte[] frame, final Runnable onFirstByte, final Runnable onLost) {
            data = ByteBuffer.allocate(4 + frame.length)
                    .putInt(frame.length)
                    .put(frame)
                    .flip();
            this.onFirstByte = onFirstByte;
            this.onLost = onLost;
        }
    }

    /** {@code id}: unlike that of any other connection of this process. */
    PeerConnection(final long id, final SocketChannel channel, final SelectionKey key, final long now) {
        this.id = id;
        this.channel = channel;
        this.key = key;
        this.dialedAt = now;
    }

    long id() {
        return id;
    }

    /** A request is sent that the peer is expected to answer. */
    void onRequestSent(final long now) {
        unansweredSince = unansweredSince == NONE ? now : unansweredSince;
    }

    /**
     * Whether the peer has not reacted to a connect, or a request, for too long: later messages take another
     * connection.
     */
    boolean isUnresponsive(final long now) {
        return channel.isConnected()
                ? unansweredSince != NONE && now - unansweredSince >= SILENCE_TIMEOUT_MILLIS
                : now - dialedAt >= CONNECT_TIMEOUT_MILLIS;
    }

    boolean isConnected() {
        return channel.isConnected();
    }

    /** No new messages; it stays open for the answers that are still awaited on it. */
    void retire() {
        retired = true;
    }

    boolean retired() {
        return retired;
    }

    boolean send(final OutgoingFrame frame) {
        if (queuedBytes + frame.data.remaining() > MAX_QUEUED_BYTES) {
            return false;
        }
        queuedBytes += frame.data.remaining();
        queue.add(frame);
        updateInterest();
        return true;
    }

    boolean removeUnsent(final OutgoingFrame frame) {
        if (frame.data.position() == 0 && queue.remove(frame)) {
            queuedBytes -= frame.data.remaining();
            return true;
        }
        return false;
    }

    void updateInterest() {
        if (key.isValid()) {
            final int interest = channel.isConnected() ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT;
            key.interestOps(interest | (channel.isConnected() && !queue.isEmpty() ? SelectionKey.OP_WRITE : 0));
        }
    }

    void write() throws IOException {
        while (!queue.isEmpty()) {
            final OutgoingFrame frame = queue.peek();
            if (frame.data.position() == 0) {
                frame.onFirstByte.run();
            }
            queuedBytes -= channel.write(frame.data);
            if (frame.data.hasRemaining()) {
                break;
            }
            queue.poll();
        }
        updateInterest();
    }

    void read(final Consumer<byte[]> frameHandler) throws IOException {
        if (channel.read(input) < 0) {
            throw new IOException("closed by peer");
        }
        unansweredSince = NONE;
        input.flip();
        while (input.remaining() >= 4) {
            final int length = input.getInt(input.position());
            if (length <= 0 || length > MessageCodec.MAX_FRAME_BYTES) {
                throw new MalformedFrameException("frame of " + length + " bytes");
            }
            if (input.remaining() < 4 + length) {
                break;
            }
            input.getInt();
            final byte[] data = new byte[length];
            input.get(data);
            frameHandler.accept(data);
        }
        if (input.remaining() >= 4 && input.getInt(input.position()) + 4 > input.capacity()) {
            input = ByteBuffer.allocate(input.getInt(input.position()) + 4).put(input);
        } else {
            input.compact();
        }
    }

    boolean endsInsideFrame() {
        return input.position() > 0;
    }

    void close() {
        retired = false;
        key.cancel();
        try {
            channel.close();
        } catch (final IOException e) {
            queuedBytes = 0;
        }
        queue.forEach(frame -> frame.onLost.run());
        queue.clear();
    }

    static final class MalformedFrameException extends IOException {
        private static final long serialVersionUID = 1L;

        MalformedFrameException(final String text) {
            super(text);
        }
    }
}
