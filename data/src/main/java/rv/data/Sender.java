package rv.data;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import rv.base.Code;
import rv.base.Event;
import rv.base.ItemId;
import rv.base.Journal;
import rv.base.Loop;
import rv.base.Msg;
import rv.base.NodeId;
import rv.control.Holder;
import rv.control.Origin;
import rv.control.Service;
import rv.control.View;

/** Every request to an origin leaves a shield through here; the right to send is checked at the last moment. */
public final class Sender {
    private static final int ROOM = 256;
    private static final long SOUR = 2000;
    private final NodeId self;
    private final String boot;
    private final Loop loop;
    private final Port port;
    private final View view;
    private final Holder holder;
    private final BooleanSupplier fresh;
    private final Journal journal;
    private final Pacer pacer = new Pacer();
    private final Allow allow = new Allow();
    private final Map<Integer, Set<Job>> live = new HashMap<>();
    private final Map<String, Integer> load = new HashMap<>();
    private final Map<ItemId, Long> sours = new HashMap<>();
    private final Map<String, Map<Integer, Integer>> wishes = new HashMap<>();
    private long serial;
    private int waiting;

    /** {@code ran}: bytes may have reached the origin. */
    public record Sent(Port.Got got, boolean ran, long at, long retryMs) {
    }

    public Sender(final NodeId self, final String boot, final Loop loop, final Port port, final View view, final Holder holder,
                  final BooleanSupplier fresh, final Journal journal) {
        this.self = self;
        this.boot = boot;
        this.loop = loop;
        this.port = port;
        this.view = view;
        this.holder = holder;
        this.fresh = fresh;
        this.journal = journal;
    }

    public void send(final int shard, final Port.Send what, final boolean once, final long cutoff, final Consumer<Sent> then) {
        new Job(shard, what, once, cutoff, then).step();
    }

    private boolean right(final int shard, final String service) {
        return holder.may(shard) && fresh.getAsBoolean() && view.allows(service);
    }

    public int busy() {
        return waiting + live.values().stream().mapToInt(Set::size).sum();
    }

    /** For the holder's fence: in-flight sends get the grace, then their circuits are closed. */
    public void stop(final int shard, final long grace, final Consumer<Boolean> done) {
        if (live.getOrDefault(shard, Set.of()).isEmpty()) {
            done.accept(true);
            return;
        }
        loop.after(grace, () -> {
            new ArrayList<>(live.getOrDefault(shard, Set.of())).forEach(Job::cut);
            done.accept(live.getOrDefault(shard, Set.of()).isEmpty());
        });
    }

    /** An origin that has just failed is asked last for a while; it is tried again by itself. */
    private boolean sour(final ItemId id) {
        return sours.getOrDefault(id, Long.MIN_VALUE) > loop.now();
    }

    private final class Job {
        private final int shard;
        private final Port.Send what;
        private final boolean once;
        private final long cutoff;
        private final Consumer<Sent> then;
        private final Set<ItemId> tried = new HashSet<>();
        private Port.Rope rope;
        private ItemId at;
        private boolean done;
        private int tries;

        Job(final int shard, final Port.Send what, final boolean once, final long cutoff, final Consumer<Sent> then) {
            this.shard = shard;
            this.what = what;
            this.once = once;
            this.cutoff = cutoff;
            this.then = then;
        }

        private void end(final Port.Got got, final boolean ran, final long sent, final long retry) {
            if (!done) {
                done = true;
                then.accept(new Sent(got, ran, sent, retry));
            }
        }

        private void none(final String why, final long retry) {
            end(Port.Got.none(Port.End.NOT_SENT, why), false, loop.now(), retry);
        }

        void step() {
            final Map<ItemId, Origin> all = new HashMap<>(view.live(what.service(), loop.now()));
            all.keySet().removeAll(tried);
            if (all.isEmpty()) {
                none("no origin of the service is known or left to try", 1000);
                return;
            }
            final List<ItemId> ids = new ArrayList<>(all.keySet());
            sours.values().removeIf(t -> t <= loop.now());
            ids.sort(Comparator.comparing((ItemId i) -> sour(i)).thenComparingDouble(i -> weight(i, all.get(i)))
                .thenComparing(Comparator.naturalOrder()));
            final Service s = view.service(what.service());
            if (s == null) {
                none("the service is no longer configured", 0);
                return;
            }
            if (s.rate() > 0) {
                wishes.computeIfAbsent(what.service(), k -> new HashMap<>()).merge(shard, 1, Integer::sum);
            }
            long best = Long.MAX_VALUE;
            for (final ItemId id : ids) {
                final OptionalLong rest = s.rate() <= 0 ? OptionalLong.of(0)
                    : pacer.take(id.name(), s.rate(), share(what.service()), 1, loop.now(), Math.min(800, cutoff - loop.now()));
                if (rest.isPresent() && waiting < ROOM) {
                    hold(id, rest.getAsLong());
                    return;
                }
                best = Math.min(best, pacer.wait(id.name(), loop.now()));
            }
            none("the rate of the service is spent", Math.max(1000, best));
        }

