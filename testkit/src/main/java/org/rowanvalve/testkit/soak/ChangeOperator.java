package org.rowanvalve.testkit.soak;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.testkit.fleet.ControlClient;
import org.rowanvalve.testkit.fleet.FleetMachine;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.soak.SoakFinding.Rule;

/**
 * Operators who add, change and delete routes at any node, repeat a change until its result is clear, and read back.
 * Keeps the newest acknowledged version of each item. Safe for many threads.
 */
final class ChangeOperator {
    private static final int ROUTES = 40;
    private static final int DELETE_ONE_IN = 7;
    private static final int READ_ONE_IN = 5;
    private static final int MIN_LIFETIME_MS = 1000;
    private static final int LIFETIME_SPREAD_MS = 4000;
    private static final long PATIENCE_MS = 10_000;
    private static final long PAUSE_MS = 100;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration TIMEOUT = Duration.ofMillis(2500);
    private static final int DONE = 200;

    private final Deployment deployment;
    private final List<FleetMachine> nodes;
    private final SoakFindings findings;
    private final Random random;
    private final ControlClient client = new ControlClient(CONNECT_TIMEOUT, TIMEOUT);
    private final AtomicLong serial = new AtomicLong();
    /** By item, the version that the next change replaces. */
    private final Map<String, Long> current = new HashMap<>();

    private final Map<String, Long> acknowledged = new TreeMap<>();
    private final Map<String, String> bodies = new HashMap<>();
    private final Object[] itemLocks = new Object[ROUTES];
    private long changes;
    private long unclear;

    ChangeOperator(
            final Deployment deployment, final List<FleetMachine> nodes, final SoakFindings findings, final long seed) {
        this.deployment = deployment;
        this.nodes = nodes;
        this.findings = findings;
        this.random = new Random(seed);
        for (int i = 0; i < ROUTES; i++) {
            itemLocks[i] = new Object();
        }
    }

    /** The answer to one change: the status, and the version that the item has by it, or 0. */
    private record Answer(int status, long version) {
        static final Answer NONE = new Answer(0, 0);

        boolean isClear() {
            return status == DONE || status / 100 == 4;
        }
    }

    /** One change: a body, or none to delete; its id is the same however often it is sent. */
    private record Change(int index, String body, long expected, String id) {
        String name() {
            return "soak-" + index;
        }

        String item() {
            return "route/" + name();
        }
    }

    private synchronized int draw(final int bound) {
        return random.nextInt(bound);
    }

    private synchronized FleetMachine anyNode() {
        final List<FleetMachine> alive =
                nodes.stream().filter(FleetMachine::alive).toList();
        final List<FleetMachine> from = alive.isEmpty() ? nodes : alive;
        return from.get(random.nextInt(from.size()));
    }

    private String body(final int index) {
        final Deployment.TrafficClass model = deployment.cachedRoutes().get(0);
        final Deployment.TrafficClass traffic = new Deployment.TrafficClass(
                "soak-" + index, "/soak-" + index + "/", "cached", lifetimeMs(), true, 0, 1);
        final Map<String, Object> body = new TreeMap<>(deployment.routeBody(model));
        body.put("prefix", traffic.prefix());
        body.put("lifetimeMs", traffic.lifetimeMs());
        return Json.write(body);
    }

    private long lifetimeMs() {
        return MIN_LIFETIME_MS + draw(LIFETIME_SPREAD_MS);
    }

    /** One change of one route, until its result is clear. */
    void change() throws InterruptedException {
        final int index = draw(ROUTES);
        synchronized (itemLocks[index]) {
            final boolean delete = draw(DELETE_ONE_IN) == 0;
            sendUntilClear(newChange(index, delete ? null : body(index)));
        }
        if (draw(READ_ONE_IN) == 0) {
            readBack();
        }
    }

    /** Two bodies for one version, at two nodes at once. */
    void race() throws InterruptedException {
        final int index = draw(ROUTES);
        synchronized (itemLocks[index]) {
            final Change first = newChange(index, body(index));
            final Change second = new Change(index, body(index), first.expected(), nextId());
            final Thread other = new Thread(
                    () -> {
                        try {
                            sendUntilClear(second);
                        } catch (final InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    },
                    "race");
            other.start();
            sendUntilClear(first);
            other.join();
        }
    }

    private String nextId() {
        return "soak-" + serial.incrementAndGet() + "-" + Long.toHexString(System.nanoTime());
    }

    private synchronized Change newChange(final int index, final String body) {
        final String item = "route/soak-" + index;
        return new Change(index, body, current.getOrDefault(item, 0L), nextId());
    }

    private void sendUntilClear(final Change change) throws InterruptedException {
        final long deadline = System.currentTimeMillis() + PATIENCE_MS;
        while (System.currentTimeMillis() < deadline) {
            final FleetMachine node = anyNode();
            final Answer answer = answer(
                    () -> client.write(node, "routes/" + change.name(), change.body(), change.expected(), change.id()));
            if (answer.isClear()) {
                note(change, answer);
                return;
            }
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        }
        synchronized (this) {
            unclear++;
        }
    }

    private synchronized void note(final Change change, final Answer answer) {
        current.merge(change.item(), answer.version(), Math::max);
        if (answer.status() != DONE) {
            return;
        }
        changes++;
        acknowledged.merge(change.item(), answer.version(), Math::max);
        final String body = String.valueOf(change.body());
        final String other = bodies.putIfAbsent(change.item() + " version " + answer.version(), body);
        if (other != null && !other.equals(body)) {
            findings.add(
                    Rule.TWO_BODIES,
                    change.item() + " version " + answer.version() + " was acknowledged as " + other + " and as "
                            + body);
        }
    }

    /** A call to one node. */
    @FunctionalInterface
    private interface Call {
        HttpResponse<String> send() throws IOException, InterruptedException;
    }

    private static Answer answer(final Call call) throws InterruptedException {
        try {
            final HttpResponse<String> response = call.send();
            final Object version = Json.read(response.body(), Map.class).get("version");
            return new Answer(response.statusCode(), version instanceof Number n ? n.longValue() : 0);
        } catch (final IOException | IllegalStateException e) {
            return Answer.NONE;
        }
    }

    /** Reads one item at any node: it shows what was acknowledged before, or the node says that it cannot tell. */
    private void readBack() throws InterruptedException {
        final String name = "soak-" + draw(ROUTES);
        final long least;
        synchronized (this) {
            least = acknowledged.getOrDefault("route/" + name, 0L);
        }
        final FleetMachine node = anyNode();
        final Answer answer = answer(() -> client.get(node, "routes/" + name));
        if (answer.status() == DONE && answer.version() < least) {
            findings.add(
                    Rule.STALE_READ,
                    node.name() + " shows version " + answer.version() + " of " + name + ", version " + least
                            + " was acknowledged before");
        }
    }

    /** By item, as "route/NAME", the newest version that was acknowledged. */
    synchronized Map<String, Long> acknowledged() {
        return new TreeMap<>(acknowledged);
    }

    /** How many changes were acknowledged. */
    synchronized long changes() {
        return changes;
    }

    /** How many changes had no clear answer in {@value #PATIENCE_MS} ms. */
    synchronized long unclear() {
        return unclear;
    }
}
