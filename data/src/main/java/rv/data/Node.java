package rv.data;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;
import rv.base.Code;
import rv.base.Condition;
import rv.base.Disk;
import rv.base.DiskTrouble;
import rv.base.Event;
import rv.base.ItemId;
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
import rv.control.Electorate;
import rv.control.FrameSync;
import rv.control.Holder;
import rv.control.ItemService;
import rv.control.ItemStore;
import rv.control.KeyRecordStore;
import rv.control.Match;
import rv.control.Membership;
import rv.control.MonitoredDisk;
import rv.control.Orders;
import rv.control.RecordRetention;
import rv.control.Registry;
import rv.control.StoreHealth;
import rv.control.Tenure;
import rv.control.Voter;
import rv.control.VoterAddress;
import rv.control.VoterPlanner;
import rv.control.VoterSearch;
import rv.control.WriteRecovery;
import rv.control.Writer;

/** One process's planes put together over its seams; the programs and the simulator build the same. */
public final class Node {
    /** One that has been silent for so long is not asked to put orders in order. */
    private static final long QUIET = 1500;

    private final Setup setup;
    private final Loop loop;
    private final Journal journal;
    private final Electorate electorate;
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
    private final Departure departure;
    private final ClockWatch clock;
    private final VoterSearch search;
    private final VoterPlanner planner;

    /** The outside of a node. {@code book} learns where members can be reached. */
    public record Seams(
            Loop loop, Net net, Disk disk, Port port, Random dice, LongSupplier wall, Consumer<Member> book) {}

