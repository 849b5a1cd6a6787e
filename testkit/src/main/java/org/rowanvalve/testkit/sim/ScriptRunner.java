package org.rowanvalve.testkit.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.rowanvalve.testkit.Place;
import org.rowanvalve.testkit.Script;

/** Brings a script's troubles about in the simulator. A trouble that could not be brought about fails the run. */
public final class ScriptRunner {
    private final SimCluster town;
    private final Script script;
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

    private final CoreTroubles core;
    private final List<String> missed = new ArrayList<>();
    private int open;
    private long over;

    public ScriptRunner(final Script script, final long seed) {
        this.script = script;
        this.town = new SimCluster(script.place(), seed);
        this.core = new CoreTroubles(town);
    }

    public SimCluster town() {
        return town;
    }

    public List<String> missed() {
        return missed;
    }

    /** A script with a closing fault goes on until all its troubles are over, then for {@link #AFTER_MS} more. */
    public List<Map<String, Object>> run() {
        town.open();
        final long zero = town.world().now();
        open = script.steps().size();
        script.steps().forEach(s -> town.world().at(zero + s.at(), () -> whenBearable(s)));
        town.run(script.seconds() * 1000);
        if (!script.closing().isEmpty()) {
            final long latest = zero + LONGEST_MS;
            while (town.world().now() < latest
                    && (open > 0 || town.world().now() < over || !town.losses().clear())) {
                town.run(LOOK_MS);
            }
            town.operators().state(status -> script.closing().forEach(this::bring));
            town.run(AFTER_MS);
        }
        if (open > 0) {
            missed.add(open + " troubles still waited for their turn at the end");
        }
        return town.close();
    }

    private List<String> who(final Script.Step s) {
        final List<String> list = new ArrayList<>();
        for (final String w : s.who()) {
            switch (w) {
                case "all" -> list.addAll(town.nodes().keySet());
                case "shields", "edges" ->
                    town.nodes().keySet().stream()
                            .filter(n -> n.startsWith(w.substring(0, 2)))
                            .forEach(list::add);
                case "authority" -> list.add(town.boss().isEmpty() ? anyOf("sh") : town.boss());
                case "acker" -> list.add(town.orderOperator().lastAcknowledger());
                case "seed" -> list.addAll(town.seeds().subList(0, 1));
                default -> list.add(w);
            }
        }
        return Script.ORIGINS.contains(s.trouble())
                ? list
                : list.stream().map(this::present).distinct().toList();
    }

    /** The machine in that one's place; another of its kind where none came. */
    private String present(final String name) {
        return town.present(name)
                .filter(town.nodes()::containsKey)
                .orElseGet(() -> anyOf(name.isEmpty() ? "sh" : name.substring(0, 2)));
    }

    private String anyOf(final String kind) {
        if (!town.place().shieldRun()) {
            return town.place().electors().get(0);
        }
        return town.nodes().keySet().stream()
                .filter(n -> n.startsWith(kind))
                .findFirst()
                .orElseThrow();
    }

    /** A trouble that would lose more counted machines at once than the place bears waits its turn. */
    private void whenBearable(final Script.Step s) {
        final boolean alone = ALONE.contains(s.trouble());
        if (alone
                ? !town.losses().clear()
                : LOSING.contains(s.trouble()) && !town.losses().bears(who(s))) {
            town.world().in(LOOK_MS, () -> whenBearable(s));
            return;
        }
        over = Math.max(over, town.world().now() + s.ms());
        if (!PHASED.contains(s.trouble())) {
            open--;
        }
        bring(s);
    }

    private void bring(final Script.Step s) {
        switch (s.trouble()) {
            case "kill", "power" -> down(who(s), s);
            case "restart" -> who(s).stream().filter(w -> town.node(w).alive()).forEach(w -> town.restart(w, s.ms()));
            case "lose-disk" -> who(s).forEach(w -> town.loseDisk(w, s.ms()));
            case "blackout" -> town.blackout(who(s), s.ms());
            case "ack-lose", "ack-kill" -> lose(s);
            case "herd" -> {
                down(shields(), s);
                town.world().in(s.ms(), () -> town.trouble("returned", "", 0));
            }
            case "halves" -> town.cut(half(), s.ms());
            case "race" -> stream(s, () -> town.orderOperator().race());
            case "release" -> release(s);
            case "freeze" -> {
                final List<String> who = who(s);
                who.forEach(w -> town.freeze(w, s.ms()));
                calls(s, who);
            }
            case "cut" -> {
                final List<String> who = who(s);
                town.cut(who, s.ms());
                calls(s, who);
            }
            case "drift" -> who(s).forEach(w -> town.drift(w, s.size(), s.ms()));
            case "slow" ->
                span(s, () -> town.net().slow((long) s.size()), () -> town.net().slow(0));
            case "loss" ->
                span(s, () -> town.net().loss(s.size()), () -> town.net().loss(0));
            case "surge" ->
                span(s, () -> town.crowd().factor(s.size()), () -> town.crowd().factor(1));
            case "purges" -> stream(s, town.operators()::purge);
            case "storm" -> stream(s, () -> town.operators().state(r -> {}));
            case "invalid" -> invalid();
            case "stall", "full", "disk-slow" -> who(s).forEach(w -> disk(s, w));
            case "clock-step" -> who(s).forEach(w -> core.stepClock(w, s.how("back") ? -s.size() : s.size(), s.ms()));
            case "ack-lost" ->
                span(
                        s,
                        () -> town.orderOperator().loseAnswers(s.size()),
                        () -> town.orderOperator().loseAnswers(0));
            case "reset-conns" -> core.resetCircuits(who(s), s.size());
            case "seed-turnover" -> core.turnSeeds(s.who().isEmpty() ? core.otherSeeds() : who(s));
            case "core-cut" -> {
                final List<String> who = who(s);
                core.coreCut(who, s);
                calls(s, who);
            }
            case "replace-core" -> core.replace(who(s).get(0), s, this::done);
            case "roll" -> core.roll(who(s), s, this::done);
            case "after-ack-kill", "after-ack-wipe" -> core.afterAck(s, this::done);
            default -> s.who().forEach(w -> origin(s, w));
        }
    }

