package org.rowanvalve.testkit.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.scenario.Scenario;

/** Injects a scenario's faults into the simulator. A fault that could not be injected fails the run. */
public final class ScenarioRunner {
    private final SimCluster cluster;
    private final Scenario scenario;
    private static final long LOOK_MS = 100;
    private static final long AFTER_MS = 26_000;
    private static final long LONGEST_MS = 900_000;
    /** Troubles that lose the machines they name. */
    private static final Set<String> LOSING =
            Set.of("kill", "power", "restart", "lose-disk", "freeze", "cut", "drift", "core-cut", "replace-core");
    /** Troubles that lose more than a place bears by what they are; they wait until nothing else is lost. */
    private static final Set<String> ALONE = Set.of("halves", "blackout");
    /** Troubles that take their own time to come about. */
    private static final Set<String> PHASED = Set.of("replace-core", "roll", "after-ack-kill", "after-ack-wipe");

    private final CoreFaults core;
    private final List<String> missed = new ArrayList<>();
    private int open;
    private long over;

    public ScenarioRunner(final Scenario scenario, final long seed) {
        this.scenario = scenario;
        this.cluster = new SimCluster(scenario.place(), seed);
        this.core = new CoreFaults(cluster);
    }

    public SimCluster town() {
        return cluster;
    }

    public List<String> missed() {
        return missed;
    }

    /** A script with a closing fault goes on until all its troubles are over, then for {@link #AFTER_MS} more. */
    public List<Map<String, Object>> run() {
        cluster.open();
        final long zero = cluster.world().now();
        open = scenario.steps().size();
        scenario.steps().forEach(step -> cluster.world().at(zero + step.at(), () -> whenBearable(step)));
        cluster.run(scenario.seconds() * 1000);
        if (!scenario.closing().isEmpty()) {
            final long latest = zero + LONGEST_MS;
            while (cluster.world().now() < latest
                    && (open > 0
                            || cluster.world().now() < over
                            || !cluster.losses().clear())) {
                cluster.run(LOOK_MS);
            }
            cluster.operators().state(status -> scenario.closing().forEach(this::bring));
            cluster.run(AFTER_MS);
        }
        if (open > 0) {
            missed.add(open + " troubles still waited for their turn at the end");
        }
        return cluster.close();
    }

    private List<String> who(final Scenario.Step step) {
        final List<String> list = new ArrayList<>();
        for (final String w : step.who()) {
            switch (w) {
                case "all" -> list.addAll(cluster.nodes().keySet());
                case "shields", "edges" ->
                    cluster.nodes().keySet().stream()
                            .filter(n -> n.startsWith(w.substring(0, 2)))
                            .forEach(list::add);
                case "authority" -> list.add(cluster.boss().isEmpty() ? anyOf("sh") : cluster.boss());
                case "acker" -> list.add(cluster.orderOperator().lastAcknowledger());
                case "seed" -> list.addAll(cluster.seeds().subList(0, 1));
                default -> list.add(w);
            }
        }
        return Scenario.ORIGINS.contains(step.trouble())
                ? list
                : list.stream().map(this::present).distinct().toList();
    }

    /** The machine in that one's place; another of its kind where none came. */
    private String present(final String name) {
        return cluster.present(name)
                .filter(cluster.nodes()::containsKey)
                .orElseGet(() -> anyOf(name.isEmpty() ? "sh" : name.substring(0, 2)));
    }

    private String anyOf(final String kind) {
        if (!cluster.place().shieldRun()) {
            return cluster.place().electors().get(0);
        }
        return cluster.nodes().keySet().stream()
                .filter(n -> n.startsWith(kind))
                .findFirst()
                .orElseThrow();
    }

    /** A trouble that would lose more counted machines at once than the place bears waits its turn. */
    private void whenBearable(final Scenario.Step step) {
        final boolean alone = ALONE.contains(step.trouble());
        if (alone
                ? !cluster.losses().clear()
                : LOSING.contains(step.trouble()) && !cluster.losses().bears(who(step))) {
            cluster.world().in(LOOK_MS, () -> whenBearable(step));
            return;
        }
        over = Math.max(over, cluster.world().now() + step.ms());
        if (!PHASED.contains(step.trouble())) {
            open--;
        }
        bring(step);
    }

