package org.rowanvalve.testkit.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.NodeStatus;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.runtime.StorageException;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.voting.Quorum;
import org.rowanvalve.data.node.Node;
import org.rowanvalve.data.settings.NodeSettings;
import org.rowanvalve.server.net.TcpTransport;
import org.rowanvalve.server.storage.VolatileStorage;
import org.rowanvalve.server.thread.CoreEventLoop;

/** A node without traffic or a process of its own: the real control plane over real sockets. */
final class LightweightNode implements Transport {
    private static final Logger LOG = Logger.getLogger(LightweightNode.class);
    private final NodeId id;
    private final Role role;
    private final MessageTally tally = new MessageTally();
    private final CoreEventLoop loop = new CoreEventLoop();
    private final TcpTransport wire;
    private final Node node;
    private volatile boolean cut;
    private volatile boolean up = true;
    private volatile long core;

    /** What all nodes of a run are told alike. */
    record Neighbour(Map<NodeId, InetSocketAddress> seeds, Quorum quorum, int shards, String host) {}

    /** At {@code port}, or at any free one where it is 0. */
    LightweightNode(
            final NodeId id,
            final Role role,
            final String cell,
            final String boot,
            final Neighbour seat,
            final int port,
            final Consumer<Item> learned)
            throws IOException {
        this.id = id;
        this.role = role;
        final EventJournal journal = new EventJournal(loop, 200);
        wire = new TcpTransport(id, loop, journal, seat.seeds(), Map.of(), tally);
        wire.bind(new InetSocketAddress(seat.host(), port), (f, m, b) -> {});
        final Member self = new Member(
                id,
                role,
                cell,
                seat.host(),
                wire.boundPort(),
                boot,
                NodeStatus.PARTIAL,
                org.rowanvalve.server.process.Main.VERSION);
        final NodeSettings settings = NodeSettings.builderFor(self)
                .seeds(List.copyOf(seat.seeds().keySet()))
                .quorum(seat.quorum())
                .shards(seat.shards())
                .build();
        final org.rowanvalve.data.origin.OriginTransport none = (origin, request, gate, then) -> {
            then.accept(org.rowanvalve.data.origin.OriginTransport.OriginResponse.failure(
                    org.rowanvalve.data.origin.OriginTransport.ExchangeResult.NOT_SENT, "hollow"));
            return () -> {};
        };
        node = new Node(
                settings,
                new Node.Runtime(
                        loop,
                        this,
                        new VolatileStorage(loop),
                        none,
                        new Random(),
                        System::currentTimeMillis,
                        wire::learnAddress),
                journal);
        node.items().addListener(learned);
        wire.setHandler((from, msg, back) -> {
            if (!cut) {
                node.handle(from, msg, back);
            }
        });
        loop.start();
        loop.execute(() -> {
            core = Thread.currentThread().getId();
            try {
                node.start();
            } catch (final StorageException e) {
                LOG.error(id, e);
            }
        });
    }

    @Override
    public void request(final NodeId recipient, final Message msg, final long wait, final Consumer<Reply> then) {
        if (cut) {
            loop.schedule(wait, () -> then.accept(Reply.failed(Reply.Failure.NO_RESPONSE)));
        } else {
            wire.request(
                    recipient, msg, wait, reply -> then.accept(cut ? Reply.failed(Reply.Failure.NO_RESPONSE) : reply));
        }
    }

    @Override
    public void send(final NodeId recipient, final Message msg) {
        if (!cut) {
            wire.send(recipient, msg);
        }
    }

    @Override
    public void send(final Collection<NodeId> to, final Message msg) {
        if (!cut) {
            wire.send(to, msg);
        }
    }

    NodeId id() {
        return id;
    }

    Role role() {
        return role;
    }

    MessageTally tally() {
        return tally;
    }

    Node node() {
        return node;
    }

    CoreEventLoop loop() {
        return loop;
    }

    long core() {
        return core;
    }

    boolean up() {
        return up;
    }

    boolean cut() {
        return cut;
    }

    void cut(final boolean on) {
        cut = on;
    }

    void stop() {
        up = false;
        wire.stop();
        loop.stop();
    }

    /** What its own thread sees, or {@code other} where it does not say within 2 s. */
    <T> T see(final java.util.function.Function<Node, T> what, final T other) {
        final java.util.concurrent.atomic.AtomicReference<T> got =
                new java.util.concurrent.atomic.AtomicReference<>(other);
        final CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            got.set(what.apply(node));
            done.countDown();
        });
        try {
            done.await(2, TimeUnit.SECONDS);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return got.get();
    }
}
