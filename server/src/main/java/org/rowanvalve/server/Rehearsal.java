package org.rowanvalve.server;

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
import org.rowanvalve.common.Condition;
import org.rowanvalve.common.DiskTrouble;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Member;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;
import org.rowanvalve.common.Role;
import org.rowanvalve.common.Timing;
import org.rowanvalve.common.Wire;
import org.rowanvalve.common.WireTrouble;
import org.rowanvalve.control.Origin;
import org.rowanvalve.control.Quorum;
import org.rowanvalve.control.Service;
import org.rowanvalve.data.ClientRequest;
import org.rowanvalve.data.Node;
import org.rowanvalve.data.Port;
import org.rowanvalve.data.Setup;

/**
 * Two shields and one edge inside this process, with a clock, a wire and an origin of their own: what a request runs
 * through has run before the first caller comes. Nothing of it leaves the process, and it ends in time.
 */
final class Rehearsal {
    private static final NodeId SHIELD = NodeId.of("rehearsal-shield");
    private static final NodeId SECOND = NodeId.of("rehearsal-second");
    private static final NodeId EDGE = NodeId.of("rehearsal-edge");
    private static final String HOST = "rehearsal.invalid";
    private static final String CONFIG = """
        {"set":{"services":{"s":{"kind":"open","version":1}},"routes":{
        "c":{"host":"rehearsal.invalid","prefix":"/c/","service":"s","mode":"cached","lifetimeMs":30000,"timeoutMs":1000,"aimMs":100,"tries":2,"any":true,"version":1},
        "i":{"host":"rehearsal.invalid","prefix":"/i/","service":"s","mode":"status","timeoutMs":1000,"aimMs":100,"tries":2,"any":true,"version":1},
        "k":{"host":"rehearsal.invalid","prefix":"/k/","service":"s","mode":"once","timeoutMs":1000,"aimMs":100,"tries":2,"any":true,"version":1}}},"drop":{}}
        """;
    /** By its own clock a rehearsal is set up after 3 s or so; one that is not by then never will be. */
    private static final long MOST_SETTING_UP = 20_000;

    /** How long a rehearsed request may take, as its route and its caller say; on a busy machine the first ones do. */
    private static final long REQUEST_MS = 1000;

    private final CountDownLatch over = new CountDownLatch(1);
    private final CoreLoop loop = CoreLoop.leaping(MOST_SETTING_UP, over::countDown);
    private volatile boolean settled;
    private final Options options;
    private final Dialect dialect;
    private final Port port;
    private final long until;
    private final Node shield;
    private final Node second;
    private final Node edge;
    private int done;

    /** {@code sent}: how a request is put to the rehearsed edge. */
    @FunctionalInterface
    interface Caller {
        void call(ClientRequest ask, Runnable then) throws IOException;
    }

    /** {@code ports} gives the way to the origin, or null where that stands in this process's memory only. */
    Rehearsal(final Options options, final Dialect dialect, final Function<CoreLoop, Port> ports, final long span) {
        this.options = options;
        this.dialect = dialect;
        final Port way = ports.apply(loop);
        this.port = way == null ? new Inside() : way;
        this.until = System.nanoTime() + span * 1_000_000;
        shield = node(SHIELD, Role.SHIELD);
        second = node(SECOND, Role.SHIELD);
        edge = node(EDGE, Role.EDGE);
    }

    private Node node(final NodeId id, final Role role) {
        final Setup setup = Setup.of(new Member(
                        id, role, options.cell(), "127.0.0.1", 1, id.text(), Condition.PARTIAL, Main.VERSION))
                .seeds(List.of(SHIELD, SECOND))
                .quorum(new Quorum(List.of(SHIELD, SECOND), Set.of()))
                .timing(Timing.DEFAULT)
                .shards(options.shards())
                .cacheBytes(1 << 20)
                .build();
        final Net net = new Within(id);
        return new Node(
                setup,
                new Node.Seams(loop, net, new NoDisk(loop), port, new Random(7), loop::now, m -> {}),
                new Journal(loop, 64));
    }

    /** Between the two, each message is packed and read as on the wire. */
    private final class Within implements Net {
        private final NodeId self;

        Within(final NodeId self) {
            this.self = self;
        }