    private void bring(final Scenario.Step step) {
        switch (step.trouble()) {
            case "kill", "power" -> down(who(step), step);
            case "restart" ->
                who(step).stream().filter(w -> cluster.node(w).alive()).forEach(w -> cluster.restart(w, step.ms()));
            case "lose-disk" -> who(step).forEach(w -> cluster.loseDisk(w, step.ms()));
            case "blackout" -> cluster.blackout(who(step), step.ms());
            case "ack-lose", "ack-kill" -> lose(step);
            case "herd" -> {
                down(shields(), step);
                cluster.world().in(step.ms(), () -> cluster.trouble("returned", "", 0));
            }
            case "halves" -> cluster.cut(half(), step.ms());
            case "race" -> stream(step, () -> cluster.orderOperator().race());
            case "release" -> release(step);
            case "freeze" -> {
                final List<String> who = who(step);
                who.forEach(w -> cluster.freeze(w, step.ms()));
                calls(step, who);
            }
            case "cut" -> {
                final List<String> who = who(step);
                cluster.cut(who, step.ms());
                calls(step, who);
            }
            case "drift" -> who(step).forEach(w -> cluster.drift(w, step.size(), step.ms()));
            case "slow" ->
                span(
                        step,
                        () -> cluster.net().slow((long) step.size()),
                        () -> cluster.net().slow(0));
            case "loss" ->
                span(
                        step,
                        () -> cluster.net().loss(step.size()),
                        () -> cluster.net().loss(0));
            case "surge" ->
                span(
                        step,
                        () -> cluster.crowd().factor(step.size()),
                        () -> cluster.crowd().factor(1));
            case "give-up" ->
                span(
                        step,
                        () -> cluster.crowd().leave(step.size()),
                        () -> cluster.crowd().leave(0));
            case "purges" -> stream(step, cluster.operators()::purge);
            case "storm" -> stream(step, () -> cluster.operators().state(r -> {}));
            case "invalid" -> invalid();
            case "stall", "full", "disk-slow" -> who(step).forEach(w -> disk(step, w));
            case "clock-step" ->
                who(step).forEach(w -> core.stepClock(w, step.how("back") ? -step.size() : step.size(), step.ms()));
            case "ack-lost" ->
                span(
                        step,
                        () -> cluster.orderOperator().loseAnswers(step.size()),
                        () -> cluster.orderOperator().loseAnswers(0));
            case "reset-conns" -> core.resetCircuits(who(step), step.size());
            case "seed-turnover" -> core.turnSeeds(step.who().isEmpty() ? core.otherSeeds() : who(step));
            case "core-cut" -> {
                final List<String> who = who(step);
                core.coreCut(who, step);
                calls(step, who);
            }
            case "replace-core" -> core.replace(who(step).get(0), step, this::done);
            case "roll" -> core.roll(who(step), step, this::done);
            case "after-ack-kill", "after-ack-wipe" -> core.afterAck(step, this::done);
            default -> step.who().forEach(w -> origin(step, w));
        }
    }

    private void done() {
        open--;
        over = Math.max(over, cluster.world().now());
    }

    private void disk(final Scenario.Step step, final String name) {
        switch (step.trouble()) {
            case "stall" -> cluster.stall(name, step.ms());
            case "full" -> cluster.full(name, step.ms());
            default -> core.slowDisk(name, step.size(), step.ms());
        }
    }

    /** Changes that are sent to the machines in trouble: while they are cut off, and as they return. */
    private void calls(final Scenario.Step step, final List<String> who) {
        if (step.how().stream().anyMatch(Scenario.CALLS::contains)) {
            final List<String> shields =
                    who.stream().filter(w -> w.startsWith("sh")).toList();
            if (step.trouble().endsWith("cut")) {
                core.callDuring(shields, step.ms(), step.how());
            }
            core.callAtReturn(shields, step.ms(), step.how());
        }
    }

