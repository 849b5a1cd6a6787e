package org.rowanvalve.data;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Loop;
import org.rowanvalve.control.Origin;
import org.rowanvalve.control.Service;

/**
 * One request on its way from this node to origins of its service: which origin next, in turn and within the share of the
 * rate, until one has answered. Each send needs an attempt of the request's allowance, each but the first also one of the
 * service's retry budget.
 */
final class OriginDispatch {
    /** How many origins may turn out to be unreachable. */
    private static final int REACH = 6;

    private static final long COME_BACK = 1000;
    /** Refusals that no other node would spare: the reasons that edges see. */
    static final String BUSY = "every origin is busy";

    static final String RATE_SPENT = "the rate of the service is spent";
    private final Sender sender;
    private final OriginRequest order;
    private final Consumer<Sender.Sent> then;
    private final Set<ItemId> tried = new HashSet<>();
    private boolean done;
    private boolean earned;
    private boolean mayHaveRun;
    private int unreachable;
    /** Origins that may have got it. */
    private int reached;
    /** Sends that are under way. */
    private int open;
    /** Attempts for which an origin is being looked for, or which wait for their turn. */
    private int pending;

    OriginDispatch(final Sender sender, final OriginRequest order, final Consumer<Sender.Sent> then) {
        this.sender = sender;
        this.order = order;
        this.then = then;
    }

    OriginRequest order() {
        return order;
    }

    boolean done() {
        return done;
    }

    private Loop loop() {
        return sender.loop();
    }

    /** Whether a refusal for this reason holds for all nodes, so that asking another one is of no use. */
    static boolean noNodeCanSend(final String why) {
        return why.equals(BUSY) || why.equals(RATE_SPENT);
    }

    void begin() {
        attempt(order.extra());
    }

    /** Commits an attempt and sends it; {@code extra}: an origin may have got the request before. */
    private void attempt(final boolean extra) {
        pending++;
        order.attempts().commit(given -> {
            if (!given) {
                pending--;
                none("no attempt is left", COME_BACK);
            } else if (done) {
                abandon("answered", 0);
            } else if (extra && !sender.extra(order.service())) {
                abandon("no extra try is left", COME_BACK);
            } else {
                earned |= extra;
                choose();
            }
        });
    }

    void finish(final Port.Got got, final boolean ran, final long at, final long retry) {
        if (!done) {
            done = true;
            then.accept(new Sender.Sent(got, ran, at, retry));
        }
    }

    /** The committed attempt is not made: nothing of it has left. */
    private void abandon(final String why, final long retry) {
        pending--;
        order.attempts().release();
        none(why, retry);
    }

    private void none(final String why, final long retry) {
        if (open == 0 && pending == 0) {
            final Port.End end = mayHaveRun ? Port.End.LOST : Port.End.NOT_SENT;
            finish(Port.Got.none(end, why), mayHaveRun, loop().now(), retry);
        }
    }

    private Map<ItemId, Origin> untried() {
        final Map<ItemId, Origin> all = sender.view().live(order.service(), loop().now());
        all.keySet().removeAll(tried);
        all.entrySet().removeIf(e -> sender.load().gone(e.getKey(), e.getValue()));
        return all;
    }

    /** Whether it can leave the queue: to an origin with a free slot, or because there is nothing to wait for. */
    private boolean fits() {
        final Map<ItemId, Origin> all = untried();
        return done || all.isEmpty() || sender.load().open(all, loop().now());
    }

    /** For an attempt that is committed: looks for an origin. */
    private void choose() {
        if (done) {
            abandon("answered", 0);
            return;
        }
        final Map<ItemId, Origin> all = untried();
        final Service service = sender.view().service(order.service());
        if (service == null) {
            abandon("the service is no longer configured", 0);
        } else if (all.isEmpty()) {
            abandon("no origin of the service is known or left to try", COME_BACK);
        } else {
            offer(service, all, loop().now());
        }
    }

    private void offer(final Service service, final Map<ItemId, Origin> all, final long now) {
        final Map<ItemId, Long> ages = new HashMap<>();
        all.keySet().forEach(id -> ages.put(id, now - sender.view().since(id)));
        final List<ItemId> ids = sender.load().order(all, ages, now).stream()
                .filter(id -> sender.load().room(id, all.get(id), now))
                .toList();
        if (ids.isEmpty()) {
            queue(all, now);
            return;
        }
        if (service.rate() > 0 || service.ceiling() > 0) {
            sender.demand().add(order.service(), order.shard());
        }
        long soonest = Long.MAX_VALUE;
        for (final ItemId id : ids) {
            final OptionalLong wait = sender.ceiling().take(service, id, order, now);
            if (wait.isPresent() && sender.mayWait()) {
                waitForPace(id, wait.getAsLong());
                return;
            }
            soonest = Math.min(soonest, sender.ceiling().wait(id, now));
        }
        abandon(RATE_SPENT, Math.max(COME_BACK, soonest));
    }

