package rv.rig.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import rv.base.NodeId;
import rv.base.Role;
import rv.control.Quorum;
import rv.rig.Log;
import rv.rig.Place;
import rv.rig.Stock;

/** A whole deployment in the simulator. */
public final class SimCluster {
    private static final int SHARDS = 32;
    private final World world;
    private final Place place;
    private final Log log = new Log();
    private final SimNet net;
    private final Map<String, SimNode> nodes = new TreeMap<>();
    private final Map<String, SimOrigin> origins = new TreeMap<>();
    private final Map<String, Stock> stocks = new TreeMap<>();
    private final SimPort.Yard yard;
    private final SimClients crowd;
    private final Staff staff;
    private final Patcher patcher;
    private final SimOrigin.Word word;
    private long looks;
    private long opened;
    private long sent;
    private long bytes;

    public SimCluster(final Place place, final long seed) {
        this(place, seed, place.losses());
    }

    /** {@code losses}: how many voters may be lost at once. */
    public SimCluster(final Place place, final long seed, final int losses) {
        this.place = place;
        world = new World(seed);
        net = new SimNet(world, this::delay);
        yard = new SimPort.Yard(world, net, log);
        final List<NodeId> seeds = place.electors().stream().map(NodeId::of).toList();
        final Quorum quorum =
                new Quorum(seeds, place.shieldRun() ? Set.of() : Set.of(NodeId.of("st1"), NodeId.of("st2")));
        word = place.shieldRun() ? new Words.Beating() : new Words.Announced();
        if (place.shieldRun()) {
            log.add(Log.row("log", "place", "t", 0, "name", place.name(), "electors", place.electors()));
        }
        for (final String m : place.machines()) {
            final Role role = m.startsWith("st") ? Role.STORE : m.startsWith("sh") ? Role.SHIELD : Role.EDGE;
            final SimDisk disk = new SimDisk(world, place.disks().contains(m) ? place.syncMs() : 0);
            nodes.put(
                    m,
                    new SimNode(
                            world,
                            net,
                            disk,
                            yard,
                            log,
                            NodeId.of(m),
                            role,
                            place.cell(m),
                            seeds,
                            quorum,
                            SHARDS,
                            losses));
        }
        int at = 0;
        for (final Place.Kin k : place.kin()) {
            final Stock stock = stock(k);
            stocks.put(k.service(), stock);
            for (int i = 1; i <= k.origins(); i++) {
                final String host = "127.1.0." + ++at;
                final SimOrigin o =
                        new SimOrigin(world, log, k.service() + i, make(k, i), stock, host, this::ear, word);
                origins.put(o.name(), o);
                yard.move(host, o);
            }
        }
        staff = place.shieldRun() ? null : new Staff(this);
        patcher = place.shieldRun() ? new Patcher(this) : null;
        crowd = new SimClients(this);
    }

    /** A service that gets a part of another's objects has the same. */
    private Stock stock(final Place.Kin kin) {
        return place.kin().stream()
                .filter(k -> !k.equals(kin)
                        && kin.ways().isEmpty()
                        && k.ways().stream().anyMatch(w -> w.split().containsKey(kin.service())))
                .findFirst()
                .map(k -> stocks.get(k.service()).twin(kin.service()))
                .orElseGet(() -> new Stock(kin.service()));
    }

    private SimOrigin.Make make(final Place.Kin kin, final int i) {
        return !place.shieldRun()
                ? SimOrigin.Make.plain(kin.kind())
                : new SimOrigin.Make(
                        kin.kind(),
                        kin.rate() > 0 ? 32 : 4,
                        kin.rate() > 0 ? 30 : 60,
                        place.cells().get(i % place.cells().size()));
    }

    /** Who hears origins and operators: any node, or the shields where they serve control. */
    SimNode ear() {
        if (!place.shieldRun()) {
            return any();
        }
        final List<SimNode> list = nodes.values().stream()
                .filter(n -> n.role() == Role.SHIELD && n.alive())
                .toList();
        return list.isEmpty() ? null : list.get(world.dice().nextInt(list.size()));
    }

    Operators operators() {
        return place.shieldRun() ? patcher : staff;
    }

    private long delay(final String a, final String b) {
        return a.startsWith("127.") || b.startsWith("127.") || !place.apart(a, b) ? 0 : place.regionMs();
    }

