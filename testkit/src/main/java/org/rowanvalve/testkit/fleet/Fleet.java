package org.rowanvalve.testkit.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.rowanvalve.testkit.log.RunLog;
import org.rowanvalve.testkit.origin.StandInBackend;
import org.rowanvalve.testkit.origin.StandInOrigin;
import org.rowanvalve.testkit.scenario.Deployment;

/** A deployment's processes on one machine, with relays for links. Nothing is left behind when it closes. */
@SuppressWarnings("try") // Ending processes may be interrupted; whoever closes a fleet passes that on.
public final class Fleet implements AutoCloseable {
    private final Deployment deployment;
    private final Path dir;
    private final Path bin;
    private final Map<String, FleetMachine> machines = new LinkedHashMap<>();
    private final Map<String, StandInOrigin> origins = new TreeMap<>();
    private final Map<String, StandInBackend> stocks = new TreeMap<>();
    private final LinkRelay relay;
    private final RunLog log;
    private final LoadGenerator mob;
    private final FleetOperator desk;
    private final Thread hook = new Thread(this::reap, "reap");

    public Fleet(final Deployment deployment, final Path dir, final Path bin, final Path from, final long seed)
            throws IOException {
        this.bin = bin;
        this.deployment = deployment;
        this.dir = dir;
        Files.createDirectories(dir);
        log = new RunLog(dir.resolve("rig.log"));
        relay = new LinkRelay(
                link -> deployment.apart(link.split(">")[0], link.split(">")[1]) ? deployment.regionMs() : 0);
        final int net = 10 + (int) (ProcessHandle.current().pid() % 200);
        int at = 0;
        for (final String name : deployment.machines()) {
            final String host = "127." + net + ".0." + ++at;
            final FleetMachine machine = new FleetMachine(name, host, free(host), dir, from);
            if (deployment.shieldRun()) {
                machine.allShieldsVote();
            }
            machines.put(name, machine);
        }
        for (final FleetMachine machine : machines.values()) {
            machine.flags(flags(machine));
        }
        final List<String> sites =
                machines.values().stream().map(FleetMachine::http).toList();
        for (final Deployment.Backend k : deployment.kin()) {
            final StandInBackend backend = new StandInBackend(k.service());
            stocks.put(k.service(), backend);
            for (int i = 1; i <= k.origins(); i++) {
                final StandInOrigin origin = new StandInOrigin(
                        k.service() + i, backend, k.kind(), "127." + net + ".1." + (origins.size() + 1), sites, log);
                origins.put(origin.name(), origin);
            }
        }
        mob = new LoadGenerator(
                deployment,
                machines.values().stream().filter(FleetMachine::edge).toList(),
                log,
                seed);
        desk = new FleetOperator(deployment, List.copyOf(machines.values()), stocks, log, seed + 1);
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

    private List<String> flags(final FleetMachine machine) throws IOException {
        final List<String> reach = new ArrayList<>();
        for (final FleetMachine o : machines.values()) {
            if (o != machine) {
                final int port = relay.open(
                        machine.name(),
                        o.name(),
                        o.host().replace(".0.", ".2."),
                        new InetSocketAddress(o.host(), o.wire()));
                reach.add(o.name() + "@" + o.host().replace(".0.", ".2.") + ":" + port);
            }
        }
        final List<String> seeds = deployment.electors().stream()
                .map(n ->
                        n + "@" + machines.get(n).host() + ":" + machines.get(n).wire())
                .toList();
        final List<String> all = new ArrayList<>(List.of(
                "--cell",
                deployment.cell(machine.name()),
                "--seeds",
                String.join(",", seeds),
                "--reach",
                String.join(",", reach)));
        if (deployment.shieldRun()) {
            all.addAll(List.of("--stores", "none", "--wanted-losses", String.valueOf(deployment.losses())));
        }
        return all;
    }

    public Fleet open() throws Exception {
        relay.start();
        for (final FleetMachine machine : machines.values()) {
            machine.start();
        }
        final long end = System.currentTimeMillis() + 60_000;
        while (desk.ask("GET", "config", "") != 200
                || machines.values().stream().anyMatch(machine -> !ready(machine))) {
            if (System.currentTimeMillis() > end) {
                throw new IOException("the fleet was not ready within 60 s");
            }
            TimeUnit.MILLISECONDS.sleep(200);
        }
        final int status = desk.apply(deployment.config());
        if (status != 200) {
            throw new IOException("the configuration was not accepted: " + status);
        }
        for (final StandInOrigin origin : origins.values()) {
            origin.start(0);
        }
        TimeUnit.SECONDS.sleep(3);
        mob.start();
        desk.start();
        return this;
    }

    private boolean ready(final FleetMachine machine) {
        try {
            return Files.exists(machine.log())
                    && Files.readString(machine.log()).contains("FRAME_FRESH")
                    && desk.isLive(machine);
        } catch (final IOException e) {
            return false;
        }
    }

    public FleetMachine machine(final String name) {
        return machines.get(name);
    }

    public Map<String, FleetMachine> machines() {
        return machines;
    }

    public Map<String, StandInOrigin> origins() {
        return origins;
    }

    /** Another machine for the same service, under a name and address of its own. */
    synchronized StandInOrigin heir(final StandInOrigin old) {
        final StandInOrigin next = new StandInOrigin(
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

    public LinkRelay relay() {
        return relay;
    }

    LoadGenerator mob() {
        return mob;
    }

    FleetOperator desk() {
        return desk;
    }

    /** Cuts the machines of one side off from all others. */
    public void cut(final Collection<String> side) {
        acrossLinks(side, relay::cut);
    }

    /** Takes back a cut. */
    public void restore(final Collection<String> side) {
        acrossLinks(side, relay::restore);
    }

    private void acrossLinks(final Collection<String> side, final BiConsumer<String, String> change) {
        for (final String inside : side) {
            machines.keySet().stream()
                    .filter(outside -> !side.contains(outside))
                    .forEach(outside -> {
                        change.accept(inside, outside);
                        change.accept(outside, inside);
                    });
        }
    }

    public RunLog log() {
        return log;
    }

    Path dir() {
        return dir;
    }

    public Deployment place() {
        return deployment;
    }

    public void trouble(final String what, final String node, final long ms) {
        log.add(RunLog.row("log", "rig", "t", System.currentTimeMillis(), "what", what, "node", node, "ms", ms));
    }

    /** Ends the requests of clients and operators. */
    public void stopTraffic() {
        mob.stop();
        desk.stop();
    }

    /** Stops traffic, asks every node what it holds, and gathers all logs. */
    public List<Map<String, Object>> gather() throws IOException, InterruptedException {
        stopTraffic();
        TimeUnit.SECONDS.sleep(6);
        for (final FleetMachine machine : machines.values()) {
            if (machine.alive()) {
                log.add(desk.items(machine));
            }
        }
        return rows();
    }

    /** All rows of all logs so far: the test kit's own, and those of each process. */
    public List<Map<String, Object>> rows() throws IOException {
        final List<Map<String, Object>> rows = new ArrayList<>(RunLog.read(dir.resolve("rig.log")));
        for (final FleetMachine machine : machines.values()) {
            String boot = "";
            for (final Map<String, Object> row : RunLog.read(machine.log())) {
                if ("STARTED".equals(row.get("name"))) {
                    boot = String.valueOf(row.get("boot"));
                }
                row.put("log", "node");
                row.put("boot", boot);
                row.put("node", machine.name());
                rows.add(row);
            }
        }
        return rows;
    }

    private void reap() {
        machines.values().forEach(machine -> {
            try {
                machine.kill();
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
        for (final StandInOrigin origin : origins.values()) {
            if (origin.face() != null) {
                origin.close();
            }
        }
        relay.close();
        log.close();
        Runtime.getRuntime().removeShutdownHook(hook);
    }
}
