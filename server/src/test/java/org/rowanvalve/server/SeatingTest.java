package org.rowanvalve.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Disk;
import org.rowanvalve.common.Finding;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Role;
import org.rowanvalve.common.Wire;

/** Who votes: at the first start the seeds, then what the disk says, or what others say. */
class SeatingTest {
    private static final List<String> FOUNDERS =
            List.of("n10-0-0-1@10.0.0.1:7000", "n10-0-0-2@10.0.0.2:7000", "n10-0-0-3@10.0.0.3:7000");
    private final CoreLoop loop = new CoreLoop();
    private final Map<String, byte[]> rows = new HashMap<>();
    private final List<TcpNet> open = new ArrayList<>();
    private final Disk disk = new Disk() {
        @Override
        public Map<String, byte[]> load() {
            return rows;
        }

        @Override
        public void save(final Map<String, byte[]> all, final Consumer<Boolean> done) {
            rows.putAll(all);
            done.accept(true);
        }
    };

    @AfterEach
    void end() {
        open.forEach(TcpNet::stop);
        loop.stop();
    }

    private static Options options(final String... more) {
        final List<Finding> faults = new ArrayList<>();
        final List<String> words =
                new ArrayList<>(List.of("--wire", "127.0.0.1:7000", "--http", "127.0.0.1:7001", "--data", "d"));
        words.addAll(List.of(more));
        final Options o = Options.read(Role.SHIELD, words.toArray(new String[0]), faults);
        assertEquals(List.of(), faults);
        return o;
    }

    private TcpNet net(final String name, final Map<NodeId, InetSocketAddress> known) {
        return new TcpNet(NodeId.of(name), loop, new Journal(loop, 100), known, Map.of());
    }

    private TcpNet bound(final String name, final Map<NodeId, InetSocketAddress> known) throws Exception {
        final TcpNet net = net(name, known);
        net.bind(new InetSocketAddress("127.0.0.1", 0), VoterDiscovery::blank);
        open.add(net);
        return net;
    }

    @Test
    void theFirstStartsSeedsVoteAndThatIsKept() throws Exception {
        final String[] seeds = {"--stores", "none", "--seeds", "10.0.0.1:1,10.0.0.2:1,10.0.0.3:1", "--seed-port", "7000"
        };
        final Options first = new VoterDiscovery(options(seeds), loop, net("me", Map.of()), disk).seat();
        assertEquals(FOUNDERS, first.seats());
        final Options later = new VoterDiscovery(
                        options(
                                "--stores",
                                "none",
                                "--seeds",
                                "10.0.0.7:1,10.0.0.8:1",
                                "--seed-port",
                                "7000",
                                "--first",
                                "false"),
                        loop,
                        net("me", Map.of()),
                        disk)
                .seat();
        assertEquals(FOUNDERS, later.seats(), "later seeds are others");
        assertEquals(
                List.of("n10-0-0-1", "n10-0-0-2", "n10-0-0-3"),
                later.quorum().voters().stream().map(NodeId::text).toList());
    }

    @Test
    void electorsThatAreStatedAreNotLearned() throws Exception {
        final Options o = options("--id", "sh1", "--seeds", "st1@10.0.0.1:1,st2@10.0.0.2:1,sh1@127.0.0.1:7000");
        assertSame(o, new VoterDiscovery(o, loop, net("me", Map.of()), disk).seat());
        assertEquals(Map.of(), rows);
    }

    /** Whoever knows nothing yet is asked on; the first that knows is believed, and its word is kept. */
    @Test
    void aNodeWithoutMemoryAsksWhoeverTheSeedsNameNow() throws Exception {
        loop.start();
        final TcpNet other = bound("o", Map.of());
        final Options o = options("--stores", "none", "--seeds", "o@127.0.0.1:" + other.bound(), "--first", "false");
        final TcpNet mine = bound("me", o.seeds());
        final FutureTask<Options> seat = new FutureTask<>(() -> new VoterDiscovery(o, loop, mine, disk).seat());
        final CountDownLatch refused = new CountDownLatch(1);
        loop.post(() -> mine.ask(NodeId.of("o"), new Msg.Seats(), 5000, r -> {
            assertTrue(r.as(Msg.Seated.class).orElseThrow().electors().isEmpty());
            refused.countDown();
        }));
        assertTrue(refused.await(20, TimeUnit.SECONDS));
        new Thread(seat).start();
        other.serve((from, msg, back) -> back.accept(new Msg.Seated(FOUNDERS, null)));
        assertEquals(FOUNDERS, seat.get(20, TimeUnit.SECONDS).seats());
        assertEquals(1, rows.size());
        assertEquals(
                FOUNDERS,
                Wire.unpack(rows.get("seats"), VoterDiscovery.Row.class).electors());
    }
}
