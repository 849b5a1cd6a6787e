package org.rowanvalve.testkit.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.rowanvalve.common.Finding;
import org.rowanvalve.testkit.Originator;
import org.rowanvalve.testkit.Script;

/** Brings a script's troubles about on processes. */
public final class Drill {
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
    private final Script script;
    private final List<String> missed = new ArrayList<>();
    private final ScheduledExecutorService clock = Executors.newScheduledThreadPool(4);

    @FunctionalInterface
    private interface Act {
        void run() throws Exception;
    }

    public Drill(final Fleet fleet, final Script script) {
        this.fleet = fleet;
        this.script = script;
    }

    /** What only the simulator can bring about is told before anything starts. */
    public static List<Finding> check(final Script s) {
        final List<Finding> list = new ArrayList<>();
        for (int i = 0; i < s.steps().size(); i++) {
            if (!SHOWN.contains(s.steps().get(i).trouble())) {
                list.add(new Finding(
                        "/steps/" + i + "/trouble",
                        s.steps().get(i).trouble() + " can be brought about in the simulator only"));
            }
        }
        return list;
    }

    public List<String> missed() {
        return missed;
    }

    public List<Map<String, Object>> run() throws Exception {
        try {
            script.steps().forEach(s -> in(s.at(), s.trouble(), () -> bring(s)));
            TimeUnit.SECONDS.sleep(script.seconds());
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

    private List<Machine> who(final Script.Step s) throws IOException, InterruptedException {
        final List<Machine> list = new ArrayList<>();
        for (final String w : s.who()) {
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

    private void bring(final Script.Step s) throws Exception {
        switch (s.trouble()) {
            case "kill", "power" -> power(who(s), s.ms(), false);
            case "lose-disk" -> power(who(s), s.ms(), true);
            case "blackout" -> blackout(fleet.machine(s.who().get(0)), s.ms());
            case "ack-lose" -> {
                if (fleet.desk().restateService() != 200) {
                    throw new IOException("no write was accepted");
                }
                power(who(s), s.ms(), true);
            }
            case "full" -> full(who(s), s.ms());
            case "slow" -> {
                fleet.trouble("slow", "", s.ms());
                fleet.relay().slow((int) s.size());
                in(s.ms(), "slow", () -> fleet.relay().slow(0));
            }
            case "restart" -> restart(who(s), s.ms());
            case "freeze" -> freeze(who(s), s.ms());
            case "cut" -> cut(who(s), s.ms());
            case "surge" -> {
                fleet.trouble("surge", "", s.ms());
                fleet.mob().factor(s.size());
                in(s.ms(), "surge", () -> fleet.mob().factor(1));
            }
            case "purges", "storm" -> {
                for (int i = 0; i < s.size(); i++) {
                    in(
                            (long) (i * s.ms() / s.size()),
                            s.trouble(),
                            s.trouble().equals("purges") ? fleet.desk()::purgeAny : fleet.desk()::restateService);
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
                for (final String w : s.who()) {
                    origin(s, w);
                }
            }
        }
    }

    private void power(final List<Machine> list, final long ms, final boolean disk) throws Exception {
        for (final Machine m : list) {
            fleet.trouble("kill", m.name(), ms);
            m.kill();
            if (disk) {
                m.loseDisk();
            }
        }
        in(ms, "start", () -> {
            for (final Machine m : list) {
                start(m);
            }
            if (list.size() > 4) {
                fleet.trouble("returned", "", 0);
            }
        });
    }

    private void blackout(final Machine store, final long ms) throws Exception {
        final List<Machine> all = List.copyOf(fleet.machines().values());
        for (final Machine m : all) {
            fleet.trouble("kill", m.name(), ms);
            m.kill();
        }
        store.loseDisk();
        in(ms, "start", () -> {
            for (final Machine m : all) {
                start(m);
            }
            fleet.trouble("returned", "", 0);
        });
    }

    /** Files of the process can no longer grow past one byte, so that each new journal fails. */
    private void full(final List<Machine> list, final long ms) throws Exception {
        for (final Machine m : list) {
            fleet.trouble("full", m.name(), ms);
            m.limit("1");
            in(ms, "room", () -> m.limit("unlimited"));
        }
    }

    private void start(final Machine m) throws IOException {
        if (!m.alive()) {
            fleet.trouble("start", m.name(), 0);
            m.start();
        }
    }

    private void restart(final List<Machine> list, final long ms) throws Exception {
        for (final Machine m : list) {
            fleet.trouble("restart", m.name(), ms);
            if (!m.stop(12_000)) {
                m.kill();
                throw new IOException(m.name() + " did not stop in time");
            }
            m.build(fleet.bin());
            in(ms, "start", () -> start(m));
        }
    }

    private void freeze(final List<Machine> list, final long ms) throws Exception {
        for (final Machine m : list) {
            fleet.trouble("freeze", m.name(), ms);
            m.signal("STOP");
            in(ms, "wake", () -> m.signal("CONT"));
        }
    }

    private void cut(final List<Machine> list, final long ms) {
        final List<String> side = list.stream().map(Machine::name).toList();
        final long votes =
                side.stream().filter(List.of("st1", "st2", "sh1")::contains).count();
        for (final String n : fleet.machines().keySet()) {
            if (side.contains(n) == votes < 2) {
                fleet.trouble("cut", n, ms);
            }
        }
        for (final String a : side) {
            fleet.machines().keySet().stream().filter(b -> !side.contains(b)).forEach(b -> {
                fleet.relay().cut(a, b);
                fleet.relay().cut(b, a);
            });
        }
        in(ms, "heal", fleet.relay()::heal);
    }

    private void origin(final Script.Step s, final String name) throws Exception {
        final Originator o = fleet.origins().get(name);
        fleet.trouble(s.trouble(), name, s.ms());
        switch (s.trouble()) {
            case "origin-slow" -> fault(o, "none", (long) s.size(), s.ms());
            case "origin-lose" -> fault(o, "lose", 3, s.ms());
            case "origin-wrong" -> fault(o, "wrong", 3, s.ms());
            case "origin-replace" -> {
                final Originator next = fleet.heir(o);
                in(s.ms(), "replaced", () -> {
                    if (!o.leave(10)) {
                        throw new IOException(name + " could not say that it leaves");
                    }
                    in(3000, "gone", o::stop);
                });
                next.start(0);
            }
            case "origin-leave" -> {
                if (!o.leave(10)) {
                    throw new IOException(name + " could not say that it leaves");
                }
                in(s.ms(), "back", () -> again(o));
            }
            case "origin-swap" -> {
                final int port = o.port();
                o.stop();
                o.start(port, "foreign");
                in(s.ms(), "back", () -> again(o));
            }
            default -> {
                o.stop();
                in(s.ms(), "back", () -> o.start(0));
            }
        }
    }

    private static void again(final Originator o) throws Exception {
        o.stop();
        o.start(0);
    }

    private void fault(final Originator o, final String kind, final long slow, final long ms) {
        o.face().fault(kind, slow);
        in(ms, "mend", () -> o.face().fault("none", 3));
    }
}
