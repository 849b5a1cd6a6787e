package rv.rig.sim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import rv.base.ItemId;
import rv.base.Kind;
import rv.control.Json;
import rv.rig.Log;
import rv.rig.Place;
import rv.rig.Script;

/** Brings a script's troubles about in the simulator. A trouble that could not be brought about fails the run. */
public final class Play {
    private final Town town;
    private final Script script;
    private final List<String> missed = new ArrayList<>();

    public Play(final Script script, final long seed) {
        this.script = script;
        this.town = new Town(script.place(), seed);
    }

    public Town town() {
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
                list.add(town.boss().isEmpty() ? "st1" : town.boss());
            } else {
                list.add(w);
            }
        }
        return list;
    }

    private void bring(final Script.Step s) {
        switch (s.trouble()) {
            case "kill", "power" -> power(who(s), s.ms());
            case "restart" -> who(s).stream().filter(w -> town.node(w).alive()).forEach(w -> town.restart(w, s.ms()));
            case "lose-disk" -> who(s).forEach(w -> town.loseDisk(w, s.ms()));
            case "blackout" -> who(s).forEach(w -> town.blackout(w, s.ms()));
            case "ack-lose" -> lose(s);
            case "freeze" -> who(s).forEach(w -> town.freeze(w, s.ms()));
            case "stall" -> who(s).forEach(w -> town.stall(w, s.ms()));
            case "full" -> who(s).forEach(w -> town.full(w, s.ms()));
            case "cut" -> town.cut(who(s), s.ms());
            case "drift" -> who(s).forEach(w -> town.drift(w, s.size(), s.ms()));
            case "slow" -> span(s, () -> town.net().slow((long) s.size()), () -> town.net().slow(0));
            case "loss" -> span(s, () -> town.net().loss(s.size()), () -> town.net().loss(0));
            case "surge" -> span(s, () -> town.crowd().factor(s.size()), () -> town.crowd().factor(1));
            case "purges" -> stream(s, this::purge);
            case "storm" -> stream(s, this::state);
            case "invalid" -> invalid();
            default -> s.who().forEach(w -> origin(s, w));
        }
    }

    private void power(final List<String> who, final long ms) {
        who.forEach(w -> town.kill(w, ms));
        if (who.size() > 4) {
            town.world().in(ms, () -> town.trouble("returned", "", 0));
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

    private void purge() {
        final List<Place.Way> ways = town.place().ways().stream().filter(w -> w.mode().equals("cached") && w.purgeable()).toList();
        final Place.Way w = ways.get(town.world().dice().nextInt(ways.size()));
        town.staff().purge(w.route(), w.prefix() + town.world().dice().nextInt(w.objects()));
    }

    private void state() {
        state(r -> { });
    }

    /** The store loses power and disk in the instant in which a write is answered. */
    private void lose(final Script.Step s) {
        final boolean[] hit = {false};
        state(r -> {
            if (r.status() == 200 && !hit[0]) {
                hit[0] = true;
                who(s).forEach(w -> town.loseDisk(w, s.ms()));
            } else {
                town.world().in(300, () -> lose(s));
            }
        });
    }

    private void state(final java.util.function.Consumer<rv.control.Clerk.Said> then) {
        final Place.Kin k = town.place().kin().get(town.world().dice().nextInt(town.place().kin().size()));
        final Map<String, Object> body = k.rate() > 0 ? Log.row("kind", k.kind(), "rate", k.rate()) : Log.row("kind", k.kind());
        body.put("cutoffMs", 1500 + town.world().dice().nextInt(1000));
        town.staff().put("put", new ItemId(Kind.SERVICE, k.service()), Json.text(body), Map.of("service", k.service(), "rate", k.rate()), then);
    }

    private void invalid() {
        final SimNode at = town.any();
        if (at == null) {
            missed.add("invalid at " + town.world().now());
            return;
        }
        final byte[] bad = "{\"routes\":{\"x\":{\"prefix\":\"/x/\",\"service\":\"nobody\",\"mode\":\"cached\",\"lifetimeMs\":-1}}}".getBytes(StandardCharsets.UTF_8);
        final long t = town.world().now();
        at.post(() -> at.node().clerk().apply(bad, s -> {
            town.log().add(Log.row("log", "op", "t", t, "end", town.world().now(), "what", "invalid", "status", s.status()));
            if (s.status() == 200) {
                missed.add("an invalid configuration was accepted");
            }
        }));
    }

    private void origin(final Script.Step s, final String name) {
        if (s.trouble().equals("origin-replace")) {
            town.replace(name, s.ms());
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
            case "origin-lose" -> fault(o, "lose", 3, s.ms());
            case "origin-wrong" -> fault(o, "wrong", 3, s.ms());
            case "origin-swap" -> swap(o, s.ms());
            default -> {
                o.leave();
                town.world().in(s.ms(), () -> {
                    o.kill();
                    town.world().in(1000, o::start);
                });
            }
        }
    }

    private void fault(final SimOrigin o, final String kind, final long slow, final long ms) {
        o.fault(kind, slow);
        town.world().in(ms, () -> o.fault("none", 3));
    }

    /** The origin dies without a word and its address answers as another service. */
    private void swap(final SimOrigin o, final long ms) {
        o.kill();
        final SimOrigin other = new SimOrigin(town.world(), town.log(), "stranger", "content", new rv.rig.Stock("stranger"), o.host(), () -> null);
        other.start();
        town.yard().move(o.host(), other);
        town.world().in(ms, () -> {
            other.kill();
            town.yard().move(o.host(), o);
            o.start();
        });
    }
}
