package org.rowanvalve.testkit.fleet;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.testkit.log.RunLog;
import org.rowanvalve.testkit.origin.StandInBackend;
import org.rowanvalve.testkit.scenario.Deployment;

/** Operators of a fleet over HTTP, and changes of objects at the back ends. */
final class FleetOperator {
    private final Deployment deployment;
    private final List<FleetMachine> nodes;
    private final Map<String, StandInBackend> stocks;
    private final RunLog log;
    private final Random random;
    private final ControlClient client = new ControlClient(Duration.ofMillis(800), Duration.ofSeconds(4));
    private final Map<String, Long> known = new ConcurrentHashMap<>();
    private final ScheduledExecutorService clock = Executors.newScheduledThreadPool(3, DaemonThreads.named("desk"));

    FleetOperator(
            final Deployment deployment,
            final List<FleetMachine> nodes,
            final Map<String, StandInBackend> stocks,
            final RunLog log,
            final long seed) {
        this.deployment = deployment;
        this.nodes = nodes;
        this.stocks = stocks;
        this.log = log;
        this.random = new Random(seed);
    }

    int apply(final String text) throws IOException, InterruptedException {
        final long t = System.currentTimeMillis();
        final int status = client.write(nodes.get(0), "config", text, 0, "x").statusCode();
        final long end = System.currentTimeMillis();
        deployment.configRows(t, end, status).forEach(log::add);
        return status;
    }

    /** Answers the status, or 0 when nothing came. */
    int ask(final String method, final String path, final String body) {
        return ask(any(), method, path, body);
    }

    /** A process confirms its view while it still warms up, and answers requests only after that. */
    boolean isLive(final FleetMachine machine) {
        return ask(machine, "GET", "live", "") == 200;
    }

    private int ask(final FleetMachine machine, final String method, final String path, final String body) {
        try {
            return client.call(machine, method, path, body).statusCode();
        } catch (final IOException e) {
            return 0;
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    void start() {
        clock.scheduleAtFixedRate(this::change, 200, 250, TimeUnit.MILLISECONDS);
        clock.scheduleAtFixedRate(this::restate, 1000, 3500, TimeUnit.MILLISECONDS);
    }

    void stop() {
        clock.shutdownNow();
    }

    private synchronized FleetMachine any() {
        final List<FleetMachine> up = nodes.stream().filter(FleetMachine::alive).toList();
        return up.isEmpty() ? nodes.get(0) : up.get(random.nextInt(up.size()));
    }

    private synchronized double roll() {
        return random.nextDouble();
    }

    private Deployment.TrafficClass pick() {
        final List<Deployment.TrafficClass> ways = deployment.purgeableRoutes();
        return ways.get((int) (roll() * ways.size()));
    }

    private void change() {
        final Deployment.TrafficClass traffic = pick();
        final double r = roll();
        final String path = traffic.path(r, 3);
        final String service = deployment.serviceOf(traffic);
        final long rev = stocks.get(service).change(path);
        log.add(RunLog.row("log", "change", "t", System.currentTimeMillis(), "path", path, "rev", rev));
        if (roll() < 0.33) {
            clock.execute(() -> purge(traffic, path));
        }
    }

    void purgeAny() {
        final Deployment.TrafficClass traffic = pick();
        purge(traffic, traffic.prefix() + (int) (roll() * traffic.objects()));
    }

    private void purge(final Deployment.TrafficClass traffic, final String path) {
        final String name = traffic.route() + "-" + Long.toHexString(org.rowanvalve.common.model.Hash.hash64(path));
        state(
                "purge",
                "purges/" + name,
                "PURGE/" + name,
                Json.write(Map.of("route", traffic.route(), "path", path)),
                Map.of("path", path));
    }

    private int state(
            final String what,
            final String path,
            final String item,
            final String body,
            final Map<String, Object> more) {
        final long t = System.currentTimeMillis();
        final long expect = known.getOrDefault(item, item.startsWith("PURGE") ? 0L : 1L);
        int status = 0;
        Object ver = null;
        try {
            final HttpResponse<String> response =
                    client.write(any(), path, body, expect, "d-" + t + "-" + (long) (roll() * 1e9));
            status = response.statusCode();
            ver = Json.read(response.body(), Map.class).get("version");
            if (ver instanceof Number n) {
                known.merge(item, n.longValue(), Math::max);
            }
        } catch (final IOException e) {
            status = 0;
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        final Map<String, Object> row = RunLog.row(
                "log",
                "op",
                "t",
                t,
                "end",
                System.currentTimeMillis(),
                "what",
                what,
                "item",
                item,
                "expect",
                expect,
                "status",
                status,
                "version",
                ver);
        row.putAll(more);
        log.add(row);
        return status;
    }

    private void restate() {
        final Deployment.TrafficClass traffic = pick();
        final String body = Json.write(deployment.routeBody(traffic));
        for (int i = 0; i < 2; i++) {
            clock.execute(() -> state("put", "routes/" + traffic.route(), "ROUTE/" + traffic.route(), body, Map.of()));
        }
    }

    int restateService() {
        final Deployment.Backend backend =
                deployment.kin().get((int) (roll() * deployment.kin().size()));
        final Map<String, Object> body = backend.body();
        body.put("cutoffMs", 1500 + (int) (1000 * roll()));
        return state(
                "put",
                "services/" + backend.service(),
                "SERVICE/" + backend.service(),
                Json.write(body),
                Map.of("service", backend.service(), "rate", backend.rate()));
    }

    Map<String, Object> items(final FleetMachine machine) throws IOException, InterruptedException {
        final Map<?, ?> all = client.state(machine);
        final Map<String, Object> items = new java.util.TreeMap<>();
        ((Map<?, ?>) all.get("items")).forEach((k, v) -> {
            final String n = String.valueOf(k);
            items.put(
                    n.substring(0, n.indexOf('/')).toUpperCase(java.util.Locale.ROOT) + n.substring(n.indexOf('/')), v);
        });
        return RunLog.row(
                "log",
                "end",
                "t",
                System.currentTimeMillis(),
                "node",
                machine.name(),
                "items",
                items,
                "fresh",
                ((Number) all.get("frameAgeMs")).longValue() >= 0);
    }
}
