package org.rowanvalve.testkit.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.rowanvalve.testkit.fleet.Fleet;
import org.rowanvalve.testkit.fleet.FleetMachine;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.judge.Verdict;
import org.rowanvalve.testkit.scale.ProcessorTime;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.soak.SoakFinding.Rule;

/** Plays a plan on real processes, in a folder that keeps the plan, the logs and the report. */
public final class SoakRun {
    /** The judge's rules on requests: they hold whatever happens to the network. */
    private static final List<Integer> REQUEST_RULES = List.of(1, 2, 3, 12, 26);

    private static final int CLIENTS_PER_EDGE = 3;
    private static final long QUIET_MS = 2000;
    /** A client waits at most so long for an answer. */
    private static final long LAST_ANSWERS_MS = 5000;

    private static final int MAX_BREACHES = 5;
    private static final String REPORT = "report.txt";

    private final SoakPlan plan;
    private final Path folder;
    private final Path programs;
    private final SoakFindings findings = new SoakFindings();
    private final MachineHistory history = new MachineHistory();

    /** {@code programs}: the folder with the programs as they ship. */
    public SoakRun(final SoakPlan plan, final Path folder, final Path programs) {
        this.plan = plan;
        this.folder = folder;
        this.programs = programs;
    }

    /** Plays the plan to its end; all processes have ended then. */
    @SuppressWarnings("try") // See Fleet.
    public SoakReport run() throws Exception {
        Files.createDirectories(folder);
        new SoakPlanFile(folder).write(plan);
        final Deployment deployment = plan.deployment();
        try (Fleet fleet = new Fleet(deployment, folder, programs, programs, plan.seed())) {
            final ProcessOptions options = new ProcessOptions(folder);
            for (final FleetMachine machine : fleet.machines().values()) {
                options.attach(machine);
            }
            fleet.open();
            final SoakReport report = play(fleet, options);
            Files.writeString(folder.resolve(REPORT), report.text());
            return report;
        }
    }

    private SoakReport play(final Fleet fleet, final ProcessOptions options) throws Exception {
        final Deployment deployment = fleet.place();
        final List<FleetMachine> machines = List.copyOf(fleet.machines().values());
        final List<FleetMachine> edges =
                machines.stream().filter(FleetMachine::edge).toList();
        final ProcessorTime processorTime = ProcessorTime.now();
        final ChangeOperator operator = new ChangeOperator(deployment, machines, findings, plan.seed());
        final KeptConnectionClients clients =
                new KeptConnectionClients(deployment, edges, fleet.log(), CLIENTS_PER_EDGE, plan.seed());
        final NodeMonitor monitor = new NodeMonitor(machines, history, operator, findings);
        final DisturbancePlayer player = new DisturbancePlayer(fleet, options, history, operator, findings);
        final RecoveryCheck recovery = new RecoveryCheck(machines, monitor, operator, clients, findings);
        final PropagationCheck propagation = new PropagationCheck(machines, monitor, operator, findings);
        final List<Long> recoveryMs = new ArrayList<>();
        final List<Long> propagationMs = new ArrayList<>();
        clients.start();
        monitor.start();
        try {
            for (int round = 1; round <= plan.rounds().size(); round++) {
                final long restoredAt = player.play(plan.rounds().get(round - 1));
                recoveryMs.add(recovery.await(round, restoredAt));
                TimeUnit.MILLISECONDS.sleep(QUIET_MS);
                propagationMs.add(propagation.measure(round));
            }
        } finally {
            player.stop();
            clients.stop();
            monitor.stop();
        }
        fleet.stopTraffic();
        TimeUnit.MILLISECONDS.sleep(LAST_ANSWERS_MS);
        final List<Map<String, Object>> rows = fleet.rows();
        judge(rows);
        checkCutRequests(clients.cut(), rows);
        return new SoakReport(
                plan,
                player.played(),
                player.skipped(),
                operator.changes(),
                operator.unclear(),
                clients.sent(),
                clients.served(),
                recoveryMs,
                propagationMs,
                SoakReport.growth(monitor),
                processorTime.usedSince(),
                findings.all());
    }

    private void judge(final List<Map<String, Object>> rows) {
        final Judge judge = new Judge(rows);
        for (final Verdict verdict : judge.verdicts()) {
            if (!REQUEST_RULES.contains(verdict.rule())) {
                continue;
            }
            verdict.breaches().stream()
                    .limit(MAX_BREACHES)
                    .forEach(breach -> findings.add(Rule.REQUEST_RULE, "rule " + verdict.rule() + ": " + breach));
        }
    }

    /** A request that is cut during an undisturbed graceful shutdown must not have reached an origin. */
    private void checkCutRequests(
            final List<KeptConnectionClients.CutRequest> cut, final List<Map<String, Object>> rows) {
        final Set<Object> passedOn = rows.stream()
                .filter(row -> "org".equals(row.get("log")))
                .map(row -> row.get("path"))
                .collect(Collectors.toSet());
        for (final KeptConnectionClients.CutRequest request : cut) {
            if (passedOn.contains(request.path())
                    && request.path().contains("kept-")
                    && !history.shutdowns(request.edge(), request.startedAt(), request.endedAt())
                            .isEmpty()
                    && !history.isDisturbed(request.edge(), request.startedAt(), request.endedAt())) {
                findings.add(
                        Rule.CUT_AFTER_PASSING_ON,
                        request.edge() + " cut " + request.path() + ", sent at " + request.startedAt() + ", at "
                                + request.endedAt());
            }
        }
    }

    /** Whether a folder holds an earlier run. */
    public static boolean isUsed(final Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            return false;
        }
        try (var all = Files.list(folder)) {
            return all.findAny().isPresent();
        }
    }
}
