package org.rowanvalve.server.net;

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
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.MessageCodec;
import org.rowanvalve.common.message.MessageFormatException;
import org.rowanvalve.common.message.RejectedResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.server.thread.CoreEventLoop;
import org.rowanvalve.server.thread.ThreadGuard;

/** The transport between processes: one selector thread for all connections. */
public final class TcpTransport implements Transport {
    /** Pause before a full ring buffer is tried again. */
    private static final long QUEUE_RETRY_MS = 10;

    private final NodeId self;
    private final CoreEventLoop loop;
    private final EventJournal journal;
    private final Map<NodeId, InetSocketAddress> addressBook = new ConcurrentHashMap<>();
    private volatile Map<NodeId, InetSocketAddress> fixedRoutes;
    private final ArrayBlockingQueue<Runnable> taskQueue = new ArrayBlockingQueue<>(8192);
    private final Map<NodeId, PeerConnection> connections = new HashMap<>();
    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
    private final Thread thread = new Thread(this::run, "wire");
    private final TrafficMeter trafficMeter;
    private final LongSupplier clock;
    private Selector selector;
    private ConnectionListener listener;
    private volatile Transport.Handler handler;
    private volatile LongConsumer closeListener = connectionId -> {};
    private long lastRequestId;
    private long lastConnectionId = Responder.NO_CONNECTION;
    private volatile boolean running = true;

    private static final class PendingRequest {
        private final Consumer<Reply> callback;
        private PeerConnection connection;
        private PeerConnection.OutgoingFrame frame;
        private boolean started;

        PendingRequest(final Consumer<Reply> callback) {
            this.callback = callback;
        }
    }

    public TcpTransport(
            final NodeId self,
            final CoreEventLoop loop,
            final EventJournal journal,
            final Map<NodeId, InetSocketAddress> seeds,
            final Map<NodeId, InetSocketAddress> fixedRoutes) {
        this(self, loop, journal, seeds, fixedRoutes, TrafficMeter.NONE);
    }

    public TcpTransport(
            final NodeId self,
            final CoreEventLoop loop,
            final EventJournal journal,
            final Map<NodeId, InetSocketAddress> seeds,
            final Map<NodeId, InetSocketAddress> fixedRoutes,
            final TrafficMeter trafficMeter) {
        this(self, loop, journal, seeds, fixedRoutes, trafficMeter, () -> System.nanoTime() / 1_000_000);
    }

    /** With a steady clock of one's own, in ms, by which silent peers are judged. */
    TcpTransport(
            final NodeId self,
            final CoreEventLoop loop,
            final EventJournal journal,
            final Map<NodeId, InetSocketAddress> seeds,
            final Map<NodeId, InetSocketAddress> fixedRoutes,
            final TrafficMeter trafficMeter,
            final LongSupplier clock) {
        this.clock = clock;
        this.trafficMeter = trafficMeter;
        this.self = self;
        this.loop = loop;
        this.journal = journal;
        this.fixedRoutes = Map.copyOf(fixedRoutes);
        addressBook.putAll(seeds);
    }

    /** Opens the listener and starts the selector thread; fails where the address cannot be used. */
    public void bind(final InetSocketAddress address, final Transport.Handler recipient) throws IOException {
        handler = recipient;
        selector = Selector.open();
        listener = new ConnectionListener(selector, address, journal);
        thread.start();
    }

    /** Replaces the handler of received messages. */
    public void setHandler(final Transport.Handler recipient) {
        handler = recipient;
    }

    /** The port that is listened at, where 0 was asked for. */
    public int boundPort() throws IOException {
        return listener.port();
    }

    public void learnAddress(final Member message) {
        if (!message.id().equals(self)) {
            addressBook.put(message.id(), new InetSocketAddress(message.host(), message.port()));
        }
    }

    public void learnAddress(final NodeId id, final InetSocketAddress address) {
        if (!id.equals(self)) {
            addressBook.put(id, address);
        }
    }

    /** Replaces the addresses of peers; open connections are kept. */
    public void setFixedRoutes(final Map<NodeId, InetSocketAddress> routes) {
        fixedRoutes = Map.copyOf(routes);
    }

    @Override
    public void onConnectionClosed(final LongConsumer listener) {
        closeListener = listener;
    }

    public void stop() {
        running = false;
        selector.wakeup();
    }

    @Override
    public void request(
            final NodeId recipient, final Message message, final long timeoutMs, final Consumer<Reply> callback) {
        if (recipient.equals(self)) {
            loop.execute(() -> handler.handle(self, message, m -> loop.execute(() -> callback.accept(Reply.of(m)))));
            return;
        }
        final long id = ++lastRequestId;
        final byte[] frameBytes =
                MessageCodec.encode(new MessageCodec.Frame(MessageCodec.PROTOCOL_VERSION, id, 0, self, message));
        trafficMeter.onSent(message, 4 + frameBytes.length);
        if (frameBytes.length > MessageCodec.MAX_FRAME_BYTES
                || !taskQueue.offer(() -> startRequest(recipient, id, frameBytes, timeoutMs, callback))) {
            loop.execute(() -> callback.accept(Reply.failed(Reply.Failure.NOT_SENT)));
            return;
        }
        selector.wakeup();
        loop.schedule(timeoutMs, () -> scheduleTimeout(id));
    }

