package rv.rig.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import rv.rig.Place;
import rv.rig.Script;

/** Brings a script's troubles about in the simulator. A trouble that could not be brought about fails the run. */
public final class ScriptRunner {
    private final SimCluster town;
    private final Script script;
    private final List<String> missed = new ArrayList<>();

    public ScriptRunner(final Script script, final long seed) {
        this.script = script;
        this.town = new SimCluster(script.place(), seed);
    }

    public SimCluster town() {
        return town;
    }

    public List<String> missed() {
        return missed;
    }

    public List<Map<String, Object>> run() {
        town.open();
        final long zero = town.world().now();
        script.steps().forEach(s -> town.world().at(zero + s.at(), () -> bring(s)));
        town.run(script.seconds() * 1000);
        return town.close();
    }

    private List<String> who(final Script.Step s) {
        final List<String> list = new ArrayList<>();
        for (final String w : s.who()) {
            if (w.equals("all")) {
                list.addAll(town.nodes().keySet());
            } else if (w.equals("authority")) {
                list.add(town.boss().isEmpty() ? town.place().electors().get(0) : town.boss());
            } else {
                list.add(w);
            }
        }
        return list;
    }

    private void bring(final Script.Step s) {
        switch (s.trouble()) {
            case "kill", "power" -> down(who(s), s);
            case "restart" -> who(s).stream().filter(w -> town.node(w).alive()).forEach(w -> town.restart(w, s.ms()));
            case "lose-disk" -> who(s).forEach(w -> town.loseDisk(w, s.ms()));
            case "blackout" -> who(s).forEach(w -> town.blackout(w, s.ms()));
            case "ack-lose", "ack-kill" -> lose(s);
            case "herd" -> {
                down(town.place().disks(), s);
                town.world().in(s.ms(), () -> town.trouble("returned", "", 0));
            }
            case "halves" -> town.cut(half(), s.ms());
            case "race" -> stream(s, () -> town.orderOperator().race());
            case "release" -> release(s);
            case "freeze" -> who(s).forEach(w -> town.freeze(w, s.ms()));
            case "stall" -> who(s).forEach(w -> town.stall(w, s.ms()));
            case "full" -> who(s).forEach(w -> town.full(w, s.ms()));
            case "cut" -> town.cut(who(s), s.ms());
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
            default -> s.who().forEach(w -> origin(s, w));
        }
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
        if (who.size() > 4) {
            town.world().in(ms, () -> town.trouble("returned", "", 0));
        }
    }

    /** The machines of the first half of the zones. */
    private List<String> half() {
        final Place p = town.place();
        return p.machines().stream()
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
            if (r == 200 && !hit[0]) {
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
