package org.rowanvalve.testkit.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.rowanvalve.testkit.fleet.FleetMachine;
import org.rowanvalve.testkit.soak.SoakFinding.Rule;

/** After a round: every node confirms its view, shows what was acknowledged, and clients are served. */
final class RecoveryCheck {
    /** By then service has to be back. */
    static final long LIMIT_MS = 15_000;

    private static final long POLL_MS = 250;
    private static final int SHOWN = 5;

    private final Collection<FleetMachine> machines;
    private final NodeMonitor monitor;
    private final ChangeOperator operator;
    private final KeptConnectionClients clients;
    private final SoakFindings findings;

    RecoveryCheck(
            final Collection<FleetMachine> machines,
            final NodeMonitor monitor,
            final ChangeOperator operator,
            final KeptConnectionClients clients,
            final SoakFindings findings) {
        this.machines = machines;
        this.monitor = monitor;
        this.operator = operator;
        this.clients = clients;
        this.findings = findings;
    }

    /**
     * Milliseconds from {@code startedAt}, in milliseconds since the epoch, until everything was back; a finding where
     * it was not in {@value #LIMIT_MS} ms.
     */
    long await(final int round, final long startedAt) throws InterruptedException {
        final Map<String, Long> acknowledged = operator.acknowledged();
        List<String> missing = lacks(acknowledged);
        while (!missing.isEmpty() && System.currentTimeMillis() - startedAt < LIMIT_MS) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
            missing = lacks(acknowledged);
        }
        if (!missing.isEmpty()) {
            findings.add(
                    missing.stream().anyMatch(text -> text.contains("was acknowledged"))
                            ? Rule.ACKNOWLEDGED_CHANGE_LOST
                            : Rule.NOT_RECOVERED,
                    "round " + round + ", " + LIMIT_MS + " ms after its end: "
                            + String.join("; ", missing.subList(0, Math.min(SHOWN, missing.size()))));
        }
        return System.currentTimeMillis() - startedAt;
    }

    /** What is not back yet; empty where all is. */
    private List<String> lacks(final Map<String, Long> acknowledged) throws InterruptedException {
        final List<String> lacks = new ArrayList<>();
        for (final FleetMachine machine : machines) {
            final Optional<NodeState> state = monitor.stateOf(machine);
            if (state.isEmpty()) {
                lacks.add(machine.name() + " does not answer");
            } else {
                lacks.addAll(lacks(machine.name(), state.get(), acknowledged));
            }
        }
        final KeptConnectionClients.Served served = clients.recent();
        if (served.served() * 2 < served.all() || served.all() == 0) {
            lacks.add(served.served() + " of " + served.all() + " requests are served");
        }
        return lacks;
    }

    private static List<String> lacks(
            final String machine, final NodeState state, final Map<String, Long> acknowledged) {
        final List<String> lacks = new ArrayList<>();
        if (!state.confirmed()) {
            lacks.add(machine + " has no confirmed view");
        }
        if (!state.isVoterSettled()) {
            lacks.add(machine + " is " + state.voterState());
        }
        state.behind(acknowledged)
                .forEach(item -> lacks.add(machine + " has version " + state.version(item) + " of " + item + ", "
                        + acknowledged.get(item) + " was acknowledged"));
        return lacks;
    }
}
