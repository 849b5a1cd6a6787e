package org.rowanvalve.server.process;

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
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.MessageCodec;
import org.rowanvalve.common.message.VotersRequest;
import org.rowanvalve.common.message.VotersResponse;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.common.runtime.StableStorage;
import org.rowanvalve.server.net.TcpTransport;
import org.rowanvalve.server.options.Options;
import org.rowanvalve.server.thread.CoreEventLoop;

/** Who votes: at the first start the seeds, then what the disk says, or what others say. */
class VoterDiscoveryTest {
    private static final List<String> FOUNDERS =
            List.of("n10-0-0-1@10.0.0.1:7000", "n10-0-0-2@10.0.0.2:7000", "n10-0-0-3@10.0.0.3:7000");
    private final CoreEventLoop loop = new CoreEventLoop();
    private final Map<String, byte[]> rows = new HashMap<>();
    private final List<TcpTransport> open = new ArrayList<>();
    private final StableStorage storage = new StableStorage() {
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
        open.forEach(TcpTransport::stop);
        loop.stop();
    }

    private static Options options(final String... more) {
        final List<ValidationError> faults = new ArrayList<>();
        final List<String> words =
                new ArrayList<>(List.of("--wire", "127.0.0.1:7000", "--http", "127.0.0.1:7001", "--data", "d"));
        words.addAll(List.of(more));
        final Options options = Options.read(Role.SHIELD, words.toArray(new String[0]), faults);
        assertEquals(List.of(), faults);
        return options;
    }

    private TcpTransport net(final String name, final Map<NodeId, InetSocketAddress> known) {
        return new TcpTransport(NodeId.of(name), loop, new EventJournal(loop, 100), known, Map.of());
    }

    private TcpTransport bound(final String name, final Map<NodeId, InetSocketAddress> known) throws Exception {
        final TcpTransport net = net(name, known);
        net.bind(new InetSocketAddress("127.0.0.1", 0), VoterDiscovery::blank);
        open.add(net);
        return net;
    }

    @Test
    void theFirstStartsSeedsVoteAndThatIsKept() throws Exception {
        final String[] seeds = {"--stores", "none", "--seeds", "10.0.0.1:1,10.0.0.2:1,10.0.0.3:1", "--seed-port", "7000"
        };
        final Options first = new VoterDiscovery(options(seeds), loop, net("me", Map.of()), storage).seat();
        assertEquals(FOUNDERS, first.founderAddresses());
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
                        storage)
                .seat();
        assertEquals(FOUNDERS, later.founderAddresses(), "later seeds are others");
        assertEquals(
                List.of("n10-0-0-1", "n10-0-0-2", "n10-0-0-3"),
                later.quorum().voters().stream().map(NodeId::text).toList());
    }

    @Test
    void electorsThatAreStatedAreNotLearned() throws Exception {
        final Options options = options("--id", "sh1", "--seeds", "st1@10.0.0.1:1,st2@10.0.0.2:1,sh1@127.0.0.1:7000");
        assertSame(options, new VoterDiscovery(options, loop, net("me", Map.of()), storage).seat());
        assertEquals(Map.of(), rows);
    }

    /** Whoever knows nothing yet is asked on; the first that knows is believed, and its word is kept. */
    @Test
    void aNodeWithoutMemoryAsksWhoeverTheSeedsNameNow() throws Exception {
        loop.start();
        final TcpTransport other = bound("o", Map.of());
        final Options options =
                options("--stores", "none", "--seeds", "o@127.0.0.1:" + other.boundPort(), "--first", "false");
        final TcpTransport mine = bound("me", options.seeds());
        final FutureTask<Options> seat =
                new FutureTask<>(() -> new VoterDiscovery(options, loop, mine, storage).seat());
        final CountDownLatch refused = new CountDownLatch(1);
        loop.execute(() -> mine.request(NodeId.of("o"), new VotersRequest(), 5000, reply -> {
            assertTrue(reply.as(VotersResponse.class)
                    .orElseThrow()
                    .foundingVoters()
                    .isEmpty());
            refused.countDown();
        }));
        assertTrue(refused.await(20, TimeUnit.SECONDS));
        new Thread(seat).start();
        other.setHandler((from, msg, back) -> back.accept(new VotersResponse(FOUNDERS, null)));
        assertEquals(FOUNDERS, seat.get(20, TimeUnit.SECONDS).founderAddresses());
        assertEquals(1, rows.size());
        assertEquals(
                FOUNDERS,
                MessageCodec.decode(rows.get("seats"), VoterDiscovery.Row.class).electors());
    }
}
