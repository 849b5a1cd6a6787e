package org.rowanvalve.testkit.sim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.control.voting.Quorum;
import org.rowanvalve.control.voting.VotingConfiguration;
import org.rowanvalve.testkit.log.RunLog;
import org.rowanvalve.testkit.origin.StandInBackend;
import org.rowanvalve.testkit.scenario.Deployment;

/** A whole deployment in the simulator. */
public final class SimCluster {
    private static final int SHARDS = 32;
    private static final long LEAVE_MS = 8000;
    private final VirtualTime time;
    private final Deployment deployment;
    private final RunLog log = new RunLog();
    private final SimTransport net;
    private final Map<String, SimNode> nodes = new TreeMap<>();
    private final Map<String, SimNode> gone = new TreeMap<>();
    private final Map<String, String> successors = new TreeMap<>();
    private final Set<String> retired = new TreeSet<>();
    private final SimOriginTransport.OriginDirectory yard;
    private final LossLimit losses;
    private final int wantedLosses;
    private final Quorum quorum;
    private final SimOrigins origins;
    private final SimClients crowd;
    private final ItemOperator itemOperator;
    private final UpdateOperator orderOperator;
    private final LeaseExclusivityMonitor rights;
    private List<NodeId> seeds;
    private long opened;
    private long sent;
    private long bytes;

    public SimCluster(final Deployment deployment, final long seed) {
        this(deployment, seed, deployment.losses());
    }

    /** {@code wantedLosses}: how many voters the settings say may be lost at once. */
    public SimCluster(final Deployment deployment, final long seed, final int wantedLosses) {
        this.deployment = deployment;
        this.wantedLosses = wantedLosses;
        time = new VirtualTime(seed);
        net = new SimTransport(time, this::delay);
        yard = new SimOriginTransport.OriginDirectory(time, net, log);
        seeds = deployment.electors().stream().map(NodeId::of).toList();
        losses = new LossLimit(
                time,
                m -> m.startsWith("sh"),
                deployment.shieldRun() ? deployment.losses() : Integer.MAX_VALUE,
                deployment.catchUpMs());
        quorum = new Quorum(seeds, deployment.shieldRun() ? Set.of() : Set.of(NodeId.of("st1"), NodeId.of("st2")));
        if (deployment.shieldRun()) {
            log.add(RunLog.row("log", "place", "t", 0, "name", deployment.name(), "electors", deployment.electors()));
        }
        deployment.machines().forEach(m -> nodes.put(m, machine(m)));
        origins = new SimOrigins(this, yard);
        itemOperator = deployment.shieldRun() ? null : new ItemOperator(this);
        orderOperator = deployment.shieldRun() ? new UpdateOperator(this) : null;
        crowd = new SimClients(this);
        rights = new LeaseExclusivityMonitor(this);
    }

    private SimNode machine(final String name) {
        final Role role = name.startsWith("st") ? Role.STORE : name.startsWith("sh") ? Role.SHIELD : Role.EDGE;
        final boolean keeps = role == Role.STORE || role == Role.SHIELD && deployment.shieldRun();
        final SimStorage disk = new SimStorage(time, keeps ? deployment.syncMs() : 0);
        return new SimNode(
                time,
                net,
                disk,
                yard,
                log,
                NodeId.of(name),
                role,
                deployment.cell(name),
                seeds,
                quorum,
                SHARDS,
                wantedLosses);
    }

    /** Who hears origins and operators: any node, or the shields where they serve control. */
    SimNode controlNode() {
        if (!deployment.shieldRun()) {
            return anyNode();
        }
        final List<SimNode> list = nodes.values().stream()
                .filter(node -> node.role() == Role.SHIELD && node.alive())
                .toList();
        return list.isEmpty() ? null : list.get(time.dice().nextInt(list.size()));
    }

    OperatorWorkload operators() {
        return deployment.shieldRun() ? orderOperator : itemOperator;
    }

    private long delay(final String a, final String b) {
        return a.startsWith("127.") || b.startsWith("127.") || !deployment.apart(a, b) ? 0 : deployment.regionMs();
    }