    /** Without it a request might never end, so it is offered until it is taken. */
    private void scheduleTimeout(final long id) {
        if (taskQueue.offer(() -> onTimeout(id))) {
            selector.wakeup();
        } else {
            loop.schedule(QUEUE_RETRY_MS, () -> scheduleTimeout(id));
        }
    }

    @Override
    public void send(final NodeId recipient, final Message message) {
        send(List.of(recipient), message);
    }

    /** Encoded once for all receivers. */
    @Override
    public void send(final Collection<NodeId> recipient, final Message message) {
        if (recipient.contains(self)) {
            loop.execute(() -> handler.handle(self, message, m -> {}));
        }
        final byte[] frameBytes =
                MessageCodec.encode(new MessageCodec.Frame(MessageCodec.PROTOCOL_VERSION, 0, 0, self, message));
        if (frameBytes.length > MessageCodec.MAX_FRAME_BYTES) {
            return;
        }
        final List<NodeId> others =
                recipient.stream().filter(node -> !node.equals(self)).toList();
        others.forEach(node -> trafficMeter.onSent(message, 4 + frameBytes.length));
        if (taskQueue.offer(() -> others.forEach(node -> send(node, frameBytes)))) {
            selector.wakeup();
        }
    }

    private void send(final NodeId recipient, final byte[] frameBytes) {
        final PeerConnection connection = connectionTo(recipient);
        if (connection != null) {
            connection.send(new PeerConnection.OutgoingFrame(frameBytes, () -> {}, () -> {}));
        }
    }

    /**
     * The connection for what is sent now. One on which the peer has been silent for too long is left to the answers
     * that may still come on it: after a partition or a loss of power, TCP itself would retransmit only seconds later.
     */
    private PeerConnection connectionTo(final NodeId recipient) {
        final PeerConnection connection = connections.get(recipient);
        if (connection == null) {
            return connect(recipient);
        }
        if (!connection.isUnresponsive(clock.getAsLong())) {
            return connection;
        }
        connections.remove(recipient);
        if (connection.isConnected()) {
            connection.retire();
            closeIfDone(connection);
        } else {
            close(connection);
        }
        return connect(recipient);
    }

    private void closeIfDone(final PeerConnection connection) {
        if (connection != null
                && connection.retired()
                && pendingRequests.values().stream().noneMatch(pending -> pending.connection == connection)) {
            close(connection);
        }
    }

    private void startRequest(
            final NodeId recipient,
            final long id,
            final byte[] frameBytes,
            final long timeoutMs,
            final Consumer<Reply> callback) {
        final PendingRequest pending = new PendingRequest(callback);
        pendingRequests.put(id, pending);
        pending.connection = connectionTo(recipient);
        pending.frame = new PeerConnection.OutgoingFrame(
                frameBytes,
                () -> pending.started = true,
                () -> completeRequest(id, Reply.failed(Reply.Failure.NOT_SENT)));
        if (pending.connection == null || !pending.connection.send(pending.frame)) {
            completeRequest(id, Reply.failed(Reply.Failure.NOT_SENT));
            return;
        }
        pending.connection.onRequestSent(clock.getAsLong());
    }

    private void onTimeout(final long id) {
        final PendingRequest pending = pendingRequests.get(id);
        if (pending != null) {
            final boolean unsent =
                    pending.connection != null && !pending.started && pending.connection.removeUnsent(pending.frame);
            completeRequest(id, Reply.failed(unsent ? Reply.Failure.NOT_SENT : Reply.Failure.NO_RESPONSE));
        }
    }

    private void completeRequest(final long id, final Reply task) {
        final PendingRequest pending = pendingRequests.remove(id);
        if (pending != null) {
            loop.execute(() -> pending.callback.accept(task));
            closeIfDone(pending.connection);
        }
    }

    private PeerConnection connectionTo(final SelectionKey key) {
        return new PeerConnection(++lastConnectionId, (SocketChannel) key.channel(), key, clock.getAsLong());
    }

    private PeerConnection connect(final NodeId recipient) {
        final InetSocketAddress address = fixedRoutes.getOrDefault(recipient, addressBook.get(recipient));
        if (address == null) {
            return null;
        }
        try {
            final SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            final boolean open = channel.connect(address);
            final SelectionKey key = channel.register(selector, open ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT);
            final PeerConnection connection = connectionTo(key);
            key.attach(connection);
            connections.put(recipient, connection);
            return connection;
        } catch (final IOException e) {
            return null;
        }
    }

