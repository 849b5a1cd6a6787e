package rv.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import rv.base.Disk;
import rv.base.Item;
import rv.base.ItemId;
import rv.base.Journal;
import rv.base.Kind;
import rv.base.Loop;
import rv.base.Msg;
import rv.base.Net;
import rv.base.NodeId;
import rv.base.Reply;

/**
 * One run of a change of voters over the real voter, writer and electorate: virtual time, disks that outlive a crash, a
 * network on which the message of a stated number, and only that one, meets a fault. Two writers add their marks to one
 * register all the while. What must hold is checked after each event and at the end.
 */
final class VoterChangeModel {
    private static final ItemId REGISTER = new ItemId(Kind.ROUTE, "r");
    private static final long HOP = 5;
    private static final long SYNC = 30;
    private static final long LATE = 250;
    private static final long FOUNDING = 1400;
    private static final long TROUBLE = 600;
    private static final long CALM = 1600;
    private static final int WRITES = 6;

    /** What may happen to a message, or to the node that gets it. */
    enum Fault {
        NONE,
        LOST,
        LATE,
        TWICE,
        CRASH,
        WIPE,
        SENDER_CRASH
    }

    /** {@code heard}: which of the voters the remote writer, and nobody else beside it, exchanges messages with; empty: all. */
    record Scene(List<String> before, List<String> after, List<String> heard, boolean silent) {}

    private record Due(long at, long number, Runnable job) implements Comparable<Due> {
        @Override
        public int compareTo(final Due o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(number, o.number);
        }
    }

    private final Scene scene;
    private final int faulty;
    private final Fault fault;
    private final PriorityQueue<Due> queue = new PriorityQueue<>();
    private final Map<String, Machine> machines = new TreeMap<>();
    private final Map<Long, List<String>> sets = new TreeMap<>();
    private final Map<Long, String> accepted = new TreeMap<>();
    private final List<String> breaches = new ArrayList<>();
    private long now = 1000;
    private long number;
    private int messages;
    private int marks;
    private boolean troubled;

    /** The message number {@code faulty} meets {@code fault}. */
    VoterChangeModel(final Scene scene, final int faulty, final Fault fault) {
        this.scene = scene;
        this.faulty = faulty;
        this.fault = fault;
        sets.put(0L, scene.before());
        final Set<String> voters = new java.util.TreeSet<>(scene.before());
        voters.addAll(scene.after());
        voters.forEach(v -> machines.put(v, new Machine(v, true)));
        List.of("near", "remote").forEach(w -> machines.put(w, new Machine(w, false)));
    }

    /** Runs it all; what was broken. */
    List<String> run() {
        machines.values().forEach(m -> m.start(true));
        runFor(FOUNDING);
        troubled = true;
        at(10, this::change);
        for (int i = 0; i < WRITES; i++) {
            at(40L * i, () -> write("near"));
            at(40L * i + 15, () -> write("remote"));
        }
        runFor(TROUBLE);
        troubled = false;
        runFor(CALM);
        last();
        return breaches;
    }

    int messages() {
        return messages;
    }

    int marks() {
        return accepted.size();
    }

    long epoch() {
        return machines.get("near").electorate.epoch();
    }

    private static NodeId id(final String name) {
        return NodeId.of(name);
    }

    private static List<String> addresses(final List<String> names) {
        return names.stream().map(n -> n + "@10.0.0.1:1").toList();
    }

    private void at(final long after, final Runnable job) {
        queue.add(new Due(now + after, number++, job));
    }

    private void runFor(final long span) {
        final long end = now + span;
        while (!queue.isEmpty() && queue.peek().at() <= end) {
            now = queue.peek().at();
            queue.poll().job().run();
            oneWorkingMajority();
        }
        now = end;
    }

    /** At no moment could majorities of two sets answer. */
    private void oneWorkingMajority() {
        int working = 0;
        for (final Map.Entry<Long, List<String>> set : sets.entrySet()) {
            int voting = 0;
            for (final String v : set.getValue()) {
                voting += machines.get(v).votesIn(set.getKey()) ? 1 : 0;
            }
            working += voting > set.getValue().size() / 2 ? 1 : 0;
        }
        if (working > 1) {
            breach("two sets hold a working majority");
        }
    }

