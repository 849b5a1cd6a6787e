package org.rowanvalve.server;

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
import org.rowanvalve.common.Disk;
import org.rowanvalve.common.DiskTrouble;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Wire;
import org.rowanvalve.common.WireTrouble;
import org.rowanvalve.control.VoterAddress;

/**
 * Who votes: the seeds, when the network is started for the first time; later what this node's disk says, or what any
 * node that can be reached says. The seeds of a later start may be others, so they are asked and not believed.
 */
final class VoterDiscovery {
    private static final String ROW = "seats";
    private static final long AGAIN = 60;
    private final Options options;
    private final CoreLoop loop;
    private final TcpNet net;
    private final Disk disk;
    private final Supplier<Map<NodeId, InetSocketAddress>> seeds;

    private Msg.Chosen voters;

    record Row(List<String> electors) {}

    VoterDiscovery(final Options options, final CoreLoop loop, final TcpNet net, final Disk disk) {
        this(options, loop, net, disk, options::seeds);
    }

    /** With seeds that may change while they are asked. */
    VoterDiscovery(
            final Options options,
            final CoreLoop loop,
            final TcpNet net,
            final Disk disk,
            final Supplier<Map<NodeId, InetSocketAddress>> seeds) {
        this.seeds = seeds;
        this.options = options;
        this.loop = loop;
        this.net = net;
        this.disk = disk;
    }

    Options seat() throws DiskTrouble, InterruptedException {
        if (!options.learns()) {
            return options;
        }
        final byte[] row = disk.load().get(ROW);
        final List<String> kept;
        try {
            kept = row == null ? List.of() : Wire.unpack(row, Row.class).electors();
        } catch (final WireTrouble e) {
            throw new DiskTrouble("the row of electors cannot be read", e);
        }
        if (!kept.isEmpty()) {
            return options.seated(sites(kept));
        }
        final Options o = options.first() ? options : options.seated(sites(ask().electors()));
        disk.save(Map.of(ROW, Wire.pack(new Row(o.seats()))), ok -> {});
        return o;
    }

    /** The chosen set that votes now, where another node was asked and named one; else null. */
    Msg.Chosen voters() {
        return voters;
    }

    /** Answers for a node that does not know yet. */
    static void blank(final NodeId from, final Msg msg, final Consumer<Msg> back) {
        back.accept(msg instanceof Msg.Seats ? new Msg.Seated(List.of(), null) : new Msg.Nay("not seated yet"));
    }

    private Msg.Seated ask() throws InterruptedException {
        final CompletableFuture<Msg.Seated> got = new CompletableFuture<>();
        while (true) {
            seeds.get().keySet().stream()
                    .filter(s -> !s.equals(options.id()))
                    .forEach(s -> loop.post(() -> net.ask(
                            s,
                            new Msg.Seats(),
                            1000,
                            r -> r.as(Msg.Seated.class)
                                    .filter(m -> !m.electors().isEmpty())
                                    .ifPresent(got::complete))));
            try {
                final Msg.Seated answer = got.get(AGAIN, TimeUnit.MILLISECONDS);
                voters = answer.voters();
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
