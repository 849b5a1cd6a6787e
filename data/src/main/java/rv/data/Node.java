package rv.data;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import rv.base.Code;
import rv.base.Condition;
import rv.base.Disk;
import rv.base.DiskTrouble;
import rv.base.Event;
import rv.base.Journal;
import rv.base.Loop;
import rv.base.Member;
import rv.base.Msg;
import rv.base.Net;
import rv.base.NodeId;
import rv.base.Role;
import rv.control.Authority;
import rv.control.Compactor;
import rv.control.ConfigView;
import rv.control.Drift;
import rv.control.FrameSync;
import rv.control.Holder;
import rv.control.ItemService;
import rv.control.ItemStore;
import rv.control.KeyRecordStore;
import rv.control.Membership;
import rv.control.MonitoredDisk;
import rv.control.Orders;
import rv.control.Registry;
import rv.control.StoreHealth;
import rv.control.Tenure;
import rv.control.Voter;
import rv.control.WriteRecovery;
import rv.control.Writer;

/** One process's planes put together over its seams; the programs and the simulator build the same. */
public final class Node {
    private static final long QUIET = 1500;
    private static final long LINGER = 100;
    /** A leaving edge that still gets requests answers them: it ends once none has come for so long. */
    private static final long CALM = 250;

    private static final long HANDOVER = 2500;
    private final Setup setup;
    private final Loop loop;
    private final LongSupplier wall;
    private final Journal journal;
    private final ItemStore held;
    private final ConfigView view;
    private final FrameSync sync;
    private final StoreHealth stores;
    private final Drift drift;
    private final Membership roster;
    private final Writer writer;
    private final ItemService clerk;
    private final Voter elector;
    private final KeyRecordStore keeper;
    private final WriteRecovery settler;
    private final FrameSync.Desk desk;
    private final MessageRouter inbox;
    private final Orders orders;
    private final Registry registry;
    private final Tenure tenure;
    private final Authority authority;
    private final Holder holder;
    private final Sender sender;
    private final Shield shield;
    private final Edge edge;
    private boolean leaving;
    private long bare;
    private long last;
    private long lag;

    /** The outside of a node. {@code book} learns where members can be reached. */
    public record Seams(
            Loop loop, Net net, Disk disk, Port port, Random dice, LongSupplier wall, Consumer<Member> book) {}

    public Node(final Setup setup, final Seams s, final Journal journal) {
        this.setup = setup;
        this.loop = s.loop();
        this.wall = s.wall();
        this.journal = journal;
        final NodeId self = setup.self().id();
        final String boot = setup.self().boot();
        journal.add(Event.of(
                Code.STARTED, "node", self.text(), "role", setup.self().role().word(), "boot", boot));
        held = new ItemStore(loop, journal);
        view = new ConfigView(held);
        drift = new Drift(setup.timing());
        stores = new StoreHealth(setup.quorum(), loop, journal);
        final MonitoredDisk disk = new MonitoredDisk(s.disk(), loop);
        roster = new Membership(
                this::self,
                setup.seeds(),
                loop,
                s.net(),
                setup.timing(),
                journal,
                s.book(),
                drift,
                () -> held.all().size(),
                stores);
        sync = new FrameSync(setup.quorum(), loop, s.net(), held, setup.timing(), journal, this::learn, roster::alive);
        writer = new Writer(self, boot, setup.quorum(), loop, s.net(), s.dice(), journal, held, roster::ids, stores);
        final Supplier<String> tags =
                () -> "t-" + self + "-" + boot + "-" + Long.toHexString(s.dice().nextLong());
        clerk = new ItemService(loop, held, sync, writer, journal, tags);
        orders = new Orders(held, sync, writer, tags);
        registry = new Registry(held, sync, writer, journal, tags);
        elector = setup.elector()
                ? new Voter(
                        self, setup.quorum(), loop, s.net(), disk, journal, boot, setup.first(), () -> !roster.told())
                : null;
        keeper = elector == null
                ? null
                : new KeyRecordStore(self, boot, setup.quorum(), s.net(), loop, wall, disk, elector::lapsed);
        settler = elector == null
                ? null
                : new WriteRecovery(
                        elector,
                        held,
                        writer,
                        loop,
                        s.dice(),
                        setup.quorum().electors().indexOf(self));
        desk = elector == null ? null : new FrameSync.Desk(elector, held, loop);
        final boolean store = setup.arbitrates();
        authority = store
                ? new Authority(
                        loop,
                        s.net(),
                        writer,
                        roster,
                        setup.timing(),
                        journal,
                        setup.shards(),
                        roster::sound,
                        new Authority.Places() {
                            @Override
                            public int at(final String cell) {
                                return setup.at(cell);
                            }

                            @Override
                            public int count() {
                                return setup.places().size();
                            }
                        })
                : null;
        tenure = store
                ? new Tenure(
                        self,
                        boot,
                        loop,
                        writer,
                        held,
                        setup.timing(),
                        journal,
                        () -> sync.fresh() && !drift.beyond(),
                        authority::won,
                        () -> elector == null ? 0 : elector.lives())
                : null;
        final boolean fills = setup.is(Role.SHIELD);
        holder = fills
                ? new Holder(
                        loop, s.net(), held, setup.timing(), journal, () -> !drift.beyond(), this::wishes, this::stop)
                : null;
        sender = fills || setup.is(Role.EDGE)
                ? new Sender(
                        setup,
                        loop,
                        s.net(),
                        s.port(),
                        view,
                        holder,
                        new Sender.Ties(
                                sync::fresh,
                                this::alone,
                                fills ? this::peers : List::of,
                                () -> Math.max(1, roster.known(Role.EDGE)),
                                () -> roster.known(Role.SHIELD)),
                        journal)
                : null;
        shield = fills
                ? new Shield(
                        loop,
                        s.net(),
                        view,
                        holder,
                        sender,
                        new KeyedRequests(setup.quorum(), loop, s.net(), holder, journal, stores, self + "#" + boot),
                        sync::fresh,
                        sync::round,
                        setup,
                        setup.cacheBytes())
                : null;
        edge = setup.is(Role.EDGE)
                ? new Edge(
                        loop,
                        s.net(),
                        view,
                        sync::fresh,
                        setup.shards(),
                        journal,
                        setup.cacheBytes(),
                        new EdgeRouting() {
                            @Override
                            public int places() {
                                return setup.places().size();
                            }

                            @Override
                            public int place() {
                                return setup.place();
                            }

                            @Override
                            public Sender direct() {
                                return sender;
                            }

                            @Override
                            public List<NodeId> near() {
                                return Node.this.near();
                            }

                            @Override
                            public boolean heard(final NodeId id) {
                                return roster.silence(id) <= QUIET;
                            }

                            @Override
                            public long silent(final NodeId id) {
                                return roster.silence(id);
                            }

                            @Override
                            public boolean alone() {
                                return Node.this.alone();
                            }
                        })
                : null;
        inbox = new MessageRouter(this, desk, authority, sender, shield, this::learn);
    }