    private void done() {
        open--;
        over = Math.max(over, town.world().now());
    }

    private void disk(final Script.Step s, final String name) {
        switch (s.trouble()) {
            case "stall" -> town.stall(name, s.ms());
            case "full" -> town.full(name, s.ms());
            default -> core.slowDisk(name, s.size(), s.ms());
        }
    }

    /** Changes that are sent to the machines in trouble: while they are cut off, and as they return. */
    private void calls(final Script.Step s, final List<String> who) {
        if (s.how().stream().anyMatch(Script.CALLS::contains)) {
            final List<String> shields =
                    who.stream().filter(w -> w.startsWith("sh")).toList();
            if (s.trouble().endsWith("cut")) {
                core.callDuring(shields, s.ms(), s.how());
            }
            core.callAtReturn(shields, s.ms(), s.how());
        }
    }

    private List<String> shields() {
        return town.nodes().keySet().stream()
                .filter(n -> n.startsWith("sh") || n.startsWith("st"))
                .toList();
    }

    private void down(final List<String> who, final Script.Step s) {
        final long ms = s.ms();
        who.forEach(w -> {
            if (s.trouble().equals("power")) {
                town.power(w, ms);
            } else {
                town.kill(w, ms);
            }
        });
        calls(s, who);
        if (who.size() > 4) {
            town.world().in(ms, () -> town.trouble("returned", "", 0));
        }
    }

    /** The machines of the first half of the zones. */
    private List<String> half() {
        final Place p = town.place();
        return town.nodes().keySet().stream()
                .filter(m -> p.cells().indexOf(p.cell(m)) < p.cells().size() / 2)
                .toList();
    }

    /** All origins of a service are replaced, one after the other. */
    private void release(final Script.Step s) {
        final String service = s.who().get(0).replaceAll("[0-9]+$", "");
        final List<String> all = town.place().origins().stream()
                .filter(o -> o.replaceAll("[0-9]+$", "").equals(service))
                .toList();
        for (int i = 0; i < all.size(); i++) {
            final String o = all.get(i);
            town.world().in(i * s.ms() / all.size(), () -> town.origins().replace(o, 2000));
        }
    }

    private void span(final Script.Step s, final Runnable on, final Runnable off) {
        town.trouble(s.trouble(), "", s.ms());
        on.run();
        town.world().in(s.ms(), off);
    }

    private void stream(final Script.Step s, final Runnable one) {
        final int n = (int) s.size();
        for (int i = 0; i < n; i++) {
            town.world().in(i * s.ms() / n, one);
        }
    }

    /** The store loses power and disk in the instant in which a write is answered. */
    private void lose(final Script.Step s) {
        final boolean[] hit = {false};
        town.operators().state(r -> {
            if (r == 200 && !hit[0] && town.losses().bears(who(s))) {
                hit[0] = true;
                who(s).forEach(w -> {
                    if (s.trouble().equals("ack-lose")) {
                        town.loseDisk(w, s.ms());
                    } else {
                        town.kill(w, s.ms());
                    }
                });
            } else {
                town.world().in(300, () -> lose(s));
            }
        });
    }

    private void invalid() {
        town.operators().invalid(r -> {
            if (r == 0) {
                missed.add("invalid at " + town.world().now());
            } else if (r == 200) {
                missed.add("an invalid configuration was accepted");
            }
        });
    }

    private void origin(final Script.Step s, final String name) {
        if (s.trouble().equals("origin-replace")) {
            town.origins().replace(name, s.ms());
            return;
        }
        if (s.trouble().equals("origin-reuse")) {
            town.origins().reuse(name, s.ms());
            return;
        }
        final SimOrigin o = town.origins().get(name);
        town.trouble(s.trouble(), name, s.ms());
        switch (s.trouble()) {
            case "origin-crash" -> {
                o.kill();
                town.world().in(s.ms(), o::start);
            }
            case "origin-slow" -> fault(o, "none", (long) s.size(), s.ms());
            case "origin-lose" -> fault(o, "lose", o.make().ms(), s.ms());
            case "origin-wrong" -> fault(o, "wrong", o.make().ms(), s.ms());
            case "origin-surplus" -> fault(o, "surplus", o.make().ms(), s.ms());
            case "origin-swap" -> town.origins().swap(name, s.ms());
            default -> {
                o.leave();
                town.world().in(s.ms(), () -> {
                    o.quit();
                    town.world().in(1000, o::start);
                });
            }
        }
    }

    private void fault(final SimOrigin o, final String kind, final long slow, final long ms) {
        o.fault(kind, slow);
        town.world().in(ms, o::heal);
    }
}