    private void run() {
        try {
            while (running) {
                selector.select(1000);
                for (Runnable task = taskQueue.poll(); task != null; task = taskQueue.poll()) {
                    ThreadGuard.run(task);
                }
                listener.acceptAgain();
                final var keys = selector.selectedKeys().iterator();
                while (keys.hasNext()) {
                    final SelectionKey key = keys.next();
                    keys.remove();
                    process(key);
                }
            }
            for (final SelectionKey key : selector.keys()) {
                key.channel().close();
            }
            selector.close();
        } catch (final IOException e) {
            journal.add(Event.of(EventCode.CIRCUIT_CLOSED, "why", "wire ended: " + e.getMessage()));
        }
    }

    /** What goes wrong with one connection ends that one. */
    private void process(final SelectionKey k) {
        try {
            if (k.isValid() && k.isAcceptable()) {
                listener.accept().ifPresent(key -> key.attach(connectionTo(key)));
            } else if (k.isValid()) {
                setHandler(k);
            }
        } catch (final RuntimeException | Error frame) {
            ThreadGuard.logFailure(frame);
            if (k.attachment() instanceof PeerConnection connection) {
                close(connection);
            }
        }
    }

    private void setHandler(final SelectionKey key) {
        final PeerConnection connection = (PeerConnection) key.attachment();
        try {
            if (key.isConnectable() && ((SocketChannel) key.channel()).finishConnect()) {
                connection.updateInterest();
            }
            if (key.isValid() && key.isReadable()) {
                connection.read(frameBytes -> onFrame(connection, frameBytes));
            }
            if (key.isValid() && key.isWritable()) {
                connection.write();
            }
        } catch (final PeerConnection.MalformedFrameException frame) {
            closeMalformed(connection, frame.getMessage());
        } catch (final IOException e) {
            if (connection.endsInsideFrame()) {
                journal.add(Event.of(EventCode.CIRCUIT_CLOSED, "why", "frame cut short"));
            }
            close(connection);
        }
    }

    private void closeMalformed(final PeerConnection connection, final String reason) {
        journal.add(Event.of(EventCode.CIRCUIT_CLOSED, "why", reason));
        close(connection);
    }

    private void close(final PeerConnection connection) {
        connections.values().remove(connection);
        connection.close();
        loop.execute(() -> closeListener.accept(connection.id()));
        pendingRequests.entrySet().stream()
                .filter(frame -> frame.getValue().connection == connection)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(id -> completeRequest(id, Reply.failed(Reply.Failure.NO_RESPONSE)));
    }

    private void onFrame(final PeerConnection connection, final byte[] frameBytes) {
        final MessageCodec.Frame frame;
        try {
            frame = MessageCodec.decodeFrame(frameBytes);
        } catch (final MessageFormatException malformed) {
            closeMalformed(connection, malformed.getMessage());
            return;
        }
        trafficMeter.onReceived(frame.message(), 4 + frameBytes.length);
        if (frame.inReplyTo() != 0) {
            onResponse(connection, frame);
        } else {
            loop.execute(() ->
                    handler.handle(frame.from(), frame.message(), new ConnectionResponder(connection, frame.id())));
        }
    }

    /** Answers on the connection that the request came on; a one-way message, which has no id, gets no answer. */
    private final class ConnectionResponder implements Responder {
        private final PeerConnection connection;
        private final long requestId;

        ConnectionResponder(final PeerConnection connection, final long requestId) {
            this.connection = connection;
            this.requestId = requestId;
        }

        @Override
        public void accept(final Message message) {
            if (requestId != 0) {
                respond(connection, requestId, message);
            }
        }

        @Override
        public long connectionId() {
            return connection.id();
        }
    }

    /** An answer counts only on the connection that its request went out on; a late one is dropped. */
    private void onResponse(final PeerConnection connection, final MessageCodec.Frame frame) {
        final PendingRequest pending = pendingRequests.get(frame.inReplyTo());
        if (pending != null && pending.connection != connection) {
            closeMalformed(connection, "answer to a question that was asked elsewhere");
        } else {
            completeRequest(frame.inReplyTo(), Reply.of(frame.message()));
        }
    }

    /** The requester gets an error at once where the answer is larger than a message may be. */
    private void respond(final PeerConnection connection, final long requestId, final Message message) {
        final byte[] frameBytes =
                MessageCodec.encode(new MessageCodec.Frame(MessageCodec.PROTOCOL_VERSION, 0, requestId, self, message));
        if (frameBytes.length > MessageCodec.MAX_FRAME_BYTES) {
            respond(connection, requestId, new RejectedResponse("the answer is larger than a frame"));
            return;
        }
        trafficMeter.onSent(message, 4 + frameBytes.length);
        enqueueResponse(connection, frameBytes);
    }

    private void enqueueResponse(final PeerConnection connection, final byte[] frameBytes) {
        if (taskQueue.offer(() -> connection.send(new PeerConnection.OutgoingFrame(frameBytes, () -> {}, () -> {})))) {
            selector.wakeup();
        } else {
            loop.schedule(QUEUE_RETRY_MS, () -> enqueueResponse(connection, frameBytes));
        }
    }
}