    /** Everything on, the configuration stated, traffic begun. */
    public SimCluster open() {
        nodes.values().forEach(n -> world.in(world.dice().nextInt(300), n::start));
        world.in(3000, operators()::open);
        origins.values().forEach(o -> world.in(4500 + world.dice().nextInt(500), o::start));
        world.run(7000);
        crowd.start();
        operators().start();
        watch();
        opened = world.now();
        sent = net.sent();
        bytes = net.bytes();
        return this;
    }

    /** On true time and by each shield's own clock: no two may hold one shard, frozen or not. */
    private void watch() {
        final Map<Integer, String> holders = new TreeMap<>();
        for (final SimNode n : nodes.values()) {
            if (n.alive() && n.role() == Role.SHIELD && n.node() != null) {
                n.node().holder().leases().keySet().stream()
                        .filter(n.node().holder()::may)
                        .forEach(s -> {
                            looks++;
                            final String other = holders.put(s, n.id().text());
                            if (other != null) {
                                log.add(Log.row(
                                        "log",
                                        "rights",
                                        "t",
                                        world.now(),
                                        "shard",
                                        s,
                                        "first",
                                        other,
                                        "second",
                                        n.id().text()));
                            }
                        });
            }
        }
        world.in(20, this::watch);
    }

    SimNode any() {
        final List<SimNode> list = new ArrayList<>(
                nodes.values().stream().filter(n -> n.alive() && !n.frozen()).toList());
        return list.isEmpty() ? null : list.get(world.dice().nextInt(list.size()));
    }

    public void run(final long ms) {
        world.run(world.now() + ms);
    }

    /** The last figures: what each living node holds. */
    public List<Map<String, Object>> close() {
        crowd.stop();
        operators().stop();
        log.add(Log.row(
                "log",
                "cost",
                "t",
                world.now(),
                "seconds",
                (world.now() - opened) / 1000,
                "messages",
                net.sent() - sent,
                "bytes",
                net.bytes() - bytes,
                "items",
                nodes.get("ed1").alive() ? nodes.get("ed1").node().held().all().size() : 0,
                "syncs",
                nodes.get(place.disks().get(0)).disk().syncs(),
                "kinds",
                new TreeMap<>(net.kinds())));
        run(6000);
        log.add(Log.row("log", "rights", "t", world.now(), "looks", looks));
        if (patcher != null) {
            patcher.readBack();
            run(1500);
        }
        nodes.values().stream().filter(SimNode::alive).forEach(n -> {
            final Map<String, Object> items = new TreeMap<>();
            n.node()
                    .held()
                    .all()
                    .forEach(c -> items.put(c.item().id().text(), c.item().ver().n()));
            log.add(Log.row(
                    "log",
                    "end",
                    "t",
                    world.now(),
                    "node",
                    n.id().text(),
                    "items",
                    items,
                    "fresh",
                    n.node().sync().fresh()));
        });
        return log.rows();
    }

    public void trouble(final String what, final String node, final long ms) {
        log.add(Log.row("log", "rig", "t", world.now(), "what", what, "node", node, "ms", ms));
    }

    /** The process; in a shield-run place its peers hear that their circuits are closed. */
    public void kill(final String name, final long back) {
        if (place.shieldRun()) {
            net.reset(NodeId.of(name));
        }
        power(name, back);
    }

    /** The machine, which says nothing any more. */
    public void power(final String name, final long back) {
        trouble("kill", name, back);
        node(name).kill();
        if (back > 0) {
            world.in(back, () -> start(name));
        }
    }

    /** An orderly stop, then a start after {@code back}. */
    public void restart(final String name, final long back) {
        trouble("restart", name, back);
        final SimNode n = node(name);
        final long life = n.life();
        n.post(() -> n.node().leave(8000, () -> {
            if (n.life() == life) {
                n.kill();
                world.in(back, () -> start(name));
            }
        }));
    }

    public void start(final String name) {
        if (!node(name).alive()) {
            trouble("start", name, 0);
            node(name).start();
        }
    }

    public void loseDisk(final String name, final long back) {
        trouble("lose-disk", name, back);
        node(name).kill();
        node(name).disk().lose();
        world.in(back, () -> start(name));
    }

