package rv.data;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import rv.base.Code;
import rv.base.Event;
import rv.base.ItemId;
import rv.base.Journal;
import rv.base.Loop;
import rv.base.Msg;
import rv.base.Net;
import rv.base.NodeId;
import rv.control.ConfigView;
import rv.control.Holder;
import rv.control.Origin;
import rv.control.Service;

/** Every request to an origin leaves a shield through here; the right to send is checked at the last moment. */
public final class Sender {
    private static final int ROOM = 256;
    private static final int REACH = 6;
    /** The parts of a ceiling for holders' fills, for what shields pass through, and for edges that hear no shield. */
    private static final double FILLS = 0.55;

    private static final double PASSED = 0.1;
    private static final double ALONE = 0.35;
    private final Setup setup;
    private final Loop loop;
    private final Port port;
    private final ConfigView view;
    private final Holder holder;
    private final Ties ties;
    private final Journal journal;
    private final RateLimiter pacer = new RateLimiter();
    private final RetryBudget allow;
    private final OriginLoad pool;
    private final LoadExchange gossip;
    private final WaitQueue line = new WaitQueue();
    private final Map<Integer, Set<Job.Leg>> live = new HashMap<>();
    private final SendDemand wishes = new SendDemand();
    private long serial;
    private int waiting;

    /** {@code ran}: bytes may have reached the origin. */
    public record Sent(Port.Got got, boolean ran, long at, long retryMs) {}

    /** {@code alone}: no majority can be heard from; {@code peers}: the other shields; {@code edges}: how many there are. */
    public record Ties(BooleanSupplier fresh, BooleanSupplier alone, Supplier<List<NodeId>> peers, IntSupplier edges) {}

    public Sender(
            final Setup setup,
            final Loop loop,
            final Net net,
            final Port port,
            final ConfigView view,
            final Holder holder,
            final Ties ties,
            final Journal journal) {
        this.setup = setup;
        this.loop = loop;
        this.port = port;
        this.view = view;
        this.holder = holder;
        this.ties = ties;
        this.journal = journal;
        this.allow = new RetryBudget(0, 0);
        reload();
        this.pool = new OriginLoad(setup.self().cell());
        this.gossip = new LoadExchange(loop, net, pool, ties.peers());
        loop.every(LoadExchange.EACH, () -> view.serviceNames().forEach(this::drain));
    }

    /** Takes the bounds on extra tries from the settings that hold now; an edge has none of its own. */
    void reload() {
        if (!setup.is(rv.base.Role.EDGE)) {
            allow.limits(setup.share(), setup.slack());
        }
    }

    public void send(final OriginRequest order, final Consumer<Sent> then) {
        new Job(order, then).step();
    }

    private boolean right(final int shard, final String service) {
        if (shard == OriginRequest.NONE) {
            return (ties.fresh().getAsBoolean() || ties.alone().getAsBoolean()) && view.allows(service);
        }
        return holder.may(shard) && ties.fresh().getAsBoolean() && view.allows(service);
    }

    public int busy() {
        return waiting
                + line.size()
                + live.values().stream().mapToInt(Set::size).sum();
    }

    /** For the holder's fence: in-flight sends get the grace, then their circuits are closed. */
    public void stop(final int shard, final long grace, final Consumer<Boolean> done) {
        if (live.getOrDefault(shard, Set.of()).isEmpty()) {
            done.accept(true);
            return;
        }
        loop.after(grace, () -> {
            new ArrayList<>(live.getOrDefault(shard, Set.of())).forEach(Job.Leg::cut);
            done.accept(live.getOrDefault(shard, Set.of()).isEmpty());
        });
    }

    /** Another shield's requests at origins. */
    public void told(final NodeId from, final Msg.Busy b) {
        pool.told(from, b.counts(), loop.now());
        view.serviceNames().forEach(this::drain);
    }

    private void drain(final String service) {
        for (WaitQueue.Place p = line.next(service); p != null; p = line.next(service)) {
            p.go().run();
        }
    }

    private final class Job {
        private final OriginRequest order;
        private final Consumer<Sent> then;
        private final Set<ItemId> tried = new HashSet<>();
        private boolean done;
        private boolean counted;
        private boolean ranAny;
        private int tries;
        private int reached;
        private int legs;

        Job(final OriginRequest order, final Consumer<Sent> then) {
            this.order = order;
            this.then = then;
        }

        private void end(final Port.Got got, final boolean ran, final long sent, final long retry) {
            if (!done) {
                done = true;
                then.accept(new Sent(got, ran, sent, retry));
            }
        }

        private void none(final String why, final long retry) {
            if (legs == 0) {
                end(Port.Got.none(ranAny ? Port.End.LOST : Port.End.NOT_SENT, why), ranAny, loop.now(), retry);
            }
        }

        private Map<ItemId, Origin> untried() {
            final Map<ItemId, Origin> all = view.live(order.service(), loop.now());
            all.keySet().removeAll(tried);
            all.entrySet().removeIf(e -> pool.gone(e.getKey(), e.getValue()));
            return all;
        }

