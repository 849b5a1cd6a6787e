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
import org.rowanvalve.common.Condition;
import org.rowanvalve.common.DiskTrouble;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Member;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;
import org.rowanvalve.common.Role;
import org.rowanvalve.control.Quorum;
import org.rowanvalve.data.Node;
import org.rowanvalve.data.Setup;
import org.rowanvalve.server.CoreLoop;
import org.rowanvalve.server.NoDisk;
import org.rowanvalve.server.TcpNet;

/** A node without traffic, programs or a process of its own: the real classes over real sockets. */
final class Hollow implements Net {
    private static final Logger LOG = Logger.getLogger(Hollow.class);
    private final NodeId id;
    private final Role role;
    private final Tally tally = new Tally();
    private final CoreLoop loop = new CoreLoop();
    private final TcpNet wire;
    private final Node node;
    private volatile boolean cut;
    private volatile boolean up = true;
    private volatile long core;

    /** What all nodes of a run are told alike. */
    record Seat(Map<NodeId, InetSocketAddress> seeds, Quorum quorum, int shards, String host) {}

    /** At {@code port}, or at any free one where it is 0. */
    Hollow(
            final NodeId id,
            final Role role,
            final String cell,
            final String boot,
            final Seat seat,
            final int port,
            final Consumer<Item> learned)
            throws IOException {
        this.id = id;
        this.role = role;
        final Journal journal = new Journal(loop, 200);
        wire = new TcpNet(id, loop, journal, seat.seeds(), Map.of(), tally);
        wire.bind(new InetSocketAddress(seat.host(), port), (f, m, b) -> {});
        final Member self = new Member(
                id, role, cell, seat.host(), wire.bound(), boot, Condition.PARTIAL, org.rowanvalve.server.Main.VERSION);
        final Setup setup = Setup.of(self)
                .seeds(List.copyOf(seat.seeds().keySet()))
                .quorum(seat.quorum())
                .shards(seat.shards())
                .build();
        final org.rowanvalve.data.Port none = (to, what, gate, then) -> {
            then.accept(org.rowanvalve.data.Port.Got.none(org.rowanvalve.data.Port.End.NOT_SENT, "hollow"));
            return () -> {};
        };
        node = new Node(
                setup,
                new Node.Seams(
                        loop, this, new NoDisk(loop), none, new Random(), System::currentTimeMillis, wire::learn),
                journal);
        node.held().watch(learned);
        wire.serve((from, msg, back) -> {
            if (!cut) {
                node.take(from, msg, back);
            }
        });
        loop.start();
        loop.post(() -> {
            core = Thread.currentThread().getId();
            try {
                node.start();
            } catch (final DiskTrouble e) {
                LOG.error(id, e);
            }
        });
    }

    @Override
    public void ask(final NodeId to, final Msg msg, final long wait, final Consumer<Reply> then) {
        if (cut) {
            loop.after(wait, () -> then.accept(Reply.lost(Reply.Trouble.NO_ANSWER)));
        } else {
            wire.ask(to, msg, wait, r -> then.accept(cut ? Reply.lost(Reply.Trouble.NO_ANSWER) : r));
        }
    }

    @Override
    public void tell(final NodeId to, final Msg msg) {
        if (!cut) {
            wire.tell(to, msg);
        }
    }

    @Override
    public void tell(final Collection<NodeId> to, final Msg msg) {
        if (!cut) {
            wire.tell(to, msg);
        }
    }

    NodeId id() {
        return id;
    }

    Role role() {
        return role;
    }

    Tally tally() {
        return tally;
    }

    Node node() {
        return node;
    }

    CoreLoop loop() {
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
        loop.post(() -> {
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
