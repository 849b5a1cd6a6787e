package org.rowanvalve.testkit.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.testkit.origin.StandInOrigin;
import org.rowanvalve.testkit.scenario.Scenario;

/** Injects a scenario's faults into processes. */
public final class FleetScenarioRunner {
    private static final Set<String> SHOWN = Set.of(
            "kill",
            "power",
            "lose-disk",
            "freeze",
            "cut",
            "origin-crash",
            "origin-slow",
            "origin-lose",
            "origin-wrong",
            "origin-swap",
            "origin-leave",
            "purges",
            "storm",
            "invalid",
            "surge",
            "restart",
            "slow",
            "full",
            "origin-replace",
            "blackout",
            "ack-lose");
    private final Fleet fleet;
    private final Scenario scenario;
    private final List<String> missed = new ArrayList<>();
    private final ScheduledExecutorService clock = Executors.newScheduledThreadPool(4);

    @FunctionalInterface
    private interface Act {
        void run() throws Exception;
    }

    public FleetScenarioRunner(final Fleet fleet, final Scenario scenario) {
        this.fleet = fleet;
        this.scenario = scenario;
    }

    /** What only the simulator can bring about is told before anything starts. */
    public static List<ValidationError> check(final Scenario scenario) {
        final List<ValidationError> list = new ArrayList<>();
        for (int i = 0; i < scenario.steps().size(); i++) {
            if (!SHOWN.contains(scenario.steps().get(i).trouble())) {
                list.add(new ValidationError(
                        "/steps/" + i + "/trouble",
                        scenario.steps().get(i).trouble() + " can be brought about in the simulator only"));
            }
        }
        return list;
    }

    public List<String> missed() {
        return missed;
    }

    public List<Map<String, Object>> run() throws Exception {
        try {
            scenario.steps().forEach(step -> in(step.at(), step.trouble(), () -> bring(step)));
            TimeUnit.SECONDS.sleep(scenario.seconds());
            return fleet.gather();
        } finally {
            clock.shutdownNow();
        }
    }

    private void in(final long ms, final String what, final Act act) {
        clock.schedule(
                () -> {
                    try {
                        act.run();
                    } catch (final Exception e) {
                        synchronized (missed) {
                            missed.add(what + ": " + e.getMessage());
                        }
                    }
                },
                ms,
                TimeUnit.MILLISECONDS);
    }

    private List<FleetMachine> who(final Scenario.Step step) throws IOException, InterruptedException {
        final List<FleetMachine> list = new ArrayList<>();
        for (final String w : step.who()) {
            if (w.equals("all")) {
                list.addAll(fleet.machines().values());
            } else {
                list.add(fleet.machine(w.equals("authority") ? boss() : w));
            }
        }
        return list;
    }

    private String boss() {
        for (final String n : List.of("st1", "st2")) {
            try {
                final String text =
                        new String(new java.net.URL("http://" + fleet.machine(n).http() + "/v1/state")
                                .openStream()
                                .readAllBytes());
                if (text.contains("\"acting\":true")) {
                    return n;
                }
            } catch (final IOException e) {
                continue;
            }
        }
        return "st1";
    }

    private void bring(final Scenario.Step step) throws Exception {
        switch (step.trouble()) {
            case "kill", "power" -> power(who(step), step.ms(), false);
            case "lose-disk" -> power(who(step), step.ms(), true);
            case "blackout" -> blackout(fleet.machine(step.who().get(0)), step.ms());
            case "ack-lose" -> {
                if (fleet.desk().restateService() != 200) {
                    throw new IOException("no write was accepted");
                }
                power(who(step), step.ms(), true);
            }
            case "full" -> full(who(step), step.ms());
            case "slow" -> {
                fleet.trouble("slow", "", step.ms());
                fleet.relay().slow((int) step.size());
                in(step.ms(), "slow", () -> fleet.relay().slow(0));
            }
            case "restart" -> restart(who(step), step.ms());
            case "freeze" -> freeze(who(step), step.ms());
            case "cut" -> cut(who(step), step.ms());
            case "surge" -> {
                fleet.trouble("surge", "", step.ms());
                fleet.mob().factor(step.size());
                in(step.ms(), "surge", () -> fleet.mob().factor(1));
            }
            case "purges", "storm" -> {
                for (int i = 0; i < step.size(); i++) {
                    in(
                            (long) (i * step.ms() / step.size()),
                            step.trouble(),
                            step.trouble().equals("purges") ? fleet.desk()::purgeAny : fleet.desk()::restateService);
                }
            }
            case "invalid" -> {
                final int status = fleet.desk()
                        .ask(
                                "PUT",
                                "config",
                                "{\"routes\":{\"x\":{\"prefix\":\"/x/\",\"service\":\"nobody\",\"mode\":\"cached\"}}}");
                if (status == 200) {
                    throw new IOException("an invalid configuration was accepted");
                }
            }
            default -> {
                for (final String w : step.who()) {
                    origin(step, w);
                }
            }
        }
    }

