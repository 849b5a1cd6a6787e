package org.rowanvalve.testkit.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.rowanvalve.testkit.Log;
import org.rowanvalve.testkit.Originator;
import org.rowanvalve.testkit.Place;
import org.rowanvalve.testkit.Stock;

/** A deployment's processes on one machine, with relays for links. Nothing is left behind when it closes. */
public final class Fleet implements AutoCloseable {
    private final Place place;
    private final Path dir;
    private final Path bin;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, Originator> origins = new TreeMap<>();
    private final Map<String, Stock> stocks = new TreeMap<>();
    private final Relay relay;
    private final Log log;
    private final LoadGenerator mob;
    private final Desk desk;
    private final Thread hook = new Thread(this::reap, "reap");

    public Fleet(final Place place, final Path dir, final Path bin, final Path from, final long seed)
            throws IOException {
        this.bin = bin;
        this.place = place;
        this.dir = dir;
        Files.createDirectories(dir);
        log = new Log(dir.resolve("rig.log"));
        relay = new Relay(link -> place.apart(link.split(">")[0], link.split(">")[1]) ? place.regionMs() : 0);
        final int net = 10 + (int) (ProcessHandle.current().pid() % 200);
        int at = 0;
        for (final String name : place.machines()) {
            final String host = "127." + net + ".0." + ++at;
            machines.put(name, new Machine(name, host, free(host), dir, from));
        }
        for (final Machine m : machines.values()) {
            m.flags(flags(m));
        }
        final List<String> sites = machines.values().stream().map(Machine::http).toList();
        for (final Place.Kin k : place.kin()) {
            final Stock stock = new Stock(k.service());
            stocks.put(k.service(), stock);
            for (int i = 1; i <= k.origins(); i++) {
                final Originator o = new Originator(
                        k.service() + i, stock, k.kind(), "127." + net + ".1." + (origins.size() + 1), sites, log);
                origins.put(o.name(), o);
            }
        }
        mob = new LoadGenerator(
                place, machines.values().stream().filter(Machine::edge).toList(), log, seed);
        desk = new Desk(place, List.copyOf(machines.values()), stocks, log, seed + 1);
        Runtime.getRuntime().addShutdownHook(hook);
    }

    /** Three free ports at once, so that they differ. */
    public static int[] free(final String host) throws IOException {
        final InetAddress at = InetAddress.getByName(host);
        try (ServerSocket a = new ServerSocket(0, 1, at);
                ServerSocket b = new ServerSocket(0, 1, at);
                ServerSocket c = new ServerSocket(0, 1, at)) {
            return new int[] {a.getLocalPort(), b.getLocalPort(), c.getLocalPort()};
        }
    }

    private List<String> flags(final Machine m) throws IOException {
        final List<String> reach = new ArrayList<>();
        for (final Machine o : machines.values()) {
            if (o != m) {
                final int port = relay.open(
                        m.name(), o.name(), o.host().replace(".0.", ".2."), new InetSocketAddress(o.host(), o.wire()));
                reach.add(o.name() + "@" + o.host().replace(".0.", ".2.") + ":" + port);
            }
        }
        final List<String> seeds = Stream.of("st1", "st2", "sh1")
                .map(n ->
                        n + "@" + machines.get(n).host() + ":" + machines.get(n).wire())
                .toList();
        return List.of(
                "--cell", place.cell(m.name()), "--seeds", String.join(",", seeds), "--reach", String.join(",", reach));
    }

    public Fleet open() throws Exception {
        relay.start();
        for (final Machine m : machines.values()) {
            m.start();
        }
        final long end = System.currentTimeMillis() + 60_000;
        while (desk.ask("GET", "config", "") != 200
                || machines.values().stream().anyMatch(m -> !ready(m))) {
            if (System.currentTimeMillis() > end) {
                throw new IOException("the fleet was not ready within 60 s");
            }
            TimeUnit.MILLISECONDS.sleep(200);
        }
        final int status = desk.apply(place.config());
        if (status != 200) {
            throw new IOException("the configuration was not accepted: " + status);
        }
        for (final Originator o : origins.values()) {
            o.start(0);
        }
        TimeUnit.SECONDS.sleep(3);
        mob.start();
        desk.start();
        return this;
    }

    private boolean ready(final Machine m) {
        try {
            return Files.exists(m.log()) && Files.readString(m.log()).contains("FRAME_FRESH");
        } catch (final IOException e) {
            return false;
        }
    }

    public Machine machine(final String name) {
        return machines.get(name);
    }

    Map<String, Machine> machines() {
        return machines;
    }

    Map<String, Originator> origins() {
        return origins;
    }

    /** Another machine for the same service, under a name and address of its own. */
    synchronized Originator heir(final Originator old) {
        final Originator next = new Originator(
                old.name() + "-n",
                stocks.get(old.service()),
                old.kind(),
                old.host().replace(".1.", ".3."),
                old.nodes(),
                log);
        origins.put(next.name(), next);
        return next;
    }

    /** The build that a restart brings a machine to. */
    Path bin() {
        return bin;
    }

    Relay relay() {
        return relay;
    }

    LoadGenerator mob() {
        return mob;
    }

    Desk desk() {
        return desk;
    }

    Log log() {
        return log;
    }

    Path dir() {
        return dir;
    }

    Place place() {
        return place;
    }

    void trouble(final String what, final String node, final long ms) {
        log.add(Log.row("log", "rig", "t", System.currentTimeMillis(), "what", what, "node", node, "ms", ms));
    }

    /** Stops traffic, asks every node what it holds, and gathers all logs. */
    public List<Map<String, Object>> gather() throws IOException, InterruptedException {
        mob.stop();
        desk.stop();
        TimeUnit.SECONDS.sleep(6);
        for (final Machine m : machines.values()) {
            if (m.alive()) {
                log.add(desk.items(m));
            }
        }
        final List<Map<String, Object>> rows = new ArrayList<>(Log.read(dir.resolve("rig.log")));
        for (final Machine m : machines.values()) {
            String boot = "";
            for (final Map<String, Object> row : Log.read(m.log())) {
                if ("STARTED".equals(row.get("name"))) {
                    boot = String.valueOf(row.get("boot"));
                }
                row.put("log", "node");
                row.put("boot", boot);
                row.put("node", m.name());
                rows.add(row);
            }
        }
        return rows;
    }

    private void reap() {
        machines.values().forEach(m -> {
            try {
                m.kill();
            } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    @Override
    public void close() throws Exception {
        mob.stop();
        desk.stop();
        reap();
        for (final Originator o : origins.values()) {
            if (o.face() != null) {
                o.close();
            }
        }
        relay.close();
        log.close();
        Runtime.getRuntime().removeShutdownHook(hook);
    }
}
