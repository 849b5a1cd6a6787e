package org.rowanvalve.testkit.sim;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import org.rowanvalve.common.Condition;
import org.rowanvalve.common.DiskTrouble;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Member;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Role;
import org.rowanvalve.control.Quorum;
import org.rowanvalve.data.Node;
import org.rowanvalve.data.Setup;
import org.rowanvalve.testkit.Log;

/** One machine: the real node classes on virtual time, with a clock of its own. */
public final class SimNode implements Loop {
    private final World world;
    private final SimNet net;
    private final SimDisk disk;
    private final SimPort.Yard yard;
    private final Log log;
    private final NodeId id;
    private final Role role;
    private final String cell;
    private java.util.List<NodeId> seeds;
    private final Quorum quorum;
    private final int shards;
    private final int losses;
    private Node node;
    private SimPort port;
    private long life;
    private boolean alive;
    private long frozen;
    private double rate = 1;
    private long shift;
    private long hop;
    private long wallStep;
    private boolean founding = true;

    public SimNode(
            final World world,
            final SimNet net,
            final SimDisk disk,
            final SimPort.Yard yard,
            final Log log,
            final NodeId id,
            final Role role,
            final String cell,
            final java.util.List<NodeId> seeds,
            final Quorum quorum,
            final int shards,
            final int losses) {
        this.world = world;
        this.net = net;
        this.disk = disk;
        this.yard = yard;
        this.log = log;
        this.id = id;
        this.role = role;
        this.cell = cell;
        this.seeds = seeds;
        this.quorum = quorum;
        this.shards = shards;
        this.losses = losses;
        this.shift = world.dice().nextInt(100_000);
        net.join(this);
    }

    public NodeId id() {
        return id;
    }

    public Role role() {
        return role;
    }

    public String cell() {
        return cell;
    }

    public Node node() {
        return node;
    }

    public SimDisk disk() {
        return disk;
    }

    public long life() {
        return life;
    }

    public boolean alive() {
        return alive;
    }

    public boolean frozen() {
        return world.now() < frozen;
    }

    public void start() {
        life++;
        alive = true;
        frozen = 0;
        final String boot = "b" + life;
        final Journal journal = new Journal(this, 200);
        journal.fold(e -> {
            final Map<String, Object> row = new LinkedHashMap<>();
            row.put("log", "node");
            row.put("t", world.now());
            row.put("node", id.text());
            row.put("boot", boot);
            row.put("code", e.event().code().tag());
            row.put("name", e.event().code().name());
            e.event().facts().forEach((k, v) -> row.putIfAbsent(k.equals("node") ? "peer" : k, v));
            log.add(row);
        });
        final Member self = new Member(id, role, cell, "127.0.0.1", 1, boot, Condition.PARTIAL, "sim");
        final Setup setup = Setup.of(self)
                .seeds(seeds)
                .quorum(quorum)
                .shards(shards)
                .wantedLosses(losses)
                .first(founding && life == 1 || !quorum.stores().isEmpty())
                .build();
        port = yard.port(this);
        node = new Node(
                setup,
                new Node.Seams(
                        this,
                        net.of(this),
                        disk.open(this),
                        port,
                        new Random(world.dice().nextLong()),
                        () -> 1_700_000_000_000L + world.now() + wallStep,
                        m -> {}),
                journal);
        post(() -> {
            try {
                node.start();
            } catch (final DiskTrouble e) {
                throw new IllegalStateException(e);
            }
        });
    }

    /** Stores have a disk; where there are none, shields do. */
    private boolean keeps() {
        return role == Role.STORE || role == Role.SHIELD && quorum.stores().isEmpty();
    }

    public void kill() {
        alive = false;
        life++;
        if (!keeps()) {
            disk.lose();
        }
    }

    /** It joins a network that was founded before. */
    SimNode joining() {
        founding = false;
        return this;
    }

    /** What its settings name from now on; a running process is told. */
    public void seeds(final java.util.List<NodeId> list) {
        seeds = java.util.List.copyOf(list);
        if (alive) {
            final Map<NodeId, InetSocketAddress> addresses = new LinkedHashMap<>();
            seeds.forEach(s -> addresses.put(s, InetSocketAddress.createUnresolved(s.text(), 1)));
            post(() -> node.seeds(addresses));
        }
    }

    /** Its time of day jumps; the clock that its timers run on does not. */
    public void stepClock(final long ms) {
        wallStep += ms;
    }

    public void freeze(final long ms) {
        frozen = Math.max(frozen, world.now() + ms);
    }

    /** Whether a request is under way in it. */
    boolean busy() {
        return role == Role.EDGE ? node.edge().busy() > 0 : port.busy();
    }

    /** A share of its circuits to origins is reset. */
    void resetOriginCircuits(final double share) {
        port.resetCircuits(world.dice()::nextDouble, share);
    }

    /** From now on this clock runs at {@code pace} of true time. */
    public void drift(final double pace) {
        shift = now();
        hop = world.now();
        rate = pace;
    }

    @Override
    public long now() {
        return shift + (long) ((world.now() - hop) * rate);
    }

    @Override
    public void after(final long ms, final Runnable job) {
        final long mine = life;
        world.in((long) Math.ceil(ms / rate), () -> fire(mine, job));
    }

    private void fire(final long mine, final Runnable job) {
        if (!alive || life != mine) {
            return;
        }
        if (world.now() < frozen) {
            world.at(frozen, () -> fire(mine, job));
        } else {
            job.run();
        }
    }
}
