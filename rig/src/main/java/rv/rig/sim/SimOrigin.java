package rv.rig.sim;

import java.util.function.Consumer;
import java.util.function.Supplier;
import rv.control.Clerk;
import rv.control.Json;
import rv.rig.Log;
import rv.rig.Stock;

/** A stand-in origin on virtual time: the same contract as the one over HTTP. */
public final class SimOrigin {
    private final World world;
    private final Log log;
    private final String name;
    private final String kind;
    private final Stock stock;
    private final String host;
    private final Supplier<SimNode> any;
    private String stamp = "";
    private boolean alive;
    private boolean leaving;
    private String fault = "none";
    private long slow = 3;
    private long beat;
    private long life;

    public SimOrigin(final World world, final Log log, final String name, final String kind, final Stock stock, final String host,
                     final Supplier<SimNode> any) {
        this.world = world;
        this.log = log;
        this.name = name;
        this.kind = kind;
        this.stock = stock;
        this.host = host;
        this.any = any;
    }

    /** Another machine of the same service, under a name of its own. */
    SimOrigin heir(final String at) {
        return new SimOrigin(world, log, name.replaceAll("-r\\d+$", "") + "-r" + world.serial(), kind, stock, at, any);
    }

    public String name() {
        return name;
    }

    public String host() {
        return host;
    }

    public String stamp() {
        return stamp;
    }

    public Stock stock() {
        return stock;
    }

    public boolean alive() {
        return alive;
    }

    public long life() {
        return life;
    }

    public long slow() {
        return slow;
    }

    public String fault() {
        return fault;
    }

    public void fault(final String what, final long ms) {
        fault = what;
        slow = ms;
    }

    public void start() {
        life = world.serial();
        alive = true;
        leaving = false;
        stamp = name + "-" + life;
        beat = 0;
        round(life);
    }

    public void kill() {
        alive = false;
        life = world.serial();
    }

    private void round(final long mine) {
        if (alive && life == mine && !leaving) {
            announce(false, s -> { });
            world.in(beat == 1 ? 500 : 2500 + world.dice().nextInt(500), () -> round(mine));
        }
    }

    public void leave() {
        leaving = true;
        tryLeave(life, 20);
    }

    private void tryLeave(final long mine, final int left) {
        if (life == mine && left > 0) {
            final boolean[] ok = {false};
            announce(true, s -> ok[0] = s.status() == 200);
            world.in(1500, () -> {
                if (!ok[0]) {
                    tryLeave(mine, left - 1);
                }
            });
        }
    }

    private void announce(final boolean out, final Consumer<Clerk.Said> then) {
        final SimNode at = any.get();
        final long t = world.now();
        final String mark = stamp;
        final long n = ++beat;
        final byte[] body = Json.text(Log.row("service", stock.service(), "host", host, "port", 80, "stamp", mark, "kind", kind,
            "load", 0, "ttlMs", 10_000, "leaving", out, "beat", n)).getBytes(java.nio.charset.StandardCharsets.UTF_8);
        if (at == null) {
            return;
        }
        world.in(1, () -> {
            if (at.alive()) {
                at.post(() -> at.node().clerk().announce(name, body, s -> {
                    if (out || n == 1) {
                        log.add(Log.row("log", "op", "t", t, "end", world.now(), "what", out ? "leave" : "announce", "origin", name,
                            "service", stock.service(), "stamp", mark, "status", s.status()));
                    }
                    then.accept(s);
                }));
            }
        });
    }
}