    private void breach(final String what) {
        if (breaches.size() < 3) {
            breaches.add(what + " (message " + faulty + " " + fault + ")");
        }
    }

    private void change() {
        final Machine near = machines.get("near");
        sets.put(1L, scene.after());
        final String body = Json.text(new VoterSet(addresses(scene.after()), addresses(scene.before())));
        near.writer.write(
                ItemId.VOTERS,
                "change",
                900,
                item -> item.ver().n() == 0 ? Optional.of(item.next(body, "change")) : Optional.empty(),
                r -> {});
    }

    /** Adds a mark to what stands. */
    private void write(final String at) {
        final String mark = "m" + ++marks;
        final Machine machine = machines.get(at);
        machine.writer.write(REGISTER, mark, 400, item -> Optional.of(item.next(item.body() + mark + " ", mark)), r -> {
            if (r.ok()) {
                seen(r.item());
            }
        });
    }

    /** An acknowledged version has one value. */
    private void seen(final Item item) {
        final String other = accepted.put(item.ver().n(), item.body());
        if (other != null && !other.equals(item.body())) {
            breach("version " + item.ver().n() + " is " + other + " and " + item.body());
        }
    }

    private void last() {
        final Item[] end = new Item[1];
        machines.get("near").writer.read(REGISTER, 2000, r -> end[0] = r.ok() ? r.item() : null);
        runFor(2100);
        if (end[0] == null) {
            breach("nothing can be read in the end");
            return;
        }
        seen(end[0]);
        accepted.forEach((version, body) -> {
            if (!end[0].body().startsWith(body)) {
                breach("acknowledged and lost: version " + version + " " + body + "of " + end[0].body());
            }
        });
    }

    /** One machine: its disk outlives its process. */
    private final class Machine implements Loop, Net, Disk {
        private final NodeId self;
        private final boolean votes;
        private final Map<String, byte[]> rows = new HashMap<>();
        private Electorate electorate;
        private ItemStore items;
        private Writer writer;
        private Optional<Voter> voter = Optional.empty();
        private boolean alive;
        private int life;

        Machine(final String name, final boolean votes) {
            this.self = id(name);
            this.votes = votes;
        }

        void start(final boolean first) {
            alive = true;
            life++;
            final Journal journal = new Journal(this, 1);
            items = new ItemStore(this, journal);
            final Quorum founding =
                    new Quorum(scene.before().stream().map(VoterChangeModel::id).toList(), Set.of());
            electorate = new Electorate(founding, addresses(scene.before()));
            electorate.connect(this::learn, (to, set) -> tell(List.of(to), new Msg.Learn(List.of(set))));
            electorate.follow(items);
            final StoreHealth health = new StoreHealth(founding, this, journal);
            final List<NodeId> all =
                    machines.keySet().stream().map(VoterChangeModel::id).toList();
            writer = new Writer(
                    self, "b" + life, electorate, this, this, new Random(life), journal, items, () -> all, health);
            if (votes) {
                begin(first, journal);
            }
        }

        private void begin(final boolean first, final Journal journal) {
            final Voter v = new Voter(
                    self,
                    electorate,
                    this,
                    this,
                    new MonitoredDisk(this, this),
                    journal,
                    "b" + life,
                    first,
                    () -> items.all().isEmpty());
            voter = Optional.of(v);
            v.onWhole(() -> items.all().forEach(v::learn));
            v.prefill(items::all);
            try {
                v.start();
            } catch (final rv.base.DiskTrouble e) {
                throw new IllegalStateException(e);
            }
            new WriteRecovery(
                            v,
                            items,
                            writer,
                            this,
                            new Random(life),
                            () -> electorate.voters().indexOf(self))
                    .start();
        }

        void crash(final boolean wiped) {
            alive = false;
            life++;
            voter = Optional.empty();
            if (wiped) {
                rows.clear();
            }
            at(60, () -> {
                if (!alive) {
                    start(false);
                }
            });
        }