        /** Whether it can leave the line: to an origin with a free slot, or because there is nothing to wait for. */
        private boolean fits() {
            final Map<ItemId, Origin> all = untried();
            return done || all.isEmpty() || pool.open(all, loop.now());
        }

        void step() {
            if (done) {
                return;
            }
            final Map<ItemId, Origin> all = untried();
            final long now = loop.now();
            final Service s = view.service(order.service());
            if (s == null) {
                none("the service is no longer configured", 0);
            } else if (all.isEmpty()) {
                none("no origin of the service is known or left to try", 1000);
            } else if (order.extra() && !counted && !allow.extra(order.service(), now, senders())) {
                none("no extra try is left", 1000);
            } else {
                counted |= order.extra();
                offer(s, all, now);
            }
        }

        private void offer(final Service s, final Map<ItemId, Origin> all, final long now) {
            final Map<ItemId, Long> ages = new HashMap<>();
            all.keySet().forEach(id -> ages.put(id, now - view.since(id)));
            final List<ItemId> ids = pool.order(all, ages, now).stream()
                    .filter(id -> pool.room(id, all.get(id), now))
                    .toList();
            if (ids.isEmpty()) {
                queue(all, now);
                return;
            }
            if (s.rate() > 0 || s.ceiling() > 0) {
                wishes.add(order.service(), order.shard());
            }
            long best = Long.MAX_VALUE;
            for (final ItemId id : ids) {
                final OptionalLong rest = pace(s, id, now);
                if (rest.isPresent() && waiting < ROOM) {
                    hold(id, rest.getAsLong());
                    return;
                }
                best = Math.min(best, pacer.wait(id.name(), now));
            }
            none("the rate of the service is spent", Math.max(1000, best));
        }

        private OptionalLong pace(final Service s, final ItemId id, final long now) {
            final long most = Math.min(800, order.cutoff() - now);
            if (s.ceiling() > 0) {
                final boolean loose = order.shard() == OriginRequest.NONE;
                final double part = setup.is(rv.base.Role.EDGE)
                        ? ALONE / ties.edges().getAsInt()
                        : loose ? PASSED / senders() : FILLS * share(order.service());
                return pacer.take(order.service() + (loose ? "/pass" : "/fill"), s.ceiling(), part, 1, now, most);
            }
            return s.rate() <= 0
                    ? OptionalLong.of(0)
                    : pacer.take(id.name(), s.rate(), share(order.service()), 1, now, most);
        }

        /** No origin has a free slot: waits its turn, or is refused at once where the turn would come too late. */
        private void queue(final Map<ItemId, Origin> all, final long now) {
            final double mean = pool.mean(all, now);
            final int slots = all.values().stream().mapToInt(Origin::slots).sum();
            final double est = (line.ahead(order.service(), order.rank()) + 1) * mean * senders() / Math.max(1, slots);
            final long most = order.cutoff() - now - (long) mean;
            if (est > most || line.full(order.service())) {
                none("every origin is busy", (long) Math.max(250, Math.min(1000, est)));
                return;
            }
            final WaitQueue.Place mine = line.add(order.service(), order.rank(), this::fits, this::step);
            loop.after(most, () -> {
                if (line.drop(order.service(), mine)) {
                    none("every origin is busy", 250);
                }
            });
        }

        private void hold(final ItemId id, final long rest) {
            if (rest <= 0) {
                go(id);
            } else {
                waiting++;
                loop.after(rest, () -> {
                    waiting--;
                    go(id);
                });
            }
        }

        private void go(final ItemId id) {
            final Origin to = view.live(order.service(), loop.now()).get(id);
            if (loop.now() >= order.cutoff()) {
                none("too late to send", 1000);
            } else if (!right(order.shard(), order.service())) {
                none("no held right to send", 1000);
            } else if (to == null) {
                tried.add(id);
                step();
            } else {
                tried.add(id);
                new Leg(id, to).send();
            }
        }

        /** One origin that this request is sent to. */
        private final class Leg {
            private final ItemId id;
            private final Origin to;
            private final long at = loop.now();
            private Port.Rope rope;
            private Port.Send out;

            Leg(final ItemId id, final Origin to) {
                this.id = id;
                this.to = to;
            }