        private double weight(final ItemId id, final Origin o) {
            return load.getOrDefault(id.name(), 0) + o.load();
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
            final Origin to = view.live(what.service(), loop.now()).get(id);
            if (loop.now() >= cutoff) {
                none("too late to send", 1000);
                return;
            }
            if (!right(shard, what.service())) {
                none("no held right to send", 1000);
                return;
            }
            if (to == null) {
                tried.add(id);
                step();
                return;
            }
            at = id;
            tried.add(id);
            load.merge(id.name(), 1, Integer::sum);
            live.computeIfAbsent(shard, k -> new HashSet<>()).add(this);
            final long sent = loop.now();
            final Port.Send out = new Port.Send(what.service(), what.method(), what.path(), self.text() + "-" + boot + "-" + ++serial,
                what.key(), what.body(), what.type(), cutoff - sent);
            journal.add(Event.of(Code.ORIGIN_SEND, "shard", shard, "token", holder.token(shard).toString(), "service",
                what.service(), "origin", id.name(), "request", out.id(), "extra", tries > 0, "key", what.key() == null ? "" : what.key()));
            if (tries++ == 0) {
                allow.first(what.service(), sent);
            }
            rope = port.send(to, out, () -> right(shard, what.service()) && to.site(view.live(what.service(), loop.now()).get(id))
                && loop.now() < cutoff, got -> back(to, out, sent, got));
        }

        private void back(final Origin to, final Port.Send out, final long sent, final Port.Got raw) {
            if (!leave()) {
                return;
            }
            Port.Got got = raw;
            if (got.end() == Port.End.WHOLE) {
                final String fault = Proof.fault(to, out, got.heads(), got.body());
                if (!fault.isEmpty()) {
                    got = Port.Got.none(Port.End.BAD, fault);
                }
            }
            if (got.end() == Port.End.BAD || got.end() == Port.End.STRANGE) {
                journal.add(Event.of(got.end() == Port.End.BAD ? Code.ORIGIN_BAD : Code.ORIGIN_STRANGE, "origin", at.name(),
                    "request", out.id(), "why", got.why()));
            }
            if (got.end() == Port.End.BARRED) {
                again(got);
                return;
            }
            final boolean ran = got.end() == Port.End.LOST || got.end() == Port.End.BAD;
            if (got.end() == Port.End.WHOLE) {
                sours.remove(at);
            } else {
                sours.put(at, loop.now() + SOUR);
            }
            if (got.end() == Port.End.WHOLE || ran && once) {
                end(got, true, sent, 0);
            } else if (tries < 3 && loop.now() < cutoff && allow.extra(what.service(), loop.now(), senders())) {
                step();
            } else {
                end(got, ran, sent, 1000);
            }
        }

        /** Nothing left: another origin may be asked at once if only this one may not. */
        private void again(final Port.Got got) {
            if (right(shard, what.service()) && loop.now() < cutoff) {
                step();
            } else {
                none(got.why(), 1000);
            }
        }

        private boolean leave() {
            final boolean was = live.getOrDefault(shard, Set.of()).remove(this);
            if (was) {
                load.merge(at.name(), -1, Integer::sum);
            }
            return was;
        }

        void cut() {
            if (leave()) {
                rope.cut();
                end(Port.Got.none(Port.End.LOST, "right to send ended"), true, loop.now(), 1000);
            }
        }
    }

    /** This holder's part of a store's rate: the weights of the shards it may fill. */
    private double share(final String service) {
        int sum = 0;
        for (final int s : holder.leases().keySet()) {
            if (holder.may(s)) {
                sum += view.plan().weight(service, s);
            }
        }
        return sum / (double) rv.control.Plan.WHOLE;
    }

    /** What was wanted since this was last asked. */
    public List<Msg.Wish> wishes() {
        final List<Msg.Wish> list = new ArrayList<>();
        wishes.forEach((service, by) -> by.forEach((shard, n) -> list.add(new Msg.Wish(service, shard, n))));
        wishes.clear();
        return list;
    }

    private int senders() {
        return (int) view.plan().parts().stream().map(rv.control.Plan.Part::owner).distinct().count();
    }
}