    /** Everything on, the configuration stated, traffic begun. */
    public SimCluster open() {
        nodes.values().forEach(node -> time.in(time.dice().nextInt(300), node::start));
        time.in(3000, operators()::open);
        origins.values().forEach(origin -> time.in(4500 + time.dice().nextInt(500), origin::start));
        time.run(7000);
        crowd.start();
        operators().start();
        rights.start();
        opened = time.now();
        sent = net.sent();
        bytes = net.bytes();
        return this;
    }

    SimNode anyNode() {
        final List<SimNode> list = new ArrayList<>(nodes.values().stream()
                .filter(node -> node.alive() && !node.frozen())
                .toList());
        return list.isEmpty() ? null : list.get(time.dice().nextInt(list.size()));
    }

    public void run(final long ms) {
        time.run(time.now() + ms);
    }

    /** The last figures: what each living node holds. */
    public List<Map<String, Object>> close() {
        crowd.stop();
        operators().stop();
        new RunSummary(this).costs((time.now() - opened) / 1000, net.sent() - sent, net.bytes() - bytes);
        run(6000);
        rights.end();
        if (orderOperator != null) {
            new ConfigurationReader(this).readAll();
            run(1500);
        }
        new RunSummary(this).held();
        return log.rows();
    }

    public void trouble(final String what, final String node, final long ms) {
        log.add(RunLog.row("log", "rig", "t", time.now(), "what", what, "node", node, "ms", ms));
    }

    /** The process; in a shield-run place its peers hear that their circuits are closed. */
    public void kill(final String name, final long back) {
        if (deployment.shieldRun()) {
            net.reset(NodeId.of(name));
        }
        power(name, back);
    }

    /** The machine, which says nothing any more. */
    public void power(final String name, final long back) {
        trouble("kill", name, back);
        losses.gone(name);
        node(name).kill();
        if (back > 0) {
            time.in(back, () -> start(name));
        }
    }

    /** An orderly stop, then a start after {@code back}. */
    public void restart(final String name, final long back) {
        trouble("restart", name, back);
        stop(name, () -> time.in(back, () -> start(name)));
    }

    /** It counts as lost; one that was replaced does so only until its successor has caught up. */
    private void down(final String name) {
        if (!successors.containsKey(name)) {
            losses.gone(name);
        }
    }

    /** An orderly stop. */
    void stop(final String name, final Runnable then) {
        down(name);
        final SimNode node = node(name);
        final long life = node.life();
        node.execute(() -> node.node().shutDown(LEAVE_MS, () -> {
            if (node.life() == life) {
                node.kill();
                then.run();
            }
        }));
    }

    public void start(final String name) {
        if (!retired.contains(name) && !node(name).alive()) {
            trouble("start", name, 0);
            losses.back(name);
            node(name).start();
        }
    }

    /** An empty machine at another address takes the place of {@code old}, which may still be up. */
    String add(final String old) {
        final String name = deployment.successor(old);
        trouble("added", name, 0);
        successors.put(old, name);
        nodes.put(name, machine(name).joining());
        nodes.get(name).seeds(presentSeeds());
        losses.back(old);
        nodes.get(name).start();
        return name;
    }

    /** It never comes back. */
    void retire(final String name) {
        trouble("retired", name, 0);
        retired.add(name);
        down(name);
        gone.put(name, node(name));
        node(name).kill();
        nodes.remove(name);
    }

    /** The machine in the place of the named one, after all that were replaced; empty where it left for good. */
    Optional<String> present(final String name) {
        String at = name;
        while (successors.containsKey(at)) {
            at = successors.get(at);
        }
        return retired.contains(at) ? Optional.empty() : Optional.of(at);
    }

    /** The settings of all machines name other seeds. */
    void seeds(final List<String> names) {
        seeds = names.stream().map(NodeId::of).toList();
        nodes.values().forEach(node -> node.seeds(seeds));
    }

