package org.rowanvalve.control;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.rowanvalve.common.Disk;
import org.rowanvalve.common.DiskTrouble;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;
import org.rowanvalve.common.Timing;

/** Five processes that take orders, three of them voters with disks, on virtual time; any may end at any message. */
final class OrderCluster {
    static final List<NodeId> IDS =
            List.of("n0", "n1", "n2", "n3", "n4").stream().map(NodeId::of).toList();
    private static final List<NodeId> VOTERS = IDS.subList(0, 3);
    private static final long SYNC = 2;

    final Ticks loop = new Ticks();
    final Random dice;
    /** Every item that was in force anywhere, as {@code ITEM VERSION NOTE}. */
    final Set<String> seen = new HashSet<>();

    private final Map<NodeId, Machine> machines = new TreeMap<>();
    private final Map<NodeId, Map<String, byte[]>> disks = new HashMap<>();
    private final Set<NodeId> cut = new HashSet<>();
    private Optional<NodeId> preferred = Optional.empty();
    private double loss;
    private int boots;

    OrderCluster(final long seed) {
        dice = new Random(seed);
        IDS.forEach(this::start);
        loop.run(4000);
    }

    void prefer(final NodeId id) {
        preferred = Optional.of(id);
    }

    /** A part of all messages, and as many answers, are lost. */
    void lose(final double part) {
        loss = part;
    }

    void cut(final NodeId id) {
        cut.add(id);
    }

    void heal() {
        cut.clear();
    }

    void start(final NodeId id) {
        final Machine m = new Machine(id, ++boots);
        machines.put(id, m);
        m.start();
    }

    boolean alive(final NodeId id) {
        return machines.get(id).alive;
    }

    void end(final NodeId id) {
        machines.get(id).alive = false;
    }

    /** The process ends in place of its {@code n}-th message from now on. */
    void endAt(final NodeId id, final int n) {
        machines.get(id).left = n;
    }

    int messages(final NodeId id) {
        return machines.get(id).sent;
    }

    Item item(final NodeId at, final ItemId id) {
        return machines.get(at).held.get(id);
    }

    /** How many disks have an item. */
    long disks(final ItemId id) {
        return disks.values().stream()
                .filter(d -> d.containsKey("e/" + id.text()))
                .count();
    }

    Orders orders(final NodeId at) {
        return machines.get(at).orders;
    }

    Registry registry(final NodeId at) {
        return machines.get(at).registry;
    }

    /** Hears the status, unless the process ends first. */
    void patch(final NodeId at, final String text, final IntConsumer then) {
        final Machine m = machines.get(at);
        if (m.alive) {
            m.orders.patch(text.getBytes(StandardCharsets.UTF_8), r -> {
                if (m.alive) {
                    then.accept(r.status());
                }
            });
        }
    }

    /** A call that sets services of these names, each with the note, under one version. */
    static String call(final long version, final String note, final String... names) {
        final Map<String, Object> services = new TreeMap<>();
        for (final String n : names) {
            services.put(n, Map.of("kind", "open", "note", note, "version", version));
        }
        return Json.text(Map.of("set", Map.of("services", services)));
    }

    static ItemId service(final String name) {
        return new ItemId(Kind.SERVICE, name);
    }

    static String note(final Item item) {
        return item.live() ? Json.read(item.body(), Service.class).note() : "gone";
    }

    private void inForce(final Item item) {
        if (item.id().kind() == Kind.SERVICE) {
            seen.add(item.id().name() + " " + item.ver().n() + " " + note(item));
        }
    }

    /** One process: its timers and messages end with it, its disk stays. */
    private final class Machine implements Loop, Net, Disk {
        private final NodeId id;
        private final ItemStore held;
        private final FrameSync sync;
        private final Orders orders;
        private final Registry registry;
        private final Voter voter;
        private final ViewServer desk;
        private final WriteRecovery recovery;
        private boolean alive = true;
        private int left = Integer.MAX_VALUE;
        private int sent;

        Machine(final NodeId id, final int boot) {
            this.id = id;
            final Journal journal = new Journal(this, 100);
            final String name = "b" + boot;
            held = new ItemStore(this, journal);
            held.watch(OrderCluster.this::inForce);
            final Electorate electorate = Electorate.of(new Quorum(VOTERS, Set.of()));
            voter = VOTERS.contains(id)
                    ? new Voter(
                            id,
                            electorate,
                            this,
                            this,
                            new MonitoredDisk(this, this),
                            journal,
                            name,
                            boot <= IDS.size(),
                            () -> held.all().isEmpty())
                    : null;
            sync = new FrameSync(electorate, this, this, held, Timing.DEFAULT, journal, this::learn, e -> {});
            final Writer writer = new Writer(
                    id,
                    name,
                    electorate,
                    this,
                    this,
                    new Random(dice.nextLong()),
                    journal,
                    held,
                    () -> IDS,
                    new StoreHealth(electorate.quorum(), this, journal));
            final int[] tags = {0};
            orders = new Orders(
                    this,
                    this,
                    held,
                    sync,
                    writer,
                    () -> id + name + "-" + ++tags[0],
                    () -> preferred.filter(p -> !p.equals(id)));
            registry = new Registry(this, held, sync, writer, journal, () -> id + name + "-" + ++tags[0]);
            desk = voter == null ? null : new ViewServer(voter, held, this);
            recovery = voter == null
                    ? null
                    : new WriteRecovery(
                            voter, held, writer, this, new Random(dice.nextLong()), () -> VOTERS.indexOf(id));
        }

