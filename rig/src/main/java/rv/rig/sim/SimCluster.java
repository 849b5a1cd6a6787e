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
    private final SimOrigins origins;
    private final SimClients crowd;
    private final ItemOperator itemOperator;
    private final OrderOperator orderOperator;
    private final RightsWatch rights;
    private long opened;
    private long sent;
    private long bytes;

    public SimCluster(final Place place, final long seed) {
        this.place = place;
        world = new World(seed);
        net = new SimNet(world, this::delay);
        final SimPort.Yard yard = new SimPort.Yard(world, net, log);
        final List<NodeId> seeds = place.electors().stream().map(NodeId::of).toList();
        final Quorum quorum =
                new Quorum(seeds, place.shieldRun() ? Set.of() : Set.of(NodeId.of("st1"), NodeId.of("st2")));
        if (place.shieldRun()) {
            log.add(Log.row("log", "place", "t", 0, "name", place.name(), "electors", place.electors()));
        }
        for (final String m : place.machines()) {
            final Role role = m.startsWith("st") ? Role.STORE : m.startsWith("sh") ? Role.SHIELD : Role.EDGE;
            final SimDisk disk = new SimDisk(world, place.disks().contains(m) ? place.syncMs() : 0);
            nodes.put(
                    m,
                    new SimNode(world, net, disk, yard, log, NodeId.of(m), role, place.cell(m), seeds, quorum, SHARDS));
        }
        origins = new SimOrigins(this, yard);
        itemOperator = place.shieldRun() ? null : new ItemOperator(this);
        orderOperator = place.shieldRun() ? new OrderOperator(this) : null;
        crowd = new SimClients(this);
        rights = new RightsWatch(this);
    }

    /** Who hears origins and operators: any node, or the shields where they serve control. */
    SimNode controlNode() {
        if (!place.shieldRun()) {
            return anyNode();
        }
        final List<SimNode> list = nodes.values().stream()
                .filter(n -> n.role() == Role.SHIELD && n.alive())
                .toList();
        return list.isEmpty() ? null : list.get(world.dice().nextInt(list.size()));
    }

    Operators operators() {
        return place.shieldRun() ? orderOperator : itemOperator;
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
        rights.start();
        opened = world.now();
        sent = net.sent();
        bytes = net.bytes();
        return this;
    }

    SimNode anyNode() {
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
        rights.end();
        if (orderOperator != null) {
            new ConfigReader(this).readAll();
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

    public SimNode node(final String name) {
        return nodes.get(name);
    }

    public Map<String, SimNode> nodes() {
        return nodes;
    }

    public SimOrigins origins() {
        return origins;
    }

    public Stock stock(final String service) {
        return origins.stock(service);
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

    public ItemOperator itemOperator() {
        return itemOperator;
    }

    public OrderOperator orderOperator() {
        return orderOperator;
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