    /** Too few electors are heard from to learn anything new. */
    private boolean alone() {
        return setup.quorum().electors().stream()
                        .filter(e -> e.equals(setup.self().id()) || roster.silence(e) <= QUIET)
                        .count()
                < setup.quorum().need();
    }

    private List<NodeId> peers() {
        return roster.live(Role.SHIELD).stream()
                .map(Member::id)
                .filter(n -> !n.equals(setup.self().id()))
                .toList();
    }

    /** Shields that are heard of: of the same zone first, then of the same region. */
    private List<NodeId> near() {
        final String cell = setup.self().cell();
        final String region = cell.substring(0, cell.lastIndexOf('/') + 1);
        final int turn = setup.self().id().hashCode();
        return roster.live(Role.SHIELD).stream()
                .filter(m -> m.condition() != Condition.LEAVING && roster.silence(m.id()) <= QUIET)
                .sorted(Comparator.comparingInt((Member m) ->
                                m.cell().equals(cell) ? 0 : m.cell().startsWith(region) ? 1 : 2)
                        .thenComparingInt(m -> (m.id().hashCode() ^ turn) & 0xffff))
                .map(Member::id)
                .toList();
    }

    private List<Msg.Wish> wishes() {
        return sender.wishes();
    }

    private void stop(final int shard, final long grace, final Consumer<Boolean> done) {
        sender.stop(shard, grace, done);
    }

    public void start() throws DiskTrouble {
        if (elector != null) {
            elector.onWhole(() -> held.all().forEach(elector::learn));
            elector.start();
            keeper.start();
            settler.start();
            loop.every(1000, () -> elector.sweep(held.sweep()));
        }
        roster.start();
        sync.start();
        if (tenure != null) {
            tenure.start();
            new Compactor(loop, held, writer, tenure::acting).start();
            authority.start(tenure);
        }
        if (holder != null) {
            holder.start();
        }
        last = loop.now();
        lag = wall.getAsLong() - last;
        loop.every(100, this::watch);
    }

