package org.rowanvalve.testkit.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.rowanvalve.testkit.fleet.DaemonThreads;
import org.rowanvalve.testkit.fleet.Fleet;
import org.rowanvalve.testkit.fleet.FleetMachine;
import org.rowanvalve.testkit.origin.StandInOrigin;
import org.rowanvalve.testkit.soak.SoakFinding.Rule;

/** Does to a fleet what a round of a plan says, and brings everything back after it. */
final class DisturbancePlayer {
    /** A shutdown may take its {@code stop-ms}, and the process a little to end. */
    private static final long SHUTDOWN_LIMIT_MS = 9000;
    /** A signal before a program has set its handlers ends it, whatever the signal. */
    private static final long STARTUP_MS = 4000;

    private static final int THREADS = 24;
    /** How many operators change things at the same time. */
    private static final int OPERATORS = 4;

    private static final int SAY_LEAVING_TRIES = 10;
    private static final long NOTICE_MS = 500;

    private final Fleet fleet;
    private final ProcessOptions options;
    private final MachineHistory history;
    private final ChangeOperator operator;
    private final SoakFindings findings;
    private final ScheduledExecutorService clock =
            Executors.newScheduledThreadPool(THREADS, DaemonThreads.named("disturbance"));
    private final ExecutorService operators = Executors.newFixedThreadPool(OPERATORS, DaemonThreads.named("operator"));
    private volatile boolean changing;
    private final Set<String> busyOrigins = ConcurrentHashMap.newKeySet();
    private final AtomicInteger played = new AtomicInteger();
    private final AtomicInteger skipped = new AtomicInteger();

    DisturbancePlayer(
            final Fleet fleet,
            final ProcessOptions options,
            final MachineHistory history,
            final ChangeOperator operator,
            final SoakFindings findings) {
        this.fleet = fleet;
        this.options = options;
        this.history = history;
        this.operator = operator;
        this.findings = findings;
    }

    /** How many disturbances were brought about. */
    int played() {
        return played.get();
    }

    /** How many were not, since their machine was down or busy. */
    int skipped() {
        return skipped.get();
    }

    /**
     * Plays a round, waits for its end, and brings everything back. Returns when that was done, in milliseconds since
     * the epoch; changes that were under way then have ended, too.
     */
    long play(final SoakRound round) throws Exception {
        changing = true;
        final List<Future<?>> disturbances = new ArrayList<>();
        final List<Future<Future<?>>> changes = new ArrayList<>();
        for (final DisturbanceSeries series : round.series()) {
            for (final Disturbance disturbance : series.disturbances()) {
                if (series.kind().isOfOperators()) {
                    changes.add(clock.schedule(
                            () -> operators.submit(() -> operate(disturbance)),
                            disturbance.atMs(),
                            TimeUnit.MILLISECONDS));
                } else {
                    disturbances.add(
                            clock.schedule(() -> disturb(disturbance), disturbance.atMs(), TimeUnit.MILLISECONDS));
                }
            }
        }
        TimeUnit.MILLISECONDS.sleep(round.lengthMs());
        for (final Future<?> disturbance : disturbances) {
            disturbance.get();
        }
        restoreAll();
        final long restoredAt = now();
        changing = false;
        for (final Future<Future<?>> change : changes) {
            change.get().get();
        }
        return restoredAt;
    }

    /** Calls that wait for their turn when the round is over are left out. */
    private Void operate(final Disturbance disturbance) throws InterruptedException {
        final boolean done = changing;
        for (int i = 0; i < disturbance.size() && changing; i++) {
            if (disturbance.kind() == DisturbanceKind.RACE) {
                operator.race();
            } else {
                operator.change();
            }
        }
        (done ? played : skipped).incrementAndGet();
        return null;
    }

