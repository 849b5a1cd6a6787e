package org.rowanvalve.server.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.MessageCodec;
import org.rowanvalve.common.message.MessageFormatException;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.LeaseTimings;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.NodeStatus;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.runtime.StorageException;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.control.voting.Quorum;
import org.rowanvalve.data.node.Node;
import org.rowanvalve.data.origin.OriginTransport;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.data.settings.NodeSettings;
import org.rowanvalve.server.options.Options;
import org.rowanvalve.server.origin.OriginProtocol;
import org.rowanvalve.server.storage.VolatileStorage;
import org.rowanvalve.server.thread.CoreEventLoop;

/**
 * Warms up a starting process. Two shields and one edge inside this process, with their own clock, transport and origin,
 * run requests through the code that serves clients' requests. The warm-up sends nothing to other processes, and its
 * duration is limited.
 */
final class InProcessWarmup {
    private static final NodeId SHIELD = NodeId.of("rehearsal-shield");
    private static final NodeId SECOND_SHIELD = NodeId.of("rehearsal-second");
    private static final NodeId EDGE = NodeId.of("rehearsal-edge");
    private static final String HOST = "rehearsal.invalid";
    private static final String CONFIG = """
        {"set":{"services":{"s":{"kind":"open","version":1}},"routes":{
        "c":{"host":"rehearsal.invalid","prefix":"/c/","service":"s","mode":"cached","lifetimeMs":30000,"timeoutMs":1000,"aimMs":100,"tries":2,"any":true,"version":1},
        "i":{"host":"rehearsal.invalid","prefix":"/i/","service":"s","mode":"status","timeoutMs":1000,"aimMs":100,"tries":2,"any":true,"version":1},
        "k":{"host":"rehearsal.invalid","prefix":"/k/","service":"s","mode":"once","timeoutMs":1000,"aimMs":100,"tries":2,"any":true,"version":1}}},"drop":{}}
        """;
    /** Limit of the setup by the warm-up's own clock. A setup takes about 3 s; one that exceeds the limit never completes. */
    private static final long MAX_SETUP_MS = 20_000;

    /** Timeout of a warm-up request, for its route and its client. The first requests are slow on a busy machine. */
    private static final long REQUEST_TIMEOUT_MILLIS = 1000;

    /** Size in bytes of the response body of an origin in a warm-up. */
    static final int RESPONSE_BYTES = 6000;

    private final CountDownLatch finished = new CountDownLatch(1);
    private final CoreEventLoop loop = CoreEventLoop.skippingIdleTime(MAX_SETUP_MS, finished::countDown);
    private volatile boolean settled;
    private final Options options;
    private final OriginProtocol protocol;
    private final OriginTransport originTransport;
    private final long deadlineNanos;
    private final Node shield;
    private final Node secondShield;
    private final Node edge;
    private int completed;

    /** Sends a request to the warm-up's edge and runs the callback when the response has arrived. */
    @FunctionalInterface
    interface RequestSender {
        void send(ClientRequest request, Runnable onResponse) throws IOException;
    }

    /**
     * Creates a warm-up. {@code originTransports} returns the transport to the origin, or null for an in-memory origin.
     */
    InProcessWarmup(
            final Options options,
            final OriginProtocol protocol,
            final Function<CoreEventLoop, OriginTransport> originTransports,
            final long maxMs) {
        this.options = options;
        this.protocol = protocol;
        final OriginTransport transport = originTransports.apply(loop);
        this.originTransport = transport == null ? new InMemoryOrigin() : transport;
        this.deadlineNanos = System.nanoTime() + maxMs * 1_000_000;
        shield = node(SHIELD, Role.SHIELD);
        secondShield = node(SECOND_SHIELD, Role.SHIELD);
        edge = node(EDGE, Role.EDGE);
    }

    private Node node(final NodeId requestId, final Role role) {
        final NodeSettings settings = NodeSettings.builderFor(new Member(
                        requestId,
                        role,
                        options.location(),
                        "127.0.0.1",
                        1,
                        requestId.text(),
                        NodeStatus.PARTIAL,
                        Main.VERSION))
                .seeds(List.of(SHIELD, SECOND_SHIELD))
                .quorum(new Quorum(List.of(SHIELD, SECOND_SHIELD), Set.of()))
                .timings(LeaseTimings.DEFAULT)
                .shards(options.shards())
                .cacheBytes(1 << 20)
                .build();
        final Transport transport = new InProcessTransport(requestId);
        return new Node(
                settings,
                new Node.Runtime(
                        loop,
                        transport,
                        new VolatileStorage(loop),
                        originTransport,
                        new Random(7),
                        loop::now,
                        member -> {}),
                new EventJournal(loop, 64));
    }

    /** Delivers messages between the nodes of the warm-up, encoding and decoding each one as between processes. */
    private final class InProcessTransport implements Transport {
        private final NodeId self;

        InProcessTransport(final NodeId self) {
            this.self = self;
        }

