package org.rowanvalve.testkit.soak;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.rowanvalve.testkit.fleet.FleetMachine;
import org.rowanvalve.testkit.soak.SoakFinding.Rule;

/** In quiet times: how long it takes until every node shows a change. */
final class PropagationCheck {
    /** By then a change has to be in force everywhere, where nothing is in trouble. */
    static final long LIMIT_MS = 5000;

    private static final long POLL_MS = 10;

    private final Collection<FleetMachine> machines;
    private final NodeMonitor monitor;
    private final ChangeOperator operator;
    private final SoakFindings findings;

    PropagationCheck(
            final Collection<FleetMachine> machines,
            final NodeMonitor monitor,
            final ChangeOperator operator,
            final SoakFindings findings) {
        this.machines = machines;
        this.monitor = monitor;
        this.operator = operator;
        this.findings = findings;
    }

    /** Makes one change; milliseconds until every node shows it. A finding where that takes too long. */
    long measure(final int round) throws InterruptedException {
        final long startedAt = System.currentTimeMillis();
        operator.change();
        final Map<String, Long> acknowledged = operator.acknowledged();
        boolean shown = isShown(acknowledged);
        while (!shown && System.currentTimeMillis() - startedAt < LIMIT_MS) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
            shown = isShown(acknowledged);
        }
        final long tookMs = System.currentTimeMillis() - startedAt;
        if (!shown) {
            findings.add(
                    Rule.CHANGE_NOT_IN_FORCE,
                    "round " + round + ": a change in quiet times is not in force at every node after " + tookMs
                            + " ms");
        }
        return tookMs;
    }

    private boolean isShown(final Map<String, Long> acknowledged) throws InterruptedException {
        for (final FleetMachine machine : machines) {
            final Optional<NodeState> state = monitor.stateOf(machine);
            if (state.isEmpty() || !state.get().behind(acknowledged).isEmpty()) {
                return false;
            }
        }
        return true;
    }
}
