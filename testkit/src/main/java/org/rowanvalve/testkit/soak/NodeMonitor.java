package org.rowanvalve.testkit.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.rowanvalve.testkit.fleet.ControlClient;
import org.rowanvalve.testkit.fleet.DaemonThreads;
import org.rowanvalve.testkit.fleet.FleetMachine;
import org.rowanvalve.testkit.soak.SoakFinding.Rule;

/** Looks at every process all the time: what it says of itself, what it uses, and whether it is still there. */
final class NodeMonitor {
    private static final long PERIOD_MS = 2000;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration TIMEOUT = Duration.ofMillis(1500);
    /** Only items that operators declare; others are dropped when they are old. */
    private static final List<String> DECLARED = List.of("route/", "service/");

    private final Collection<FleetMachine> machines;
    private final MachineHistory history;
    private final ChangeOperator operator;
    private final SoakFindings findings;
    private final ControlClient client = new ControlClient(CONNECT_TIMEOUT, TIMEOUT);
    private final ScheduledExecutorService clock =
            Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("node-monitor"));
    /** By machine, then by start of its process. */
    private final Map<String, Map<Long, List<ResourceSample>>> samples = new TreeMap<>();

    private final Map<String, NodeState> lastStates = new HashMap<>();

    NodeMonitor(
            final Collection<FleetMachine> machines,
            final MachineHistory history,
            final ChangeOperator operator,
            final SoakFindings findings) {
        this.machines = machines;
        this.history = history;
        this.operator = operator;
        this.findings = findings;
    }

    void start() {
        clock.scheduleWithFixedDelay(this::look, PERIOD_MS, PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    private void look() {
        for (final FleetMachine machine : machines) {
            try {
                look(machine);
            } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void look(final FleetMachine machine) throws InterruptedException {
        if (!machine.alive()) {
            if (history.isExpectedUp(machine.name())) {
                findings.add(
                        Rule.ENDED_BY_ITSELF, machine.name() + ", started at " + machine.startedAt() + ", has ended");
            }
            return;
        }
        final long startedAt = machine.startedAt();
        ResourceSample.of(machine, operator.changes()).ifPresent(sample -> note(machine, startedAt, sample));
        NodeState.of(client, machine).ifPresent(state -> compare(machine, state));
    }

    private synchronized void note(final FleetMachine machine, final long startedAt, final ResourceSample sample) {
        samples.computeIfAbsent(machine.name(), name -> new TreeMap<>())
                .computeIfAbsent(startedAt, at -> new ArrayList<>())
                .add(sample);
    }

    private void compare(final FleetMachine machine, final NodeState state) {
        final NodeState last = lastStates.put(machine.name(), state);
        if (last == null || !last.incarnation().equals(state.incarnation())) {
            return;
        }
        last.versions().forEach((item, version) -> {
            if (DECLARED.stream().anyMatch(item::startsWith) && state.version(item) < version) {
                findings.add(
                        Rule.VERSION_FELL,
                        machine.name() + " went from version " + version + " of " + item + " to "
                                + state.version(item));
            }
        });
    }

    Optional<NodeState> stateOf(final FleetMachine machine) throws InterruptedException {
        return NodeState.of(client, machine);
    }

    /** How a figure grows with the changes, over all processes. */
    synchronized GrowthSlope.Estimate growth(final ResourceSample.Figure figure) {
        final GrowthSlope slope = new GrowthSlope();
        samples.values()
                .forEach(byStart -> byStart.values()
                        .forEach(group -> slope.addGroup(
                                group.stream()
                                        .mapToDouble(ResourceSample::changes)
                                        .toArray(),
                                group.stream().mapToDouble(figure::of).toArray())));
        return slope.estimate();
    }

    void stop() {
        clock.shutdownNow();
    }
}