    /** No origin has a free slot: waits its turn, or is refused at once where the turn would come too late. */
    private void queue(final Map<ItemId, Origin> all, final long now) {
        final WaitQueue line = sender.line();
        final double mean = sender.load().mean(all, now);
        final int slots = all.values().stream().mapToInt(Origin::slots).sum();
        final double expected =
                (line.ahead(order.service(), order.rank()) + 1) * mean * sender.senders() / Math.max(1, slots);
        final long most = order.cutoff() - now - (long) mean;
        if (expected > most || line.full(order.service())) {
            abandon(BUSY, (long) Math.max(250, Math.min(COME_BACK, expected)));
            return;
        }
        final WaitQueue.Place mine = line.add(order.service(), order.rank(), this::fits, this::choose);
        loop().after(most, () -> {
            if (line.drop(order.service(), mine)) {
                abandon(BUSY, 250);
            }
        });
    }

    private void waitForPace(final ItemId id, final long wait) {
        if (wait <= 0) {
            go(id);
        } else {
            sender.waiting(1);
            loop().after(wait, () -> {
                sender.waiting(-1);
                go(id);
            });
        }
    }

    private void go(final ItemId id) {
        final Origin to = sender.view().live(order.service(), loop().now()).get(id);
        if (done) {
            abandon("answered", 0);
        } else if (loop().now() >= order.cutoff()) {
            abandon("too late to send", COME_BACK);
        } else if (!sender.right(order.shard(), order.service())) {
            abandon("no held right to send", COME_BACK);
        } else if (to == null) {
            tried.add(id);
            choose();
        } else {
            tried.add(id);
            send(id, to);
        }
    }

    private void send(final ItemId id, final Origin to) {
        pending--;
        open++;
        if (!earned) {
            sender.first(order.service());
        }
        earned = true;
        final boolean extra = order.extra() || reached > 0;
        reached++;
        new OriginAttempt(sender, this, id, to).send(extra);
    }

    /** Not answered for long: what may run more than once is tried elsewhere too, and the first answer counts. */
    void slow() {
        if (!done && !order.once() && pending == 0 && loop().now() < order.cutoff()) {
            attempt(true);
        }
    }

    /** One send has ended, and nothing else of it can come. */
    void closed() {
        open--;
    }

    void ended(final Port.Got got, final ItemId id, final Origin to, final long at) {
        if (got.end() == Port.End.BARRED) {
            barred(got);
            return;
        }
        final boolean once = order.once();
        final boolean ran = got.end() == Port.End.LOST || got.end() == Port.End.BAD;
        mayHaveRun |= ran;
        if (got.end() == Port.End.STRANGE) {
            sender.load().over(id, to);
        }
        if (got.end() != Port.End.WHOLE && got.end() != Port.End.TURNED) {
            sender.load().fail(id, loop().now());
        }
        if (got.end() == Port.End.WHOLE || ran && once) {
            finish(got, true, at, 0);
        } else if (got.end() == Port.End.NOT_SENT) {
            unreached(got, at);
        } else {
            another(got, at);
        }
    }

    /** Nothing left: another origin may be asked at once if only this one may not. */
    private void barred(final Port.Got got) {
        pending++;
        reached--;
        if (sender.right(order.shard(), order.service()) && loop().now() < order.cutoff()) {
            choose();
        } else {
            abandon(got.why(), COME_BACK);
        }
    }

    /** An origin that could not be reached got no request: its attempt is still to be made, and is no extra one. */
    private void unreached(final Port.Got got, final long at) {
        pending++;
        reached--;
        if (loop().now() < order.cutoff() && ++unreachable < REACH) {
            choose();
            return;
        }
        pending--;
        order.attempts().release();
        over(got, at);
    }

    private void another(final Port.Got got, final long at) {
        if (pending > 0) {
            return;
        }
        if (loop().now() >= order.cutoff()) {
            over(got, at);
            return;
        }
        pending++;
        order.attempts().commit(given -> {
            if (!given) {
                pending--;
                over(got, at);
            } else if (done) {
                abandon("answered", 0);
            } else if (!sender.extra(order.service())) {
                pending--;
                order.attempts().release();
                over(got, at);
            } else {
                choose();
            }
        });
    }

    private void over(final Port.Got got, final long at) {
        if (open == 0 && pending == 0) {
            finish(got, mayHaveRun, at, got.end() == Port.End.TURNED ? 250 : COME_BACK);
        }
    }
}