    public Node(final Setup setup, final Seams s, final Journal journal) {
        this.setup = setup;
        this.loop = s.loop();
        this.journal = journal;
        final NodeId self = setup.self().id();
        final String boot = setup.self().boot();
        journal.add(Event.of(
                Code.STARTED, "node", self.text(), "role", setup.self().role().word(), "boot", boot));
        electorate = new Electorate(setup.quorum(), setup.seats());
        electorate.onChange(() -> locate(s.book()));
        electorate.connect(this::learn, (to, set) -> s.net().tell(List.of(to), new Msg.Learn(List.of(set))));
        held = new ItemStore(loop, journal);
        held.watch(i -> {
            if (i.id().equals(ItemId.VOTERS)) {
                held.chosen(List.of(i.id())).forEach(electorate::adopt);
            }
        });
        view = new ConfigView(held);
        drift = new Drift(setup.timing());
        stores = new StoreHealth(setup.quorum(), loop, journal);
        final MonitoredDisk disk = new MonitoredDisk(s.disk(), loop);
        roster = new Membership(
                this::self,
                this::heartbeats,
                loop,
                s.net(),
                setup.timing(),
                journal,
                s.book(),
                drift,
                () -> held.all().size(),
                stores);
        sync = new FrameSync(electorate, loop, s.net(), held, setup.timing(), journal, this::learn, roster::alive);
        writer = new Writer(self, boot, electorate, loop, s.net(), s.dice(), journal, held, roster::ids, stores);
        final Supplier<String> tags =
                () -> "t-" + self + "-" + boot + "-" + Long.toHexString(s.dice().nextLong());
        clerk = new ItemService(loop, held, sync, writer, journal, tags);
        orders = new Orders(loop, s.net(), held, sync, writer, tags, this::sequencer);
        registry = new Registry(loop, held, sync, writer, journal, tags);
        elector = setup.mayVote()
                ? new Voter(self, electorate, loop, s.net(), disk, journal, boot, setup.first(), () -> !roster.told())
                : null;
        keeper = elector == null
                ? null
                : new KeyRecordStore(
                        self,
                        boot,
                        electorate,
                        s.net(),
                        loop,
                        s.wall(),
                        disk,
                        journal,
                        new RecordRetention(setup.keyWindowMs(), this::longestKeyed));
        settler = elector == null
                ? null
                : new WriteRecovery(
                        elector,
                        held,
                        writer,
                        loop,
                        s.dice(),
                        () -> electorate.voters().indexOf(self));
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
                        () -> sync.fresh() && !drift.beyond() && leads(),
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
                                () -> NodeRouting.alone(setup, roster, electorate),
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
                        new KeyedRequests(
                                electorate,
                                loop,
                                s.net(),
                                holder,
                                journal,
                                stores,
                                self + "#" + boot,
                                new RecordRetention(setup.keyWindowMs(), this::longestKeyed)),
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
                        new NodeRouting(setup, roster, electorate, sender))
                : null;
        search = new VoterSearch(self, electorate, loop, s.net(), setup.seeds(), roster::ids, sync::fresh);
        planner = store && setup.votersMayChange()
                ? new VoterPlanner(
                        self,
                        electorate,
                        roster,
                        sync,
                        writer,
                        loop,
                        s.net(),
                        journal,
                        () -> setup.live().get().wantedLosses())
                : null;
        departure = new Departure(this, edge, sender);
        clock = new ClockWatch(loop, s.wall(), setup.timing(), drift, journal, sync::drop, this::dropRights);
        inbox = new MessageRouter(this, desk, authority, sender, shield, this::learn);
        if (setup.voters() != null) {
            learn(setup.voters());
        }
    }

    /** The lease authority puts operators' calls in order, so that several at once are one write of the ledger. */
    private Optional<NodeId> sequencer() {
        final Tenure.Body now = Tenure.Body.of(held.get(ItemId.TENURE));
        if (now.holder().isEmpty() || now.free()) {
            return Optional.empty();
        }
        final NodeId id = NodeId.of(now.holder());
        return id.equals(setup.self().id()) || roster.silence(id) > QUIET ? Optional.empty() : Optional.of(id);
    }

    private List<NodeId> peers() {
        return roster.live(Role.SHIELD).stream()
                .map(Member::id)
                .filter(n -> !n.equals(setup.self().id()))
                .toList();
    }

    private List<Msg.Wish> wishes() {
        return sender.wishes();
    }

    private void stop(final int shard, final long grace, final Consumer<Boolean> done) {
        sender.stop(shard, grace, done);
    }

    /** How long a keyed request may take at most, by the present configuration. */
    private long longestKeyed() {
        return view.rows().stream()
                .filter(r -> r.match().is(Match.ONCE) && r.service() != null)
                .mapToLong(ConfigView.Row::timeoutMs)
                .max()
                .orElse(0);
    }

    public void start() throws DiskTrouble {
        if (elector != null) {
            elector.onWhole(() -> held.all().forEach(elector::learn));
            elector.prefill(held::all);
            elector.records(keeper);
            keeper.start();
            elector.start();
            settler.start();
            orders.start(Math.max(0, electorate.voters().indexOf(setup.self().id())));
            loop.every(1000, () -> elector.sweep(held.sweep()));
        }
        roster.start();
        sync.start();
        if (tenure != null) {
            tenure.start();
            new Compactor(loop, held, writer, tenure::acting).start();
            authority.start(tenure);
            if (planner != null) {
                planner.start(tenure);
            }
        }
        if (holder != null) {
            holder.start();
        }
        clock.start();
        if (setup.votersMayChange()) {
            search.start();
        }
    }

    private void dropRights() {
        if (holder != null) {
            holder.drop();
        }
        if (tenure != null) {
            tenure.drop();
        }
    }

    private void learn(final Msg.Chosen c) {
        if (elector != null && !held.sweep().drops(c.item().id(), c.item().ver().n())) {
            elector.learn(c);
        }
        held.merge(c);
    }

    /** A shield that does not vote is not the lease authority either. */
    private boolean leads() {
        return !setup.votersMayChange() || elector.votes();
    }

    /** Heartbeats go to the present voters, and to the seeds too while none of those answers. */
    private List<NodeId> heartbeats() {
        if (!setup.votersMayChange()) {
            return setup.seeds();
        }
        if (electorate.epoch() == 0 || roster.answered()) {
            return electorate.voters();
        }
        return Stream.concat(electorate.voters().stream(), search.seeds().stream())
                .distinct()
                .toList();
    }

    /**
     * Seeds of changed settings are asked for the present voters from now on; whoever calls this has told the net their
     * addresses. In the core thread.
     */
    public void seeds(final Map<NodeId, InetSocketAddress> seeds) {
        search.seeds(List.copyOf(seeds.keySet()));
    }

    /** The voters' addresses come with the set that names them. */
    private void locate(final Consumer<Member> book) {
        electorate.addresses().stream().map(VoterAddress::parse).forEach(a -> {
            if (roster.get(a.id()) == null) {
                book.accept(new Member(a.id(), Role.SHIELD, "", a.host(), a.port(), "", Condition.PARTIAL, ""));
            }
        });
    }

    private Member self() {
        return setup.self().with(condition());
    }

    public Condition condition() {
        if (departure.begun()) {
            return Condition.LEAVING;
        }
        if (drift.beyond()) {
            return Condition.UNREADY;
        }
        if (!sync.fresh()) {
            return Condition.PARTIAL;
        }
        final boolean whole = elector == null
                || elector.votes()
                || !electorate.has(setup.self().id());
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
        departure.begin(most, then);
        if (electorate.has(setup.self().id())) {
            roster.announce();
        }
    }

    public Electorate electorate() {
        return electorate;
    }

    /** Takes settings that changed while this node runs; in the core thread. */
    public void reload(final LiveSettings next) {
        setup.live().set(next);
        sync.timing(next.timing());
        if (sender != null) {
            sender.reload();
        }
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