    /** A gap in this loop's own time, or a wall clock that ran on without it, is a freeze. */
    private void watch() {
        final long now = loop.now();
        final long gone = now - last - 100;
        final long shift = Math.abs(wall.getAsLong() - now - lag);
        if (gone >= setup.timing().m() || shift >= setup.timing().m()) {
            journal.add(Event.of(Code.WOKE, "gap", gone, "shift", shift));
            sync.drop();
            drift.clear();
            if (holder != null) {
                holder.drop();
            }
            if (tenure != null) {
                tenure.drop();
            }
        }
        if (drift.beyond()) {
            journal.add(Event.of(Code.DRIFT_HIGH, "bound", drift.worst()));
            if (holder != null) {
                holder.drop();
            }
            if (tenure != null) {
                tenure.drop();
            }
        }
        last = now;
        lag = wall.getAsLong() - now;
    }

    private void learn(final Msg.Chosen c) {
        if (elector != null && !held.sweep().drops(c.item().id(), c.item().ver().n())) {
            elector.learn(c);
        }
        held.merge(c);
    }

    private Member self() {
        return setup.self().with(condition());
    }

    public Condition condition() {
        if (leaving) {
            return Condition.LEAVING;
        }
        if (drift.beyond()) {
            return Condition.UNREADY;
        }
        if (!sync.fresh()) {
            return Condition.PARTIAL;
        }
        final boolean whole = elector == null || elector.full();
        final boolean rights = holder == null || holder.count() > 0;
        final boolean ways = edge == null || !roster.live(Role.SHIELD).isEmpty();
        return whole && rights && ways ? Condition.READY : Condition.PARTIAL;
    }

    /** How ready, from 0 to 100, so that a platform can pick by it. */
    public int grade() {
        return switch (condition()) {
            case READY ->
                100 - Math.min(50, (edge == null ? 0 : edge.busy() / 40) + (holder == null ? 0 : sender.busy() / 10));
            case PARTIAL -> view.rows().isEmpty() ? 0 : 20;
            default -> 0;
        };
    }

    public void take(final NodeId from, final Msg msg, final Consumer<Msg> back) {
        inbox.take(from, msg, back);
    }

    /** Orderly: no new callers, shards handed over while the fence is confirmed, tenure given back. */
    public void leave(final long most, final Runnable then) {
        leaving = true;
        bare = loop.now();
        journal.add(Event.of(Code.STOPPING, "node", setup.self().id().text()));
        final long cutoff = loop.now() + most;
        final Runnable rest = edge == null
                ? () -> drain(cutoff, then)
                : () -> loop.after(Math.min(setup.noticeMs(), most), () -> {
                    edge.shut();
                    drain(cutoff, then);
                });
        if (tenure != null) {
            tenure.step(rest);
        } else {
            rest.run();
        }
    }

    private void drain(final long cutoff, final Runnable then) {
        final boolean idle = (edge == null || edge.busy() == 0 && edge.quiet(CALM))
                && (sender == null || sender.busy() == 0)
                && handed();
        if (idle || loop.now() >= cutoff) {
            loop.after(LINGER, () -> {
                journal.add(Event.of(Code.STOPPED, "node", setup.self().id().text()));
                then.run();
            });
        } else {
            loop.after(50, () -> drain(cutoff, then));
        }
    }

    /** A shield's stop is heard once the plan no longer names it; with nobody to hear, it does not wait for long. */
    private boolean handed() {
        if (holder == null) {
            return true;
        }
        if (holder.count() > 0) {
            bare = loop.now();
            return false;
        }
        final String me = setup.self().id().text();
        return view.plan().parts().stream().noneMatch(p -> p.owner().equals(me)) || loop.now() - bare > HANDOVER;
    }

    /** Takes settings that changed while this node runs; in the core thread. */
    public void reload(final LiveSettings next) {
        setup.live().set(next);
        sync.timing(next.timing());
        if (sender != null) {
            sender.reload();
        }
    }

    /** The seeds of changed settings; whoever calls this has told the net their addresses. In the core thread. */
    public void seeds(final Map<NodeId, InetSocketAddress> seeds) {
        roster.laterSeeds(List.copyOf(seeds.keySet()));
    }

    public Setup setup() {
        return setup;
    }

    public Orders orders() {
        return orders;
    }

    public Registry registry() {
        return registry;
    }

    public ItemService clerk() {
        return clerk;
    }

    public Edge edge() {
        return edge;
    }

    public ItemStore held() {
        return held;
    }

    public ConfigView view() {
        return view;
    }

    public StoreHealth stores() {
        return stores;
    }

    public FrameSync sync() {
        return sync;
    }

    public Membership roster() {
        return roster;
    }

    public Holder holder() {
        return holder;
    }

    public Tenure tenure() {
        return tenure;
    }

    public Voter elector() {
        return elector;
    }

    public KeyRecordStore keeper() {
        return keeper;
    }

    public Drift drift() {
        return drift;
    }

    public Journal journal() {
        return journal;
    }

    public Loop loop() {
        return loop;
    }
}
