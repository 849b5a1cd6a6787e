package org.rowanvalve.server.thread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.AckResponse;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.message.VotersRequest;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.server.net.TcpTransport;
import org.rowanvalve.server.net.TrafficMeter;
import org.rowanvalve.server.storage.SqliteStorage;

/** What one job throws ends neither its thread nor the process. */
class ThreadGuardTest {
    private static final NodeId ONE = NodeId.of("one");
    private static final NodeId TWO = NodeId.of("two");

    @TempDir
    private Path dir;

    private final CoreEventLoop loop = new CoreEventLoop();
    private final EventJournal journal = new EventJournal(loop, 100);

    @BeforeEach
    void begin() {
        loop.start();
    }

    @AfterEach
    void end() {
        loop.stop();
    }

    @SuppressWarnings("InfiniteRecursion") // A stack that is too deep is what this brings about.
    private static int endless(final int n) {
        return endless(n + 1) + 1;
    }

    @Test
    void theCoreGoesOnAfterAnythingThatAJobThrows() throws Exception {
        final List<Runnable> jobs = List.of(
                () -> {
                    throw new IllegalStateException("a defect");
                },
                () -> endless(0),
                () -> {
                    throw new OutOfMemoryError("for a moment");
                },
                () -> {
                    throw new AssertionError("a broken rule");
                });
        for (final Runnable job : jobs) {
            loop.execute(job);
            loop.schedule(0, job);
            final CompletableFuture<Boolean> next = new CompletableFuture<>();
            loop.execute(() -> next.complete(true));
            assertTrue(next.get(20, TimeUnit.SECONDS));
        }
    }

    /** Throws at the first frame that comes in. */
    private static final class Failing implements TrafficMeter {
        private final AtomicInteger frames = new AtomicInteger();

        @Override
        public void onSent(final Message msg, final int bytes) {}

        @Override
        public void onReceived(final Message msg, final int bytes) {
            if (frames.incrementAndGet() == 1) {
                throw new IllegalStateException("a defect");
            }
        }
    }

    private TcpTransport bound(final NodeId id, final Map<NodeId, InetSocketAddress> peers, final TrafficMeter meter)
            throws IOException {
        final TcpTransport net = new TcpTransport(id, loop, journal, peers, Map.of(), meter);
        net.bind(new InetSocketAddress("127.0.0.1", 0), (from, msg, back) -> back.accept(new AckResponse()));
        return net;
    }

    private static Reply ask(final TcpTransport net) throws Exception {
        final CompletableFuture<Reply> reply = new CompletableFuture<>();
        net.request(TWO, new VotersRequest(), 10_000, reply::complete);
        return reply.get(20, TimeUnit.SECONDS);
    }

    @Test
    void theWireGoesOnAndOnlyTheCircuitOfTheDefectIsClosed() throws Exception {
        final Failing meter = new Failing();
        final TcpTransport two = bound(TWO, Map.of(), meter);
        final TcpTransport one =
                bound(ONE, Map.of(TWO, new InetSocketAddress("127.0.0.1", two.boundPort())), TrafficMeter.NONE);
        assertTrue(ask(one).as(AckResponse.class).isEmpty(), "its circuit was closed");
        assertTrue(ask(one).as(AckResponse.class).isPresent());
        assertEquals(2, meter.frames.get());
        one.stop();
        two.stop();
    }

    @Test
    void theDiskGoesOnAfterRowsThatCannotBeStored() throws Exception {
        final SqliteStorage disk = new SqliteStorage(loop, dir.resolve("data"));
        disk.open();
        final Map<String, byte[]> nameless = new HashMap<>();
        nameless.put(null, new byte[1]);
        assertFalse(save(disk, nameless));
        assertTrue(save(disk, Map.of("a", new byte[1])));
        assertEquals(1, disk.load().size());
        disk.stop();
    }

    private static boolean save(final SqliteStorage disk, final Map<String, byte[]> rows) throws Exception {
        final CompletableFuture<Boolean> done = new CompletableFuture<>();
        disk.save(rows, done::complete);
        return done.get(20, TimeUnit.SECONDS);
    }
}