    private void power(final List<FleetMachine> list, final long ms, final boolean disk) throws Exception {
        for (final FleetMachine machine : list) {
            fleet.trouble("kill", machine.name(), ms);
            machine.kill();
            if (disk) {
                machine.loseDisk();
            }
        }
        in(ms, "start", () -> {
            for (final FleetMachine machine : list) {
                start(machine);
            }
            if (list.size() > 4) {
                fleet.trouble("returned", "", 0);
            }
        });
    }

    private void blackout(final FleetMachine store, final long ms) throws Exception {
        final List<FleetMachine> all = List.copyOf(fleet.machines().values());
        for (final FleetMachine machine : all) {
            fleet.trouble("kill", machine.name(), ms);
            machine.kill();
        }
        store.loseDisk();
        in(ms, "start", () -> {
            for (final FleetMachine machine : all) {
                start(machine);
            }
            fleet.trouble("returned", "", 0);
        });
    }

    /** Files of the process can no longer grow past one byte, so that each new journal fails. */
    private void full(final List<FleetMachine> list, final long ms) throws Exception {
        for (final FleetMachine machine : list) {
            fleet.trouble("full", machine.name(), ms);
            machine.limit("1");
            in(ms, "room", () -> machine.limit("unlimited"));
        }
    }

    private void start(final FleetMachine machine) throws IOException {
        if (!machine.alive()) {
            fleet.trouble("start", machine.name(), 0);
            machine.start();
        }
    }

    private void restart(final List<FleetMachine> list, final long ms) throws Exception {
        for (final FleetMachine machine : list) {
            fleet.trouble("restart", machine.name(), ms);
            if (!machine.stop(12_000)) {
                machine.kill();
                throw new IOException(machine.name() + " did not stop in time");
            }
            machine.build(fleet.bin());
            in(ms, "start", () -> start(machine));
        }
    }

    private void freeze(final List<FleetMachine> list, final long ms) throws Exception {
        for (final FleetMachine machine : list) {
            fleet.trouble("freeze", machine.name(), ms);
            machine.signal("STOP");
            in(ms, "wake", () -> machine.signal("CONT"));
        }
    }

    private void cut(final List<FleetMachine> list, final long ms) {
        final List<String> side = list.stream().map(FleetMachine::name).toList();
        final long votes =
                side.stream().filter(List.of("st1", "st2", "sh1")::contains).count();
        for (final String n : fleet.machines().keySet()) {
            if (side.contains(n) == votes < 2) {
                fleet.trouble("cut", n, ms);
            }
        }
        fleet.cut(side);
        in(ms, "heal", fleet.relay()::heal);
    }

    private void origin(final Scenario.Step step, final String name) throws Exception {
        final StandInOrigin origin = fleet.origins().get(name);
        fleet.trouble(step.trouble(), name, step.ms());
        switch (step.trouble()) {
            case "origin-slow" -> fault(origin, "none", (long) step.size(), step.ms());
            case "origin-lose" -> fault(origin, "lose", 3, step.ms());
            case "origin-wrong" -> fault(origin, "wrong", 3, step.ms());
            case "origin-replace" -> {
                final StandInOrigin next = fleet.heir(origin);
                in(step.ms(), "replaced", () -> {
                    if (!origin.leave(10)) {
                        throw new IOException(name + " could not say that it leaves");
                    }
                    in(3000, "gone", origin::stop);
                });
                next.start(0);
            }
            case "origin-leave" -> {
                if (!origin.leave(10)) {
                    throw new IOException(name + " could not say that it leaves");
                }
                in(step.ms(), "back", () -> again(origin));
            }
            case "origin-swap" -> {
                final int port = origin.port();
                origin.stop();
                origin.start(port, "foreign");
                in(step.ms(), "back", () -> again(origin));
            }
            default -> {
                origin.stop();
                in(step.ms(), "back", () -> origin.start(0));
            }
        }
    }

    private static void again(final StandInOrigin origin) throws Exception {
        origin.stop();
        origin.start(0);
    }

    private void fault(final StandInOrigin origin, final String kind, final long slow, final long ms) {
        origin.face().fault(kind, slow);
        in(ms, "mend", () -> origin.face().fault("none", 3));
    }
}
