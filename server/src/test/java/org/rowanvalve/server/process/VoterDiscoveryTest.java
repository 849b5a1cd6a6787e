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

/** Tests where the voters come from: the seeds at the first start, later the disk or another node. */
class VoterDiscoveryTest {
    private static final List<String> FOUNDERS =
            List.of("n10-0-0-1@10.0.0.1:7000", "n10-0-0-2@10.0.0.2:7000", "n10-0-0-3@10.0.0.3:7000");
    private final CoreEventLoop loop = new CoreEventLoop();
    private final Map<String, byte[]> rows = new HashMap<>();
    private final List<TcpTransport> transports = new ArrayList<>();
    private final StableStorage storage = new StableStorage() {
        @Override
        public Map<String, byte[]> load() {
            return rows;
        }

        @Override
        public void save(final Map<String, byte[]> newRows, final Consumer<Boolean> callback) {
            rows.putAll(newRows);
            callback.accept(true);
        }
    };

    @AfterEach
    void tearDown() {
        transports.forEach(TcpTransport::stop);
        loop.stop();
    }

    private static Options options(final String... moreArguments) {
        final List<ValidationError> faults = new ArrayList<>();
        final List<String> arguments =
                new ArrayList<>(List.of("--wire", "127.0.0.1:7000", "--http", "127.0.0.1:7001", "--data", "d"));
        arguments.addAll(List.of(moreArguments));
        final Options options = Options.read(Role.SHIELD, arguments.toArray(new String[0]), faults);
        assertEquals(List.of(), faults);
        return options;
    }

    private TcpTransport transport(final String name, final Map<NodeId, InetSocketAddress> known) {
        return new TcpTransport(NodeId.of(name), loop, new EventJournal(loop, 100), known, Map.of());
    }

    private TcpTransport bindTransport(final String name, final Map<NodeId, InetSocketAddress> known) throws Exception {
        final TcpTransport transport = transport(name, known);
        transport.bind(new InetSocketAddress("127.0.0.1", 0), VoterDiscovery::respondWithoutVoters);
        transports.add(transport);
        return transport;
    }

    @Test
    void seedsOfTheFirstStartBecomeTheStoredVoters() throws Exception {
        final String[] seeds = {"--stores", "none", "--seeds", "10.0.0.1:1,10.0.0.2:1,10.0.0.3:1", "--seed-port", "7000"
        };
        final Options first = new VoterDiscovery(options(seeds), loop, transport("me", Map.of()), storage).findVoters();
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
                        transport("me", Map.of()),
                        storage)
                .findVoters();
        assertEquals(FOUNDERS, later.founderAddresses(), "seeds of a later start are not the voters");
        assertEquals(
                List.of("n10-0-0-1", "n10-0-0-2", "n10-0-0-3"),
                later.quorum().voters().stream().map(NodeId::text).toList());
    }

    @Test
    void configuredVotersAreNotDiscovered() throws Exception {
        final Options options = options("--id", "sh1", "--seeds", "st1@10.0.0.1:1,st2@10.0.0.2:1,sh1@127.0.0.1:7000");
        assertSame(options, new VoterDiscovery(options, loop, transport("me", Map.of()), storage).findVoters());
        assertEquals(Map.of(), rows);
    }

    /** Seeds that do not know the voters yet are asked again; the first answer with voters is used and stored. */
    @Test
    void aNodeWithoutMemoryAsksWhoeverTheSeedsNameNow() throws Exception {
        loop.start();
        final TcpTransport other = bindTransport("o", Map.of());
        final Options options =
                options("--stores", "none", "--seeds", "o@127.0.0.1:" + other.boundPort(), "--first", "false");
        final TcpTransport mine = bindTransport("me", options.seeds());
        final FutureTask<Options> discovery =
                new FutureTask<>(() -> new VoterDiscovery(options, loop, mine, storage).findVoters());
        final CountDownLatch respondedWithoutVoters = new CountDownLatch(1);
        loop.execute(() -> mine.request(NodeId.of("o"), new VotersRequest(), 5000, reply -> {
            assertTrue(reply.as(VotersResponse.class)
                    .orElseThrow()
                    .foundingVoters()
                    .isEmpty());
            respondedWithoutVoters.countDown();
        }));
        assertTrue(respondedWithoutVoters.await(20, TimeUnit.SECONDS));
        new Thread(discovery).start();
        other.setHandler((from, msg, callback) -> callback.accept(new VotersResponse(FOUNDERS, null)));
        assertEquals(FOUNDERS, discovery.get(20, TimeUnit.SECONDS).founderAddresses());
        assertEquals(1, rows.size());
        assertEquals(
                FOUNDERS,
                MessageCodec.decode(rows.get("seats"), VoterDiscovery.Row.class).electors());
    }
}
