package org.rowanvalve.data;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Condition;
import org.rowanvalve.common.Disk;
import org.rowanvalve.common.DiskTrouble;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Member;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Role;
import org.rowanvalve.control.Authority;
import org.rowanvalve.control.Compactor;
import org.rowanvalve.control.ConfigView;
import org.rowanvalve.control.Drift;
import org.rowanvalve.control.Electorate;
import org.rowanvalve.control.FrameSync;
import org.rowanvalve.control.Holder;
import org.rowanvalve.control.ItemService;
import org.rowanvalve.control.ItemStore;
import org.rowanvalve.control.KeyRecordStore;
import org.rowanvalve.control.Membership;
import org.rowanvalve.control.Orders;
import org.rowanvalve.control.RecordRetention;
import org.rowanvalve.control.Registry;
import org.rowanvalve.control.StoreHealth;
import org.rowanvalve.control.Tenure;
import org.rowanvalve.control.Voter;
import org.rowanvalve.control.VoterPlanner;
import org.rowanvalve.control.VoterSearch;
import org.rowanvalve.control.Writer;

/** One process's planes put together over its seams; the programs and the simulator build the same. */
public final class Node {
    /** One that has been silent for so long is not asked to put orders in order. */
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
    private final VoterParts parts;
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
    private final VoterLinks links;
    private final NodeCondition condition;
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
        electorate.onChange(() -> links().locate(s.book()));
        electorate.connect(this::learn, (to, set) -> s.net().tell(List.of(to), new Msg.Learn(List.of(set))));
        held = new ItemStore(loop, journal);
        electorate.follow(held);
        view = new ConfigView(held);
        drift = new Drift(setup.timing());
        stores = new StoreHealth(setup.quorum(), loop, journal);
        roster = new Membership(
                this::self,
                () -> links().heartbeats(),
                loop,
                s.net(),
                setup.timing(),
                journal,
                s.book(),
                drift,
                () -> held.all().size(),
                stores);
        sync = new FrameSync(electorate, loop, s.net(), held, setup.timing(), journal, this::learn, roster::alive);
        search = new VoterSearch(self, electorate, loop, s.net(), setup.seeds(), roster::ids, sync::fresh);
        links = new VoterLinks(setup, electorate, roster, search);
        writer = new Writer(self, boot, electorate, loop, s.net(), s.dice(), journal, held, roster::ids, stores);
        final Supplier<String> tags =
                () -> "t-" + self + "-" + boot + "-" + Long.toHexString(s.dice().nextLong());
        clerk = new ItemService(loop, held, sync, writer, journal, tags);
        orders = new Orders(loop, s.net(), held, sync, writer, tags, () -> links.sequencer(held.get(ItemId.TENURE)));
        registry = new Registry(loop, held, sync, writer, journal, tags);
        parts = setup.mayVote() ? new VoterParts(setup, s, electorate, held, view, roster, writer, journal) : null;
        final boolean store = setup.arbitrates();
        authority = store
                ? new Authority(
                        loop, s.net(), writer, roster, setup.timing(), journal, setup.shards(), roster::sound, setup)
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
                        () -> sync.fresh() && !drift.beyond() && links.mayLead(elector()),
                        authority::won,
                        () -> parts == null ? 0 : elector().lives())
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
                                fills ? links::peers : List::of,
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
                                new RecordRetention(setup.keyWindowMs(), view::longestKeyed)),
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
        condition = new NodeCondition(this, sender, () -> departure().begun());
        departure = new Departure(this, edge, sender);
        clock = new ClockWatch(loop, s.wall(), setup.timing(), drift, journal, sync::drop, this::dropRights);
        inbox = new MessageRouter(this, parts == null ? null : parts.desk(), authority, sender, shield, this::learn);
        if (setup.voters() != null) {
            learn(setup.voters());
        }
    }

    private VoterLinks links() {
        return links;
    }

    private Departure departure() {
        return departure;
    }

    private List<Msg.Wish> wishes() {
        return sender.wishes();
    }

    private void stop(final int shard, final long grace, final Consumer<Boolean> done) {
        sender.stop(shard, grace, done);
    }

    public void start() throws DiskTrouble {
        if (parts != null) {
            parts.start();
            orders.start(Math.max(0, electorate.voters().indexOf(setup.self().id())));
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
        if (parts != null && !held.sweep().drops(c.item().id(), c.item().ver().n())) {
            elector().learn(c);
        }
        held.merge(c);
    }

    /**
     * Seeds of changed settings are asked for the present voters from now on; whoever calls this has told the net their
     * addresses. In the core thread.
     */
    public void seeds(final Map<NodeId, InetSocketAddress> seeds) {
        search.seeds(List.copyOf(seeds.keySet()));
    }

    private Member self() {
        return setup.self().with(condition());
    }

    public Condition condition() {
        return condition.now();
    }

    /** How ready, from 0 to 100, so that a platform can pick by it. */
    public int grade() {
        return condition.grade();
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
        return parts == null ? null : parts.voter();
    }

    public KeyRecordStore keeper() {
        return parts == null ? null : parts.records();
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