            void send() {
                final Port.Send what = order.what();
                final int shard = order.shard();
                final long cutoff = order.cutoff();
                legs++;
                pool.begin(id, at);
                gossip.changed(to);
                live.computeIfAbsent(shard, k -> new HashSet<>()).add(this);
                out = new Port.Send(
                        what.service(),
                        what.method(),
                        what.path(),
                        what.id().isEmpty()
                                ? setup.self().id().text() + "-" + setup.self().boot() + "-" + ++serial
                                : what.id(),
                        what.key(),
                        what.body(),
                        what.type(),
                        cutoff - at,
                        what.heads());
                journal.add(Event.of(
                        Code.ORIGIN_SEND,
                        "shard",
                        shard,
                        "token",
                        shard == OriginRequest.NONE
                                ? "none"
                                : holder.token(shard).toString(),
                        "service",
                        what.service(),
                        "origin",
                        id.name(),
                        "request",
                        out.id(),
                        "extra",
                        tries > 0,
                        "key",
                        what.key() == null ? "" : what.key()));
                if (!counted) {
                    allow.first(what.service(), at);
                }
                counted = true;
                tries++;
                rope = port.send(
                        to,
                        out,
                        () -> right(shard, what.service())
                                && to.site(view.live(what.service(), loop.now()).get(id))
                                && loop.now() < cutoff,
                        this::back);
                loop.after(
                        (long) Math.max(
                                order.once() ? 1000 : 200, (order.once() ? 6 : 4) * pool.mean(Map.of(id, to), at)),
                        this::slow);
            }

            /** Not answered for long: what may run more than once is tried elsewhere too, and the first answer counts. */
            private void slow() {
                if (!done && live.getOrDefault(order.shard(), Set.of()).contains(this)) {
                    pool.fail(id, loop.now());
                    if (!order.once()
                            && tries < order.tries()
                            && loop.now() < order.cutoff()
                            && allow.extra(order.service(), loop.now(), senders())) {
                        step();
                    }
                }
            }

            private void back(final Port.Got raw) {
                if (!leave(raw.end() == Port.End.WHOLE || raw.end() == Port.End.TURNED, raw.load())) {
                    return;
                }
                Port.Got got = raw;
                if (got.end() == Port.End.WHOLE) {
                    final String fault = port.fault(to, out, got);
                    if (!fault.isEmpty()) {
                        got = Port.Got.none(Port.End.BAD, fault);
                    }
                }
                if (got.end() == Port.End.BAD || got.end() == Port.End.STRANGE) {
                    journal.add(Event.of(
                            got.end() == Port.End.BAD ? Code.ORIGIN_BAD : Code.ORIGIN_STRANGE,
                            "origin",
                            id.name(),
                            "request",
                            out.id(),
                            "why",
                            got.why()));
                }
                if (!done) {
                    weigh(got);
                }
                drain(order.service());
            }

            private void weigh(final Port.Got got) {
                if (got.end() == Port.End.BARRED) {
                    again(got);
                    return;
                }
                final boolean once = order.once();
                final boolean ran = got.end() == Port.End.LOST || got.end() == Port.End.BAD;
                ranAny |= ran;
                if (got.end() == Port.End.STRANGE) {
                    pool.over(id, to);
                }
                if (got.end() != Port.End.WHOLE && got.end() != Port.End.TURNED) {
                    pool.fail(id, loop.now());
                }
                if (got.end() == Port.End.WHOLE || ran && once) {
                    end(got, true, at, 0);
                } else if (more(got.end() == Port.End.NOT_SENT)) {
                    step();
                } else if (legs == 0) {
                    end(got, ranAny, at, got.end() == Port.End.TURNED ? 250 : 1000);
                }
            }

            /** An origin that could not be reached got no request: the next one is no extra try. */
            private boolean more(final boolean unreached) {
                if (loop.now() >= order.cutoff()) {
                    return false;
                }
                if (unreached) {
                    tries--;
                    return ++reached < REACH;
                }
                return tries < order.tries() && allow.extra(order.service(), loop.now(), senders());
            }

            /** Nothing left: another origin may be asked at once if only this one may not. */
            private void again(final Port.Got got) {
                if (right(order.shard(), order.service()) && loop.now() < order.cutoff()) {
                    step();
                } else {
                    none(got.why(), 1000);
                }
            }

            private boolean leave(final boolean good, final Port.Load load) {
                final boolean was = live.getOrDefault(order.shard(), Set.of()).remove(this);
                if (was) {
                    legs--;
                    pool.end(id, at, loop.now(), good, load);
                    gossip.changed(to);
                }
                return was;
            }

            void cut() {
                if (leave(false, Port.Load.NONE)) {
                    rope.cut();
                    end(Port.Got.none(Port.End.LOST, "right to send ended"), true, loop.now(), 1000);
                }
            }
        }
    }

    /** This holder's part of a service's rate: the weights of the shards it may fill. */
    private double share(final String service) {
        return holder.leases().keySet().stream()
                        .filter(holder::may)
                        .mapToInt(s -> view.plan().weight(service, s))
                        .sum()
                / (double) rv.control.Plan.WHOLE;
    }

    /** What was wanted since this was last asked. */
    public List<Msg.Wish> wishes() {
        return wishes.take();
    }

    private int senders() {
        return Math.max(1, Math.max(ties.peers().get().size() + 1, (int) view.plan().parts().stream()
                .map(rv.control.Plan.Part::owner)
                .distinct()
                .count()));
    }
}