        @Override
        public void ask(final NodeId to, final Msg msg, final long wait, final Consumer<Reply> then) {
            final Msg sent = copy(msg);
            loop.post(() -> (to.equals(SHIELD) ? shield : to.equals(SECOND) ? second : edge)
                    .take(self, sent, m -> loop.post(() -> then.accept(Reply.of(copy(m))))));
        }

        private Msg copy(final Msg msg) {
            try {
                return Wire.open(Wire.pack(new Wire.Envelope(Wire.VERSION, 1, 0, self, msg)))
                        .msg();
            } catch (final WireTrouble e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** An origin in memory. */
    private final class Inside implements Port {
        @Override
        public Rope send(final Origin to, final Send what, final Gate gate, final Consumer<Got> then) {
            dialect.heads(to, what, (k, v) -> {});
            final Map<String, String> heads = dialect.rehearsed(n -> what.id());
            loop.post(() -> then.accept(
                    gate.open() ? dialect.read(to, what, 200, heads, new byte[6000]) : Got.none(End.BARRED, "")));
            return () -> {};
        }

        @Override
        public String fault(final Origin to, final Send what, final Got got) {
            return "";
        }
    }

    Node edge() {
        return edge;
    }

    CoreLoop loop() {
        return loop;
    }

    /** False where it was given up; then nothing but time is lost. */
    boolean prepare(final int originPort) throws InterruptedException {
        return prepare(originPort, CONFIG);
    }

    boolean prepare(final int originPort, final String config) throws InterruptedException {
        loop.start();
        loop.post(() -> {
            try {
                shield.start();
                second.start();
                edge.start();
            } catch (final DiskTrouble e) {
                return;
            }
            loop.after(1500, () -> configure(originPort, config));
        });
        over.await(Math.max(1, left()), TimeUnit.NANOSECONDS);
        loop.still();
        return settled;
    }

    private void configure(final int originPort, final String config) {
        if (!shield.sync().fresh()
                || shield.holder().count() == 0
                || second.holder().count() == 0) {
            loop.after(50, () -> configure(originPort, config));
            return;
        }
        shield.orders()
                .patch(
                        config.getBytes(StandardCharsets.UTF_8),
                        r -> shield.registry()
                                .beat(
                                        "o",
                                        new Origin(
                                                "s",
                                                "127.0.0.1",
                                                originPort,
                                                "o",
                                                Service.OPEN,
                                                0,
                                                0,
                                                false,
                                                1,
                                                options.cell(),
                                                8,
                                                0),
                                        q -> settle()));
    }

    /** The clock is stopped here, in the loop's own thread, before anybody is told: else it runs on meanwhile. */
    private void settle() {
        if (edge.view().rows().size() == 3 && edge.edge().able() && edge.sync().fresh()) {
            loop.still();
            settled = true;
            over.countDown();
        } else {
            loop.after(50, this::settle);
        }
    }

    /** Requests of each kind, one after the other, until the rounds or the time are over. */
    int play(final int rounds, final Caller caller) throws InterruptedException, IOException {
        for (int i = 0; i < rounds && left() > 0; i++) {
            final CountDownLatch one = new CountDownLatch(1);
            caller.call(ask(i), one::countDown);
            if (!one.await(REQUEST_MS, TimeUnit.MILLISECONDS)) {
                return done;
            }
            done++;
        }
        return done;
    }

    private static ClientRequest ask(final int i) {
        final String id = "rehearsal-" + i;
        final Map<String, String> heads = Map.of("Accept", "*/*", "User-Agent", "rehearsal");
        return switch (i % 4) {
            case 0, 1 -> new ClientRequest("GET", HOST, "/c/" + i / 8, null, new byte[0], null, id, 1000, null, heads);
            case 2 -> new ClientRequest("GET", HOST, "/i/" + i, null, new byte[0], null, id, 1000, null, heads);
            default ->
                new ClientRequest(
                        "POST", HOST, "/k/" + i, "k" + i, new byte[300], "application/json", id, 1000, null, heads);
        };
    }

    private long left() {
        return until - System.nanoTime();
    }

    void end() {
        loop.stop();
    }

    static InetSocketAddress inside() {
        return new InetSocketAddress("127.0.0.1", 0);
    }
}