    /** The seeds that are still there, and other shields in the place of those that are not. */
    List<NodeId> presentSeeds() {
        return Stream.concat(
                        seeds.stream().filter(s -> nodes.containsKey(s.text())),
                        nodes.values().stream()
                                .filter(node -> node.role() == Role.SHIELD && node.alive())
                                .map(SimNode::id))
                .distinct()
                .limit(seeds.size())
                .toList();
    }

    List<String> seeds() {
        return seeds.stream().map(NodeId::text).toList();
    }

    /** The shield that sent a request to an origin; empty where none did. */
    String sender(final String request) {
        return yard.sender(request);
    }

    public LossLimit losses() {
        return losses;
    }

    public void loseDisk(final String name, final long back) {
        trouble("lose-disk", name, back);
        losses.gone(name);
        node(name).kill();
        node(name).disk().lose();
        time.in(back, () -> start(name));
    }

    public void freeze(final String name, final long ms) {
        trouble("freeze", name, ms);
        losses.lostFor(name, ms);
        node(name).freeze(ms);
    }

    public void stall(final String name, final long ms) {
        trouble("stall", name, ms);
        node(name).disk().stall(time.now() + ms);
    }

    public void full(final String name, final long ms) {
        trouble("full", name, ms);
        node(name).disk().full(true);
        time.in(ms, () -> node(name).disk().full(false));
    }

    /** The latest voting set that a living node goes by. */
    List<String> voters() {
        return nodes.values().stream()
                .filter(SimNode::alive)
                .map(node -> node.node().votingConfiguration())
                .max(Comparator.comparingLong(VotingConfiguration::epoch))
                .map(e -> e.voters().stream().map(NodeId::text).toList())
                .orElse(deployment.electors());
    }

    /** The named machines are cut from all others, both ways. */
    public void cut(final List<String> side, final long ms) {
        final List<String> voters = voters();
        final long votes = side.stream().filter(voters::contains).count();
        final List<String> weaker = nodes.keySet().stream()
                .filter(n -> side.contains(n) == votes * 2 < voters.size())
                .toList();
        weaker.forEach(n -> trouble("cut", n, ms));
        weaker.forEach(n -> losses.lostFor(n, ms));
        final List<String> others =
                nodes.keySet().stream().filter(n -> !side.contains(n)).toList();
        sever(side, others, ms);
        sever(others, side, ms);
    }

    /** Nothing gets from any of the first to any of the second. */
    void sever(final List<String> from, final List<String> to, final long ms) {
        from.forEach(a -> to.forEach(b -> {
            net.cut(a, b);
            time.in(ms, () -> net.heal(a, b));
        }));
    }

    public void drift(final String name, final double pace, final long ms) {
        trouble("drift", name, ms);
        losses.lostFor(name, ms);
        node(name).drift(pace);
        time.in(ms, () -> node(name).drift(1));
    }

    /** All power and some disks at once. */
    public void blackout(final List<String> disks, final long back) {
        List.copyOf(nodes.keySet()).forEach(n -> power(n, back + time.dice().nextInt(500)));
        disks.forEach(n -> node(n).disk().lose());
        time.in(back + 500, () -> trouble("returned", "", 0));
    }

    /** The machine, also one that left for good. */
    public SimNode node(final String name) {
        return nodes.getOrDefault(name, gone.get(name));
    }

    public Map<String, SimNode> nodes() {
        return nodes;
    }

    public SimOrigins origins() {
        return origins;
    }

    public StandInBackend stock(final String service) {
        return origins.stock(service);
    }

    public VirtualTime world() {
        return time;
    }

    public SimTransport net() {
        return net;
    }

    public RunLog log() {
        return log;
    }

    public Deployment place() {
        return deployment;
    }

    public ItemOperator itemOperator() {
        return itemOperator;
    }

    public UpdateOperator orderOperator() {
        return orderOperator;
    }

    public SimClients crowd() {
        return crowd;
    }

    /** The acting lease authority, by the nodes' own word; empty while there is none. */
    public String boss() {
        return nodes.values().stream()
                .filter(node -> node.alive()
                        && node.node().settings().isLeaderEligible()
                        && node.node().election().isLeader())
                .map(node -> node.id().text())
                .findFirst()
                .orElse("");
    }
}