    private Void disturb(final Disturbance disturbance) throws Exception {
        final boolean done =
                switch (disturbance.kind()) {
                    case POWER_OFF -> powerOff(disturbance.durationMs());
                    case SPLIT -> split(disturbance);
                    case ORIGIN_CRASH, ORIGIN_DRAIN -> origin(disturbance);
                    default ->
                        machine(disturbance, fleet.machine(disturbance.targets().get(0)));
                };
        (done ? played : skipped).incrementAndGet();
        return null;
    }

    private boolean machine(final Disturbance disturbance, final FleetMachine machine) throws Exception {
        if (!machine.alive()) {
            return false;
        }
        return switch (disturbance.kind()) {
            case TERMINATE -> terminate(machine, disturbance.durationMs());
            case KILL -> kill(machine, disturbance.durationMs(), false);
            case LOSE_DISK -> kill(machine, disturbance.durationMs(), true);
            case FREEZE -> freeze(machine, disturbance.durationMs());
            case ISOLATE -> isolate(machine.name(), disturbance.durationMs());
            case FILL_DISK -> fillDisk(machine, disturbance.durationMs());
            case RELOAD -> reload(machine, true);
            case RELOAD_INVALID -> reload(machine, false);
            default -> throw new IllegalArgumentException(disturbance.kind() + " happens to no machine");
        };
    }

    private static long now() {
        return System.currentTimeMillis();
    }

    private boolean terminate(final FleetMachine machine, final long awayMs) throws Exception {
        if (isStarting(machine)) {
            return false;
        }
        final long from = now();
        history.expectDown(machine.name());
        fleet.trouble("restart", machine.name(), awayMs);
        final boolean ended = machine.stop(SHUTDOWN_LIMIT_MS);
        history.add(DisturbanceKind.TERMINATE, machine.name(), from, now());
        if (!ended) {
            if (!history.isDisturbed(machine.name(), from, now())) {
                findings.add(
                        Rule.SHUTDOWN_TOO_LONG,
                        machine.name() + " had not ended " + (now() - from) + " ms after SIGTERM");
            }
            machine.kill();
        }
        TimeUnit.MILLISECONDS.sleep(awayMs);
        start(machine);
        return true;
    }

    private boolean isStarting(final FleetMachine machine) {
        return now() - machine.startedAt() < STARTUP_MS;
    }

    private boolean kill(final FleetMachine machine, final long awayMs, final boolean disk) throws Exception {
        history.expectDown(machine.name());
        final long from = now();
        fleet.trouble(disk ? "lose-disk" : "kill", machine.name(), awayMs);
        machine.kill();
        if (disk) {
            machine.loseDisk();
        }
        TimeUnit.MILLISECONDS.sleep(awayMs);
        start(machine);
        history.add(disk ? DisturbanceKind.LOSE_DISK : DisturbanceKind.KILL, machine.name(), from, now());
        return true;
    }

    private void start(final FleetMachine machine) throws Exception {
        synchronized (machine) {
            if (!machine.alive()) {
                options.writeValid(machine.name(), (int) NOTICE_MS);
                fleet.trouble("start", machine.name(), 0);
                machine.start();
            }
            history.expectUp(machine.name());
        }
    }

    private boolean freeze(final FleetMachine machine, final long ms) throws Exception {
        final long from = now();
        fleet.trouble("freeze", machine.name(), ms);
        machine.signal("STOP");
        TimeUnit.MILLISECONDS.sleep(ms);
        wake(machine);
        history.add(DisturbanceKind.FREEZE, machine.name(), from, now());
        return true;
    }

    /** Something that is done to a process. */
    @FunctionalInterface
    private interface Action {
        void run() throws Exception;
    }

    /** One that is killed meanwhile, or started anew, takes no harm. */
    private static void ifAlive(final FleetMachine machine, final Action action) throws Exception {
        if (machine.alive()) {
            try {
                action.run();
            } catch (final IOException e) {
                if (machine.alive()) {
                    throw e;
                }
            }
        }
    }

