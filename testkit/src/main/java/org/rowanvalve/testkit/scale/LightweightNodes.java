package org.rowanvalve.testkit.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.control.voting.Quorum;
import org.rowanvalve.testkit.fleet.Fleet;
import org.rowanvalve.testkit.fleet.FleetMachine;

/** Lightweight nodes in this process; the voters and one edge are processes of their own, or lightweight too. */
final class LightweightNodes implements AutoCloseable {
    static final int REGIONS = 10;
    static final int ZONES = 29;
    private static final List<String> ELECTORS = List.of("st1", "st2", "sh1");
    private final Path dir;
    private final PropagationTracker waves = new PropagationTracker();
    private final Map<String, FleetMachine> real = new LinkedHashMap<>();
    private final Map<NodeId, LightweightNode> hollow = new TreeMap<>();
    private final LightweightNode.Neighbour seat;
    private final int size;
    private final Thread hook = new Thread(this::reap, "reap");

    LightweightNodes(final int size, final int shards, final boolean processes, final Path dir, final Path bin)
            throws IOException {
        this.size = size;
        this.dir = dir;
        Files.createDirectories(dir);
        final String net = "127." + (10 + ProcessHandle.current().pid() % 200) + ".8.";
        final Map<NodeId, InetSocketAddress> seeds = new LinkedHashMap<>();
        for (final String e : ELECTORS) {
            final String host = net + (1 + ELECTORS.indexOf(e));
            real.put(e, new FleetMachine(e, host, Fleet.free(host), dir, bin));
            seeds.put(NodeId.of(e), new InetSocketAddress(host, real.get(e).wire()));
        }
        real.put("ed1", new FleetMachine("ed1", net + "4", Fleet.free(net + "4"), dir, bin));
        seat = new LightweightNode.Neighbour(
                seeds,
                new Quorum(List.copyOf(seeds.keySet()), Set.of(NodeId.of("st1"), NodeId.of("st2"))),
                shards,
                net + "9");
        final String line = String.join(
                ",",
                seeds.entrySet().stream()
                        .map(entry -> entry.getKey() + "@" + entry.getValue().getHostString() + ":"
                                + entry.getValue().getPort())
                        .toList());
        Runtime.getRuntime().addShutdownHook(hook);
        for (final FleetMachine machine : real.values()) {
            if (processes) {
                machine.flags(List.of("--cell", "r0/z0", "--seeds", line, "--shards", String.valueOf(shards)));
                machine.start();
            }
        }
        if (!processes) {
            for (final String e : ELECTORS) {
                final LightweightNode.Neighbour at = new LightweightNode.Neighbour(
                        seat.seeds(), seat.quorum(), shards, real.get(e).host());
                add(
                        NodeId.of(e),
                        e.startsWith("st") ? Role.STORE : Role.SHIELD,
                        "r0/z0",
                        at,
                        real.get(e).wire());
            }
            real.clear();
        }
        for (int i = 2; hollow.size() + real.size() < size; i++) {
            final boolean shield = i <= shields(size);
            add(NodeId.of((shield ? "sh" : "ed") + i), shield ? Role.SHIELD : Role.EDGE, cell(i), seat, 0);
        }
    }

    /** About two a site at 430 nodes in 24 sites; each of them has a circuit to each other. */
    static int shields(final int nodes) {
        return Math.max(4, nodes / 9);
    }

    /** Zones are spread over the regions, and each region gets edges and shields. */
    static String cell(final int i) {
        final int zone = i % ZONES;
        return "r" + zone % REGIONS + "/z" + zone;
    }

    private void add(
            final NodeId id, final Role role, final String cell, final LightweightNode.Neighbour at, final int port)
            throws IOException {
        hollow.put(
                id,
                new LightweightNode(
                        id, role, cell, Long.toHexString(System.nanoTime()), at, port, item -> waves.hit(item, id)));
    }

    PropagationTracker waves() {
        return waves;
    }

    int size() {
        return size;
    }

    List<NodeId> electors() {
        return seat.quorum().voters();
    }

    Map<String, FleetMachine> real() {
        return real;
    }

    List<LightweightNode> up() {
        return hollow.values().stream().filter(LightweightNode::up).toList();
    }

    List<LightweightNode> up(final Predicate<LightweightNode> which) {
        return up().stream().filter(which).toList();
    }

    /** At once, as by loss of power. */
    void end(final List<LightweightNode> which) {
        which.forEach(node -> {
            node.stop();
            waves.gone(node.id());
        });
    }

    /** Anew, with the same names at other addresses. */
    void begin(final List<LightweightNode> which) throws IOException {
        for (final LightweightNode node : which) {
            add(node.id(), node.role(), node.node().settings().self().location(), seat, 0);
        }
    }

    /** Milliseconds until every one of them says yes, or -1 where one does not within {@code most}. */
    static long until(final List<LightweightNode> which, final long most, final Predicate<LightweightNode> yes)
            throws InterruptedException {
        final long from = System.nanoTime();
        List<LightweightNode> left = new ArrayList<>(which);
        while (!left.isEmpty()) {
            left = new ArrayList<>(left.stream().filter(yes.negate()).toList());
            final long ms = (System.nanoTime() - from) / 1_000_000;
            if (left.isEmpty()) {
                return ms;
            }
            if (ms > most) {
                return -1;
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        return 0;
    }

    /** It has a confirmed frame and hears of all. */
    boolean settled(final LightweightNode h) {
        return h.see(
                node -> node.viewSynchronizer().isFresh()
                        && node.membership().liveMembers().size() >= size,
                false);
    }

    private void reap() {
        hollow.values().forEach(LightweightNode::stop);
        for (final FleetMachine machine : real.values()) {
            try {
                machine.kill();
            } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() throws IOException {
        reap();
        FleetMachine.wipe(dir);
        Runtime.getRuntime().removeShutdownHook(hook);
    }
}
