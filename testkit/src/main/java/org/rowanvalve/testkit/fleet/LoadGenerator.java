package org.rowanvalve.testkit.fleet;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.testkit.log.RunLog;
import org.rowanvalve.testkit.scenario.ClientAnswer;
import org.rowanvalve.testkit.scenario.ClientCall;
import org.rowanvalve.testkit.scenario.Deployment;

/** Clients of a fleet: the deployment's mix of requests over HTTP; a load balancer picks edges by readiness. */
final class LoadGenerator {
    private static final int ROOM = 3000;
    /** The attempt by which a request that was answered is sent once more. */
    private static final int REPEATED = 9;

    private final Deployment deployment;
    private final List<FleetMachine> edges;
    private final RunLog log;
    private final Random random;
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(1000))
            .build();
    private final ScheduledExecutorService clock = Executors.newScheduledThreadPool(2, DaemonThreads.named("mob"));
    private final Map<String, Integer> grades = new ConcurrentHashMap<>();
    private final AtomicLong serial = new AtomicLong();
    private final AtomicInteger open = new AtomicInteger();
    private volatile boolean on;
    private volatile double factor = 1;
    private double due;

    LoadGenerator(final Deployment deployment, final List<FleetMachine> edges, final RunLog log, final long seed) {
        this.deployment = deployment;
        this.edges = edges;
        this.log = log;
        this.random = new Random(seed);
    }

    void start() {
        on = true;
        due = System.currentTimeMillis();
        clock.scheduleAtFixedRate(this::tick, 0, 5, TimeUnit.MILLISECONDS);
        clock.scheduleAtFixedRate(this::grade, 0, 500, TimeUnit.MILLISECONDS);
    }

    void stop() {
        on = false;
        clock.shutdownNow();
    }

    void factor(final double f) {
        factor = f;
    }

    private void grade() {
        for (final FleetMachine machine : edges) {
            http.sendAsync(
                            HttpRequest.newBuilder(URI.create("http://" + machine.http() + "/v1/ready"))
                                    .timeout(Duration.ofMillis(700))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString())
                    .whenComplete((response, e) -> grades.put(
                            machine.name(),
                            e != null || response.statusCode() != 200
                                    ? 0
                                    : ((Number) Json.read(response.body(), Map.class)
                                                    .get("grade"))
                                            .intValue()));
        }
    }

    private synchronized void tick() {
        final long now = System.currentTimeMillis();
        while (on && due <= now) {
            due += -Math.log(1 - random.nextDouble()) * 1000 / (deployment.perSecond() * factor);
            final Deployment.TrafficClass traffic = deployment.pick(random.nextDouble());
            final double roll = random.nextDouble();
            final String path = traffic.path(roll, 2);
            send(traffic, path, traffic.mode().equals("once") ? "key-" + serial.incrementAndGet() : null, 1);
        }
    }

    private synchronized FleetMachine pick() {
        final List<FleetMachine> good = edges.stream()
                .filter(machine -> grades.getOrDefault(machine.name(), 0) >= 50)
                .toList();
        final List<FleetMachine> from = good.isEmpty() ? edges : good;
        return from.get(random.nextInt(from.size()));
    }

    private void send(final Deployment.TrafficClass traffic, final String path, final String key, final int turn) {
        if (open.incrementAndGet() > ROOM) {
            open.decrementAndGet();
            return;
        }
        final FleetMachine machine = pick();
        final ClientCall call = new ClientCall(
                traffic, path, key, turn, machine.name(), System.currentTimeMillis(), serial.incrementAndGet());
        http.sendAsync(ClientHttp.request(call, machine), HttpResponse.BodyHandlers.ofByteArray())
                .whenComplete((response, error) -> {
                    open.decrementAndGet();
                    note(call, ClientHttp.answer(error == null ? response : null));
                });
    }

    private void note(final ClientCall call, final ClientAnswer answer) {
        log.add(call.row(System.currentTimeMillis(), answer, null));
        final boolean again = answer == null || !answer.isDone();
        if (on && again && call.attempt() < 4 && roll() < (deployment.hasty() ? 0.9 : 0.4)) {
            later(
                    deployment.hasty() ? 20 : 500 + (long) (1000 * roll()),
                    () -> send(call.traffic(), call.path(), call.key(), call.attempt() + 1));
        } else if (on && call.key() != null && !again && call.attempt() == 1 && roll() < 0.05) {
            later(200 + (long) (3000 * roll()), () -> send(call.traffic(), call.path(), call.key(), REPEATED));
        }
    }

    private synchronized double roll() {
        return random.nextDouble();
    }

    private void later(final long ms, final Runnable job) {
        try {
            clock.schedule(job, ms, TimeUnit.MILLISECONDS);
        } catch (final java.util.concurrent.RejectedExecutionException e) {
            on = false;
        }
    }
}
