package rv.rig.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import rv.control.Purge;
import rv.rig.Log;

/** Sends orders and purges to any shield, and repeats them at another one until the answer is clear. */
final class OrderClient {
    private static final int ORDER_TRIES = 12;
    private static final int PURGE_TRIES = 4;
    private static final long PAUSE_MS = 100;
    private static final long NOBODY_UP_MS = 500;
    private static final long SILENCE_MS = 1000;
    private final SimCluster cluster;
    private final List<Order> answered = new ArrayList<>();

    OrderClient(final SimCluster cluster) {
        this.cluster = cluster;
    }

    /** Orders that were answered clearly. */
    List<Order> answered() {
        return answered;
    }

    private World world() {
        return cluster.world();
    }

    /** {@code then} hears the clear status, or 0 where none came. */
    void send(final Order order, final IntConsumer then) {
        final long now = world().now();
        order.items().forEach(item -> cluster.log().add(item.row("sent", now, now, 0)));
        send(order, now, ORDER_TRIES, then);
    }

    /** To another node after a failure or a second of silence, with a pause that grows. */
    private void send(final Order order, final long from, final int left, final IntConsumer then) {
        final SimNode at = cluster.controlNode();
        final boolean[] over = {false};
        final Runnable again = () -> {
            if (over[0]) {
                return;
            }
            over[0] = true;
            if (left == 0) {
                then.accept(0);
            } else {
                world().in(PAUSE_MS * (ORDER_TRIES + 1 - left), () -> send(order, from, left - 1, then));
            }
        };
        if (at == null) {
            world().in(NOBODY_UP_MS, again);
            return;
        }
        final long life = at.life();
        world().in(1, () -> {
            if (at.alive() && at.life() == life) {
                at.post(() -> at.node().orders().patch(order.text(), s -> {
                    if (over[0] || s.status() / 100 == 5) {
                        again.run();
                        return;
                    }
                    over[0] = true;
                    final long end = world().now();
                    order.items().forEach(item -> cluster.log().add(item.row("put", from, end, s.status())));
                    answered.add(order);
                    then.accept(s.status());
                }));
            }
        });
        world().in(SILENCE_MS, again);
    }

    void purge(final Purge what, final Map<String, Object> facts) {
        purge(what, facts, world().now(), PURGE_TRIES);
    }

    private void purge(final Purge what, final Map<String, Object> facts, final long from, final int left) {
        final SimNode at = cluster.controlNode();
        final boolean[] over = {false};
        final Runnable again = () -> {
            if (!over[0]) {
                over[0] = true;
                if (left > 0) {
                    world().in(PAUSE_MS, () -> purge(what, facts, from, left - 1));
                }
            }
        };
        world().in(SILENCE_MS, again);
        if (at == null) {
            return;
        }
        at.post(() -> at.node().orders().purge(what, s -> {
            if (over[0] || s.status() != 200) {
                again.run();
                return;
            }
            over[0] = true;
            final String item = String.valueOf(s.body().get("item")).replace("purge/", "PURGE/");
            final Map<String, Object> row = Log.row(
                    "log",
                    "op",
                    "t",
                    from,
                    "end",
                    world().now(),
                    "what",
                    "purge",
                    "item",
                    item,
                    "status",
                    200,
                    "version",
                    s.body().get("version"));
            row.putAll(facts);
            cluster.log().add(row);
        }));
    }

    /** Once, to any node; where nobody is up, later. */
    void sendOnce(final Supplier<Order> draft, final String what, final IntConsumer then) {
        final SimNode at = cluster.controlNode();
        if (at == null) {
            world().in(NOBODY_UP_MS, () -> sendOnce(draft, what, then));
            return;
        }
        final Order order = draft.get();
        final long t = world().now();
        at.post(() -> at.node().orders().patch(order.text(), s -> {
            cluster.log().add(Log.row("log", "op", "t", t, "end", world().now(), "what", what, "status", s.status()));
            then.accept(s.status());
        }));
    }
}