    private List<String> shields() {
        return cluster.nodes().keySet().stream()
                .filter(n -> n.startsWith("sh") || n.startsWith("st"))
                .toList();
    }

    private void down(final List<String> who, final Scenario.Step step) {
        final long ms = step.ms();
        who.forEach(w -> {
            if (step.trouble().equals("power")) {
                cluster.power(w, ms);
            } else {
                cluster.kill(w, ms);
            }
        });
        calls(step, who);
        if (who.size() > 4) {
            cluster.world().in(ms, () -> cluster.trouble("returned", "", 0));
        }
    }

    /** The machines of the first half of the zones. */
    private List<String> half() {
        final Deployment deployment = cluster.place();
        return cluster.nodes().keySet().stream()
                .filter(m -> deployment.cells().indexOf(deployment.cell(m))
                        < deployment.cells().size() / 2)
                .toList();
    }

    /** All origins of a service are replaced, one after the other. */
    private void release(final Scenario.Step step) {
        final String service = step.who().get(0).replaceAll("[0-9]+$", "");
        final List<String> all = cluster.place().origins().stream()
                .filter(o -> o.replaceAll("[0-9]+$", "").equals(service))
                .toList();
        for (int i = 0; i < all.size(); i++) {
            final String o = all.get(i);
            cluster.world()
                    .in(i * step.ms() / all.size(), () -> cluster.origins().replace(o, 2000));
        }
    }

    private void span(final Scenario.Step step, final Runnable on, final Runnable off) {
        cluster.trouble(step.trouble(), "", step.ms());
        on.run();
        cluster.world().in(step.ms(), off);
    }

    private void stream(final Scenario.Step step, final Runnable one) {
        final int n = (int) step.size();
        for (int i = 0; i < n; i++) {
            cluster.world().in(i * step.ms() / n, one);
        }
    }

    /** The store loses power and disk in the instant in which a write is answered. */
    private void lose(final Scenario.Step step) {
        final boolean[] hit = {false};
        cluster.operators().state(r -> {
            if (r == 200 && !hit[0] && cluster.losses().bears(who(step))) {
                hit[0] = true;
                who(step).forEach(w -> {
                    if (step.trouble().equals("ack-lose")) {
                        cluster.loseDisk(w, step.ms());
                    } else {
                        cluster.kill(w, step.ms());
                    }
                });
            } else {
                cluster.world().in(300, () -> lose(step));
            }
        });
    }

    private void invalid() {
        cluster.operators().invalid(r -> {
            if (r == 0) {
                missed.add("invalid at " + cluster.world().now());
            } else if (r == 200) {
                missed.add("an invalid configuration was accepted");
            }
        });
    }

    private void origin(final Scenario.Step step, final String name) {
        if (step.trouble().equals("origin-replace")) {
            cluster.origins().replace(name, step.ms());
            return;
        }
        if (step.trouble().equals("origin-reuse")) {
            cluster.origins().reuse(name, step.ms());
            return;
        }
        final SimOrigin origin = cluster.origins().get(name);
        cluster.trouble(step.trouble(), name, step.ms());
        switch (step.trouble()) {
            case "origin-crash" -> {
                origin.kill();
                cluster.world().in(step.ms(), origin::start);
            }
            case "origin-slow" -> fault(origin, "none", (long) step.size(), step.ms());
            case "origin-lose" -> fault(origin, "lose", origin.make().ms(), step.ms());
            case "origin-wrong" -> fault(origin, "wrong", origin.make().ms(), step.ms());
            case "origin-surplus" -> fault(origin, "surplus", origin.make().ms(), step.ms());
            case "origin-swap" -> cluster.origins().swap(name, step.ms());
            default -> {
                origin.leave();
                cluster.world().in(step.ms(), () -> {
                    origin.quit();
                    cluster.world().in(1000, origin::start);
                });
            }
        }
    }

    private void fault(final SimOrigin origin, final String kind, final long slow, final long ms) {
        origin.fault(kind, slow);
        cluster.world().in(ms, origin::heal);
    }
}