    private static void wake(final FleetMachine machine) throws Exception {
        ifAlive(machine, () -> machine.signal("CONT"));
    }

    private static void emptyDisk(final FleetMachine machine) throws Exception {
        ifAlive(machine, () -> machine.limit("unlimited"));
    }

    private boolean isolate(final String machine, final long ms) throws InterruptedException {
        return cut(List.of(machine), ms, DisturbanceKind.ISOLATE);
    }

    private boolean split(final Disturbance disturbance) throws InterruptedException {
        return cut(disturbance.targets(), disturbance.durationMs(), DisturbanceKind.SPLIT);
    }

    private boolean cut(final Collection<String> side, final long ms, final DisturbanceKind kind)
            throws InterruptedException {
        final long from = now();
        final Set<String> all = fleet.machines().keySet();
        fleet.cut(side);
        all.forEach(machine -> fleet.trouble("cut", machine, ms));
        TimeUnit.MILLISECONDS.sleep(ms);
        fleet.restore(side);
        all.forEach(machine -> history.add(kind, machine, from, now()));
        return true;
    }

    private boolean fillDisk(final FleetMachine machine, final long ms) throws Exception {
        final long from = now();
        fleet.trouble("full", machine.name(), ms);
        machine.limit("1");
        TimeUnit.MILLISECONDS.sleep(ms);
        emptyDisk(machine);
        history.add(DisturbanceKind.FILL_DISK, machine.name(), from, now());
        return true;
    }

    private boolean reload(final FleetMachine machine, final boolean valid) throws Exception {
        if (isStarting(machine) || !history.isExpectedUp(machine.name())) {
            return false;
        }
        if (valid) {
            options.writeValid(machine.name(), (int) (NOTICE_MS + now() % NOTICE_MS));
        } else {
            options.writeInvalid(machine.name());
        }
        machine.signal("HUP");
        return true;
    }

    private boolean powerOff(final long ms) throws Exception {
        final long from = now();
        final List<FleetMachine> all = List.copyOf(fleet.machines().values());
        for (final FleetMachine machine : all) {
            history.expectDown(machine.name());
            fleet.trouble("kill", machine.name(), ms);
        }
        for (final FleetMachine machine : all) {
            machine.kill();
        }
        TimeUnit.MILLISECONDS.sleep(ms);
        for (final FleetMachine machine : all) {
            start(machine);
            history.add(DisturbanceKind.POWER_OFF, machine.name(), from, now());
        }
        return true;
    }

    private boolean origin(final Disturbance disturbance) throws Exception {
        final String name = disturbance.targets().get(0);
        if (!busyOrigins.add(name)) {
            return false;
        }
        try {
            final StandInOrigin origin = fleet.origins().get(name);
            final boolean drain = disturbance.kind() == DisturbanceKind.ORIGIN_DRAIN;
            fleet.trouble(drain ? "origin-leave" : "origin-crash", name, disturbance.durationMs());
            final int port = origin.port();
            if (drain) {
                origin.leave(SAY_LEAVING_TRIES);
                TimeUnit.MILLISECONDS.sleep(disturbance.durationMs());
            }
            origin.stop();
            if (!drain) {
                TimeUnit.MILLISECONDS.sleep(disturbance.durationMs());
            }
            origin.start(drain ? 0 : port);
            return true;
        } finally {
            busyOrigins.remove(name);
        }
    }

    /** Valid options, no partition, no frozen process, no full disk, and every process runs. */
    private void restoreAll() throws Exception {
        fleet.relay().heal();
        for (final Map.Entry<String, FleetMachine> entry : fleet.machines().entrySet()) {
            final FleetMachine machine = entry.getValue();
            options.writeValid(entry.getKey(), (int) NOTICE_MS);
            wake(machine);
            if (machine.hasDisk()) {
                emptyDisk(machine);
            }
            start(machine);
        }
    }

    void stop() {
        clock.shutdownNow();
        operators.shutdownNow();
    }
}