    public void freeze(final String name, final long ms) {
        trouble("freeze", name, ms);
        node(name).freeze(ms);
    }

    public void stall(final String name, final long ms) {
        trouble("stall", name, ms);
        node(name).disk().stall(world.now() + ms);
    }

    public void full(final String name, final long ms) {
        trouble("full", name, ms);
        node(name).disk().full(true);
        world.in(ms, () -> node(name).disk().full(false));
    }

    /** The named machines are cut from all others, both ways. */
    public void cut(final List<String> side, final long ms) {
        final long votes = side.stream().filter(place.electors()::contains).count();
        nodes.keySet().stream().filter(n -> side.contains(n) == votes < 2).forEach(n -> trouble("cut", n, ms));
        for (final String a : side) {
            for (final String b : nodes.keySet()) {
                if (!side.contains(b)) {
                    net.cut(a, b);
                    net.cut(b, a);
                }
            }
        }
        world.in(ms, net::heal);
    }

    public void drift(final String name, final double pace, final long ms) {
        trouble("drift", name, ms);
        node(name).drift(pace);
        world.in(ms, () -> node(name).drift(1));
    }

    /** All power and one disk at once. */
    public void blackout(final String store, final long back) {
        List.copyOf(nodes.keySet()).forEach(n -> power(n, back + world.dice().nextInt(500)));
        node(store).disk().lose();
        world.in(back + 500, () -> trouble("returned", "", 0));
    }

    /** A new machine takes an origin's place: it announces itself at another address, then the old one leaves. */
    public void replace(final String name, final long ms) {
        final SimOrigin old = origins.get(name);
        final String host = "127.1.1." + (1 + world.serial() % 250);
        final SimOrigin next = old.heir(host);
        trouble("origin-replace", name, ms);
        yard.move(host, next);
        next.start();
        origins.put(name, next);
        world.in(ms / 2, old::leave);
        world.in(ms / 2 + 3000, old::quit);
    }

    /** It ends in order, and its address goes to a new origin of another service. */
    public void reuse(final String name, final long ms) {
        final SimOrigin old = origins.get(name);
        final SimOrigin model = origins.values().stream()
                .filter(o -> !o.stock().service().equals(old.stock().service())
                        && o.make().slots() == old.make().slots())
                .findFirst()
                .orElseThrow();
        trouble("origin-reuse", name, ms);
        old.leave();
        world.in(ms / 2, old::quit);
        world.in(ms / 2 + 2000, () -> {
            final SimOrigin next = model.heir(old.host());
            yard.move(old.host(), next);
            next.start();
            world.in(ms, () -> {
                next.leave();
                world.in(3000, () -> {
                    next.quit();
                    world.in(2000, () -> {
                        yard.move(old.host(), old);
                        old.start();
                    });
                });
            });
        });
    }

    public SimNode node(final String name) {
        return nodes.get(name);
    }

    public Map<String, SimNode> nodes() {
        return nodes;
    }

    public Map<String, SimOrigin> origins() {
        return origins;
    }

    /** One more origin, of a service of its own. */
    public void origin(final String name, final String service, final String kind) {
        final String host = "127.1.2." + (1 + world.serial() % 250);
        final SimOrigin o = new SimOrigin(
                world,
                log,
                name,
                SimOrigin.Make.plain(kind),
                stocks.computeIfAbsent(service, Stock::new),
                host,
                this::ear,
                word);
        origins.put(name, o);
        yard.move(host, o);
        o.start();
    }

    public Stock stock(final String service) {
        return stocks.get(service);
    }

    public SimPort.Yard yard() {
        return yard;
    }

    public World world() {
        return world;
    }

    public SimNet net() {
        return net;
    }

    public Log log() {
        return log;
    }

    public Place place() {
        return place;
    }

    public Staff staff() {
        return staff;
    }

    public Patcher patcher() {
        return patcher;
    }

    public SimClients crowd() {
        return crowd;
    }

    /** The acting lease authority, by the nodes' own word; empty while there is none. */
    public String boss() {
        return nodes.values().stream()
                .filter(n -> n.alive()
                        && n.node().tenure() != null
                        && n.node().tenure().acting())
                .map(n -> n.id().text())
                .findFirst()
                .orElse("");
    }
}