        @Override
        public void request(
                final NodeId recipient, final Message msg, final long timeoutMs, final Consumer<Reply> callback) {
            final Message sent = copy(msg);
            loop.execute(() -> (recipient.equals(SHIELD)
                            ? shield
                            : recipient.equals(SECOND_SHIELD) ? secondShield : edge)
                    .handle(self, sent, response -> loop.execute(() -> callback.accept(Reply.of(copy(response))))));
        }

        private Message copy(final Message msg) {
            try {
                return MessageCodec.decodeFrame(MessageCodec.encode(
                                new MessageCodec.Frame(MessageCodec.PROTOCOL_VERSION, 1, 0, self, msg)))
                        .message();
            } catch (final MessageFormatException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private final class InMemoryOrigin implements OriginTransport {
        @Override
        public Exchange send(
                final Origin origin,
                final OutboundRequest request,
                final Permission permission,
                final Consumer<OriginResponse> callback) {
            protocol.writeHeaders(origin, request, (k, v) -> {});
            final Map<String, String> headers = protocol.warmupHeaders(n -> request.requestId());
            loop.execute(() -> callback.accept(
                    permission.mayWrite()
                            ? protocol.read(origin, request, 200, headers, new byte[RESPONSE_BYTES])
                            : OriginResponse.failure(ExchangeResult.NOT_PERMITTED, "")));
            return () -> {};
        }

        @Override
        public String error(final Origin origin, final OutboundRequest request, final OriginResponse response) {
            return "";
        }
    }

    Node edge() {
        return edge;
    }

    CoreEventLoop loop() {
        return loop;
    }

    /** Starts and configures the nodes; returns false if that did not complete in time, which is harmless. */
    boolean prepare(final int originPort) throws InterruptedException {
        return prepare(originPort, CONFIG);
    }

    boolean prepare(final int originPort, final String config) throws InterruptedException {
        loop.execute(() -> {
            try {
                shield.start();
                secondShield.start();
                edge.start();
            } catch (final StorageException e) {
                return;
            }
            loop.schedule(1500, () -> applyConfiguration(originPort, config));
        });
        // The loop starts last, because with an empty queue it would skip its idle time before the nodes have started.
        loop.start();
        finished.await(Math.max(1, remainingNanos()), TimeUnit.NANOSECONDS);
        loop.runInRealTime();
        return settled;
    }

    private void applyConfiguration(final int originPort, final String config) {
        if (!shield.viewSynchronizer().isFresh()
                || shield.leaseHolder().heldCount() == 0
                || secondShield.leaseHolder().heldCount() == 0) {
            loop.schedule(50, () -> applyConfiguration(originPort, config));
            return;
        }
        shield.updateService()
                .apply(
                        config.getBytes(StandardCharsets.UTF_8),
                        result -> shield.originRegistry()
                                .onHeartbeat(
                                        "o",
                                        new Origin(
                                                "s",
                                                "127.0.0.1",
                                                originPort,
                                                "o",
                                                ServiceKind.OPEN,
                                                0,
                                                0,
                                                false,
                                                1,
                                                options.location(),
                                                8,
                                                0),
                                        q -> awaitReady()));
    }

    /**
     * Waits until the edge can serve requests. The loop returns to real time here, in its own thread and before the waiting
     * thread is notified, because the clock would otherwise continue to skip idle time in between.
     */
    private void awaitReady() {
        if (edge.configuration().routesByPrecedence().size() == 3
                && edge.edge().canServe()
                && edge.viewSynchronizer().isFresh()) {
            loop.runInRealTime();
            settled = true;
            finished.countDown();
        } else {
            loop.schedule(50, this::awaitReady);
        }
    }

    /** Sends requests of each kind, one after the other, until all rounds or the time limit are used up. */
    int sendRequests(final int rounds, final RequestSender sender) throws InterruptedException, IOException {
        for (int index = 0; index < rounds && remainingNanos() > 0; index++) {
            final CountDownLatch responded = new CountDownLatch(1);
            sender.send(createRequest(index), responded::countDown);
            if (!responded.await(REQUEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                return completed;
            }
            completed++;
        }
        return completed;
    }

    private static ClientRequest createRequest(final int index) {
        final String requestId = "rehearsal-" + index;
        final Map<String, String> headers = Map.of("Accept", "*/*", "User-Agent", "rehearsal");
        return switch (index % 4) {
            case 0, 1 ->
                new ClientRequest(
                        "GET", HOST, "/c/" + index / 8, null, new byte[0], null, requestId, 1000, null, headers);
            case 2 ->
                new ClientRequest("GET", HOST, "/i/" + index, null, new byte[0], null, requestId, 1000, null, headers);
            default ->
                new ClientRequest(
                        "POST",
                        HOST,
                        "/k/" + index,
                        "k" + index,
                        new byte[300],
                        "application/json",
                        requestId,
                        1000,
                        null,
                        headers);
        };
    }

    private long remainingNanos() {
        return deadlineNanos - System.nanoTime();
    }

    void stop() {
        loop.stop();
    }

    static InetSocketAddress anyLocalPort() {
        return new InetSocketAddress("127.0.0.1", 0);
    }
}
