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
 * Finds the voters. At the first start of the network they are the seeds. Later they are read from this node's disk or,
 * if it has none, requested from any reachable node. The seeds of a later start may be other nodes than the voters, so
 * they are asked for the voters and are not used as voters themselves.
 */
final class VoterDiscovery {
    private static final String STORAGE_KEY = "seats";
    private static final long RETRY_MS = 60;
    private static final long REQUEST_TIMEOUT_MILLIS = 1000;

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

    /** Creates a discovery whose seeds may change while it waits for their answers. */
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

    Options findVoters() throws StorageException, InterruptedException {
        if (!options.votersAreLearned()) {
            return options;
        }
        final byte[] row = storage.load().get(STORAGE_KEY);
        final List<String> storedVoters;
        try {
            storedVoters = row == null
                    ? List.of()
                    : MessageCodec.decode(row, Row.class).electors();
        } catch (final MessageFormatException e) {
            throw new StorageException("the row of electors cannot be read", e);
        }
        if (!storedVoters.isEmpty()) {
            return options.withFounders(parseAddresses(storedVoters));
        }
        final Options withVoters = options.firstBoot()
                ? options
                : options.withFounders(parseAddresses(requestVoters().foundingVoters()));
        storage.save(Map.of(STORAGE_KEY, MessageCodec.encode(new Row(withVoters.founderAddresses()))), ok -> {});
        return withVoters;
    }

    /** Returns the current voting set if another node was asked and reported one, or null. */
    ChosenItem voters() {
        return voters;
    }

    /** Handles messages to a node that does not know the voters yet. */
    static void respondWithoutVoters(final NodeId from, final Message msg, final Consumer<Message> callback) {
        callback.accept(
                msg instanceof VotersRequest
                        ? new VotersResponse(List.of(), null)
                        : new RejectedResponse("not seated yet"));
    }

    private VotersResponse requestVoters() throws InterruptedException {
        final CompletableFuture<VotersResponse> received = new CompletableFuture<>();
        while (true) {
            seeds.get().keySet().stream()
                    .filter(seed -> !seed.equals(options.id()))
                    .forEach(seed -> loop.execute(() -> net.request(
                            seed,
                            new VotersRequest(),
                            REQUEST_TIMEOUT_MILLIS,
                            reply -> reply.as(VotersResponse.class)
                                    .filter(response ->
                                            !response.foundingVoters().isEmpty())
                                    .ifPresent(received::complete))));
            try {
                final VotersResponse response = received.get(RETRY_MS, TimeUnit.MILLISECONDS);
                voters = response.votingSet();
                return response;
            } catch (final TimeoutException | ExecutionException e) {
                continue;
            }
        }
    }

    private static Map<NodeId, InetSocketAddress> parseAddresses(final List<String> list) {
        final Map<NodeId, InetSocketAddress> addresses = new LinkedHashMap<>();
        list.stream()
                .map(VoterAddress::parse)
                .forEach(address -> addresses.put(address.id(), new InetSocketAddress(address.host(), address.port())));
        return addresses;
    }
}
