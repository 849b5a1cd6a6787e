package org.rowanvalve.server.process;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.MessageCodec;
import org.rowanvalve.common.message.MessageFormatException;
import org.rowanvalve.common.message.RejectedResponse;
import org.rowanvalve.common.message.VotersRequest;
import org.rowanvalve.common.message.VotersResponse;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.StableStorage;
import org.rowanvalve.common.runtime.StorageException;
import org.rowanvalve.control.voting.VoterAddress;
import org.rowanvalve.server.net.TcpTransport;
import org.rowanvalve.server.options.Options;
import org.rowanvalve.server.thread.CoreEventLoop;

/**
 * Finds the voters: the seeds, when the network is started for the first time; later what this node's disk says, or
 * what any reachable node answers. The seeds of a later start may be other nodes, so they are asked and do not count as
 * voters themselves.
 */
final class VoterDiscovery {
    private static final String ROW = "seats";
    private static final long AGAIN = 60;
    private final Options options;
    private final CoreEventLoop loop;
    private final TcpTransport net;
    private final StableStorage storage;
    private final Supplier<Map<NodeId, InetSocketAddress>> seeds;

    private ChosenItem voters;

    record Row(List<String> electors) {}

    VoterDiscovery(
            final Options options, final CoreEventLoop loop, final TcpTransport net, final StableStorage storage) {
        this(options, loop, net, storage, options::seeds);
    }

    /** With seeds that may change while they are asked. */
    VoterDiscovery(
            final Options options,
            final CoreEventLoop loop,
            final TcpTransport net,
            final StableStorage storage,
            final Supplier<Map<NodeId, InetSocketAddress>> seeds) {
        this.seeds = seeds;
        this.options = options;
        this.loop = loop;
        this.net = net;
        this.storage = storage;
    }

    Options seat() throws StorageException, InterruptedException {
        if (!options.votersAreLearned()) {
            return options;
        }
        final byte[] row = storage.load().get(ROW);
        final List<String> kept;
        try {
            kept = row == null ? List.of() : MessageCodec.decode(row, Row.class).electors();
        } catch (final MessageFormatException e) {
            throw new StorageException("the row of electors cannot be read", e);
        }
        if (!kept.isEmpty()) {
            return options.withFounders(sites(kept));
        }
        final Options o = options.firstBoot() ? options : options.withFounders(sites(ask().foundingVoters()));
        storage.save(Map.of(ROW, MessageCodec.encode(new Row(o.founderAddresses()))), ok -> {});
        return o;
    }

    /** The chosen set that votes now, where another node was asked and named one; else null. */
    ChosenItem voters() {
        return voters;
    }

    /** Answers for a node that does not know yet. */
    static void blank(final NodeId from, final Message msg, final Consumer<Message> back) {
        back.accept(
                msg instanceof VotersRequest
                        ? new VotersResponse(List.of(), null)
                        : new RejectedResponse("not seated yet"));
    }

    private VotersResponse ask() throws InterruptedException {
        final CompletableFuture<VotersResponse> got = new CompletableFuture<>();
        while (true) {
            seeds.get().keySet().stream()
                    .filter(s -> !s.equals(options.id()))
                    .forEach(s -> loop.execute(() -> net.request(
                            s,
                            new VotersRequest(),
                            1000,
                            reply -> reply.as(VotersResponse.class)
                                    .filter(m -> !m.foundingVoters().isEmpty())
                                    .ifPresent(got::complete))));
            try {
                final VotersResponse answer = got.get(AGAIN, TimeUnit.MILLISECONDS);
                voters = answer.votingSet();
                return answer;
            } catch (final TimeoutException | ExecutionException e) {
                continue;
            }
        }
    }

    private static Map<NodeId, InetSocketAddress> sites(final List<String> list) {
        final Map<NodeId, InetSocketAddress> map = new LinkedHashMap<>();
        list.stream().map(VoterAddress::parse).forEach(a -> map.put(a.id(), new InetSocketAddress(a.host(), a.port())));
        return map;
    }
}