        private void learn(final Msg.Chosen c) {
            if (voter != null) {
                voter.learn(c);
            }
            held.merge(c);
        }

        void start() {
            if (voter != null) {
                try {
                    voter.start();
                } catch (final DiskTrouble e) {
                    throw new IllegalStateException(e);
                }
                recovery.start();
                orders.start(VOTERS.indexOf(id));
            }
            sync.start();
        }

        @Override
        public long now() {
            return loop.now();
        }

        @Override
        public void after(final long ms, final Runnable job) {
            loop.after(ms, () -> {
                if (alive) {
                    job.run();
                }
            });
        }

        @Override
        public Map<String, byte[]> load() {
            return Map.copyOf(disks.computeIfAbsent(id, k -> new HashMap<>()));
        }

        @Override
        public void save(final Map<String, byte[]> rows, final Consumer<Boolean> done) {
            after(SYNC, () -> {
                final Map<String, byte[]> disk = disks.computeIfAbsent(id, k -> new HashMap<>());
                rows.forEach((k, v) -> {
                    if (v == null) {
                        disk.remove(k);
                    } else {
                        disk.put(k, v);
                    }
                });
                done.accept(true);
            });
        }

        @Override
        public void ask(final NodeId to, final Msg msg, final long wait, final Consumer<Reply> then) {
            if (--left < 0) {
                alive = false;
            }
            if (!alive) {
                return;
            }
            sent++;
            final boolean[] answered = {false};
            final Consumer<Reply> once = r -> {
                if (alive && !answered[0]) {
                    answered[0] = true;
                    then.accept(r);
                }
            };
            loop.after(wait, () -> once.accept(Reply.lost(Reply.Trouble.NO_ANSWER)));
            if (open(to)) {
                loop.after(delay(to), () -> arrive(to, msg, once));
            }
        }

        private void arrive(final NodeId to, final Msg msg, final Consumer<Reply> then) {
            final Machine other = machines.get(to);
            if (other.alive) {
                other.take(id, msg, m -> {
                    if (other.alive && open(to)) {
                        loop.after(delay(to), () -> then.accept(Reply.of(m)));
                    }
                });
            }
        }

        private boolean open(final NodeId to) {
            return to.equals(id) || !cut.contains(id) && !cut.contains(to) && dice.nextDouble() >= loss;
        }

        private long delay(final NodeId to) {
            return to.equals(id) ? 0 : 8 + dice.nextInt(12);
        }

        private void take(final NodeId from, final Msg msg, final Consumer<Msg> back) {
            if (msg instanceof Msg.Learn m) {
                m.list().forEach(this::learn);
                back.accept(new Msg.Ok());
            } else if (msg instanceof Msg.Order m) {
                orders.take(m, back);
            } else if (voter == null) {
                back.accept(new Msg.Nay("no voter"));
            } else if (msg instanceof Msg.Prepare m) {
                voter.prepare(m, back);
            } else if (msg instanceof Msg.Accept m) {
                voter.accept(m, back);
            } else if (msg instanceof Msg.Reread m) {
                voter.reread(from, m, back);
            } else if (msg instanceof Msg.Query m) {
                desk.query(m, back);
            } else if (msg instanceof Msg.Vers m) {
                desk.vers(m, back);
            } else {
                back.accept(new Msg.Nay("not done here"));
            }
        }
    }

    /** An operator's call, sent again to other nodes until its answer is clear. */
    final class Caller {
        final String text;
        /** 200 or a 4xx; 0 while there is no clear answer. */
        int status;

        private final double lost;
        private int serial;

        /** {@code lost}: a part of the answers does not reach the operator. */
        Caller(final String text, final double lost) {
            this.text = text;
            this.lost = lost;
        }

        void send(final NodeId at) {
            final int mine = ++serial;
            patch(at, text, s -> {
                if (dice.nextDouble() >= lost) {
                    hear(mine, s);
                }
            });
            loop.after(1000, () -> again(mine));
        }

        private void hear(final int mine, final int said) {
            if (said / 100 == 5) {
                again(mine);
            } else if (status == 0) {
                status = said;
            }
        }

        private void again(final int mine) {
            if (status == 0 && mine == serial) {
                serial++;
                loop.after(50 + dice.nextInt(200), () -> send(IDS.get(dice.nextInt(IDS.size()))));
            }
        }
    }

    List<NodeId> living() {
        return new ArrayList<>(IDS.stream().filter(this::alive).toList());
    }
}
