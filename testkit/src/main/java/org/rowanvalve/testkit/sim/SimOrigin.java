package org.rowanvalve.testkit.sim;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.rowanvalve.control.operator.ApiResponse;
import org.rowanvalve.data.origin.OriginTransport;
import org.rowanvalve.testkit.log.RunLog;
import org.rowanvalve.testkit.origin.StandInBackend;

/** A stand-in origin on virtual time: the same contract as the one over HTTP. */
public final class SimOrigin {
    private static final long EARLY_END_MS = 700;
    private static final long LATE_BEGIN_MS = 3000;

    private final VirtualTime time;
    private final RunLog log;
    private final String name;
    private final Make make;
    private final StandInBackend backend;
    private final String host;
    private final Supplier<SimNode> any;
    private final Word word;
    private String stamp = "";
    private boolean alive;
    private boolean leaving;
    private String fault = "none";
    private long slow;
    private long beat;
    private long life;
    private int running;
    private OriginTransport.OriginResponse surplus;

    /** {@code slots}: requests it works on at once, 0 where it does not say; {@code ms}: how long one takes. */
    public record Make(String kind, int slots, long ms, String cell) {
        public static Make plain(final String kind) {
            return new Make(kind, 0, 3, "");
        }
    }

    /** How origins tell the network of themselves. */
    interface Word {
        void say(SimNode node, SimOrigin who, String stamp, boolean out, long beat, Consumer<ApiResponse> then);

        /** Its last word: it has ended. */
        void end(SimNode node, String name, String stamp, Consumer<ApiResponse> then);

        /** Whether an end is told at all. */
        boolean tells();

        long rest(VirtualTime time, long beat);
    }

    public SimOrigin(
            final VirtualTime time,
            final RunLog log,
            final String name,
            final Make make,
            final StandInBackend backend,
            final String host,
            final Supplier<SimNode> any,
            final Word word) {
        this.time = time;
        this.log = log;
        this.name = name;
        this.make = make;
        this.slow = make.ms();
        this.backend = backend;
        this.host = host;
        this.any = any;
        this.word = word;
    }

    /** Another machine of the same service, under a name of its own. */
    SimOrigin heir(final String at) {
        return new SimOrigin(
                time, log, name.replaceAll("-r\\d+$", "") + "-r" + time.serial(), make, backend, at, any, word);
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

    public StandInBackend stock() {
        return backend;
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

    public Make make() {
        return make;
    }

    /** One more request here; how many there are now. */
    int enter() {
        return ++running;
    }

    /** The answer of an earlier request in the place of this one. */
    OriginTransport.OriginResponse late(final OriginTransport.OriginResponse own) {
        final OriginTransport.OriginResponse old = surplus == null ? own : surplus;
        surplus = own;
        return old;
    }

    void exit() {
        running = Math.max(0, running - 1);
    }

    public String fault() {
        return fault;
    }

    public void fault(final String what, final long ms) {
        fault = what;
        slow = ms;
    }

    public void heal() {
        fault("none", make.ms());
    }

    public void start() {
        life = time.serial();
        alive = true;
        leaving = false;
        stamp = name + "-" + life;
        beat = 0;
        running = 0;
        round(life);
    }

    public void kill() {
        alive = false;
        life = time.serial();
    }

    private void round(final long mine) {
        if (alive && life == mine && !leaving) {
            announce(false, response -> {});
            time.in(word.rest(time, beat), () -> round(mine));
        }
    }

    public void leave() {
        leaving = true;
        tryLeave(life, 20);
    }

    private void tryLeave(final long mine, final int left) {
        if (life == mine && left > 0) {
            final boolean[] ok = {false};
            announce(true, response -> ok[0] = response.status() == 200);
            time.in(1500, () -> {
                if (!ok[0]) {
                    tryLeave(mine, left - 1);
                } else if (word.tells()) {
                    echo();
                }
            });
        }
    }

    /** It ends, and says so if it can. */
    public void quit() {
        sayEnd();
        kill();
    }

    private void sayEnd() {
        final SimNode node = alive && word.tells() ? any.get() : null;
        if (node != null) {
            final long t = time.now();
            final String mark = stamp;
            node.execute(() -> word.end(node, name, mark, response -> note(t, "leave", mark, node, response)));
        }
    }

    /**
     * It serves for {@code ms}, but says soon after its start that it has ended, and its only heartbeat comes later than
     * that. It gets no requests, unless the heartbeat is taken for a return.
     */
    void startBriefly(final long ms) {
        life = time.serial();
        alive = true;
        leaving = true;
        stamp = name + "-" + life;
        beat = 0;
        running = 0;
        final long mine = life;
        time.in(EARLY_END_MS, this::sayEnd);
        time.in(LATE_BEGIN_MS, () -> announce(false, response -> {}));
        time.in(ms, () -> {
            if (life == mine) {
                kill();
            }
        });
    }

    /** An earlier beat that comes late. */
    private void echo() {
        final SimNode node = any.get();
        if (node != null && beat > 1) {
            final long n = beat - 1;
            final String mark = stamp;
            node.execute(() -> word.say(node, this, mark, false, n, response -> {}));
        }
    }

    private void note(
            final long t, final String what, final String mark, final SimNode node, final ApiResponse response) {
        log.add(RunLog.row(
                "log",
                "op",
                "t",
                t,
                "end",
                time.now(),
                "what",
                what,
                "origin",
                name,
                "service",
                backend.service(),
                "stamp",
                mark,
                "at",
                node.id().text(),
                "status",
                response.status()));
    }

    private void announce(final boolean out, final Consumer<ApiResponse> then) {
        final SimNode node = any.get();
        final long t = time.now();
        final String mark = stamp;
        final long n = ++beat;
        if (node == null) {
            return;
        }
        time.in(1, () -> {
            if (node.alive()) {
                node.execute(() -> word.say(node, this, mark, out, n, response -> {
                    if (out || n == 1) {
                        note(t, out ? "leave" : "announce", mark, node, response);
                    }
                    then.accept(response);
                }));
            }
        });
    }
}