        /** Whether this machine answers votes of the epoch. */
        boolean votesIn(final long epoch) {
            return voter.isPresent() && voter.get().votes() && electorate.epoch() == epoch;
        }

        private void learn(final Msg.Chosen c) {
            voter.ifPresent(v -> v.learn(c));
            items.merge(c);
        }

        @Override
        public long now() {
            return now;
        }

        @Override
        public void after(final long ms, final Runnable job) {
            final int mine = life;
            at(ms, () -> {
                if (alive && life == mine) {
                    job.run();
                }
            });
        }

        @Override
        public Map<String, byte[]> load() {
            return new HashMap<>(rows);
        }

        @Override
        public void save(final Map<String, byte[]> some, final Consumer<Boolean> done) {
            after(SYNC, () -> {
                some.forEach((k, v) -> {
                    if (v == null) {
                        rows.remove(k);
                    } else {
                        rows.put(k, v);
                    }
                });
                done.accept(true);
            });
        }

        @Override
        public void ask(final NodeId to, final Msg msg, final long wait, final Consumer<Reply> then) {
            final boolean[] over = new boolean[1];
            final Consumer<Reply> once = r -> {
                if (!over[0]) {
                    over[0] = true;
                    then.accept(r);
                }
            };
            after(wait, () -> once.accept(Reply.lost(Reply.Trouble.NO_ANSWER)));
            final int mine = life;
            final Machine peer = machines.get(to.text());
            carry(
                    this,
                    peer,
                    () -> peer.take(
                            self,
                            msg,
                            answer -> carry(peer, this, () -> {
                                if (life == mine) {
                                    once.accept(Reply.of(answer));
                                }
                            })));
        }

        private void take(final NodeId from, final Msg msg, final Consumer<Msg> back) {
            if (msg instanceof Msg.Learn m) {
                m.list().forEach(this::learn);
                back.accept(new Msg.Ok());
            } else if (voter.isEmpty()) {
                back.accept(new Msg.Nay("no voter"));
            } else if (msg instanceof Msg.Prepare m) {
                voter.get().prepare(m, back);
            } else if (msg instanceof Msg.Accept m) {
                voter.get().accept(m, back);
            } else if (msg instanceof Msg.Reread m) {
                voter.get().reread(m, back);
            } else if (msg instanceof Msg.Handover m) {
                voter.get().handover(from, m, back);
            } else if (msg instanceof Msg.HandoverRecords m) {
                voter.get().handoverRecords(from, m, back);
            }
        }
    }

    /** The remote writer's links are as the scene says while there is trouble. */
    private boolean open(final Machine a, final Machine b) {
        if (!troubled || scene.heard().isEmpty() || a == b) {
            return true;
        }
        final boolean remote = a.self.text().equals("remote") || b.self.text().equals("remote");
        final String other = a.self.text().equals("remote") ? b.self.text() : a.self.text();
        if (remote) {
            return scene.heard().contains(other);
        }
        final String last = scene.heard().get(scene.heard().size() - 1);
        return !scene.silent() || !a.self.text().equals(last) && !b.self.text().equals(last);
    }

    private void carry(final Machine from, final Machine to, final Runnable job) {
        final boolean hit = from != to && troubled && ++messages == faulty;
        final Fault now = hit ? fault : Fault.NONE;
        if (!open(from, to) || now == Fault.LOST) {
            return;
        }
        if (now == Fault.SENDER_CRASH && from.votes) {
            from.crash(false);
        }
        final int life = to.life;
        final Runnable arrive = () -> {
            if (to.alive && to.life == life) {
                job.run();
            }
        };
        at(now == Fault.LATE ? LATE : HOP, () -> {
            if ((now == Fault.CRASH || now == Fault.WIPE) && to.votes && to.alive) {
                to.crash(now == Fault.WIPE);
            }
            arrive.run();
        });
        if (now == Fault.TWICE) {
            at(LATE, arrive);
        }
    }
}
