package org.rowanvalve.testkit.sim;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.NodeStatus;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.StorageException;
import org.rowanvalve.control.operator.ApiResponse;
import org.rowanvalve.control.voting.Quorum;
import org.rowanvalve.data.node.Node;
import org.rowanvalve.data.settings.NodeSettings;
import org.rowanvalve.testkit.log.RunLog;

/** One machine: the real node classes on virtual time, with a clock of its own. */
public final class SimNode implements EventLoop {
    private final VirtualTime time;
    private final SimTransport net;
    private final SimStorage disk;
    private final SimOriginTransport.OriginDirectory yard;
    private final RunLog log;
    private final NodeId id;
    private final Role role;
    private final String cell;
    private java.util.List<NodeId> seeds;
    private final Quorum quorum;
    private final int shards;
    private final int losses;
    private Node node;
    private SimOriginTransport port;
    private long life;
    private boolean alive;
    private long frozen;
    private double rate = 1;
    private long shift;
    private long hop;
    private long wallStep;
    private final SimProcessor processor;
    private boolean founding = true;

    public SimNode(
            final VirtualTime time,
            final SimTransport net,
            final SimStorage disk,
            final SimOriginTransport.OriginDirectory yard,
            final RunLog log,
            final NodeId id,
            final Role role,
            final String cell,
            final java.util.List<NodeId> seeds,
            final Quorum quorum,
            final int shards,
            final int losses) {
        this.time = time;
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
        this.processor = new SimProcessor(time);
        this.shift = time.dice().nextInt(100_000);
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

    /** Declares one item at this node, in its loop. */
    public void putItem(
            final ItemId id,
            final byte[] body,
            final long expectedVersion,
            final String operationId,
            final Consumer<ApiResponse> callback) {
        execute(() -> node.configurationService().putItem(id, body, expectedVersion, operationId, callback));
    }

    public SimStorage disk() {
        return disk;
    }

    public long life() {
        return life;
    }

    public boolean alive() {
        return alive;
    }

    public boolean frozen() {
        return time.now() < frozen;
    }

    public void start() {
        life++;
        alive = true;
        frozen = 0;
        processor.clear();
        final String boot = "b" + life;
        final EventJournal journal = new EventJournal(this, 200);
        journal.subscribe(entry -> {
            final Map<String, Object> row = new LinkedHashMap<>();
            row.put("log", "node");
            row.put("t", time.now());
            row.put("node", id.text());
            row.put("boot", boot);
            row.put("code", entry.event().code().id());
            row.put("name", entry.event().code().name());
            entry.event().facts().forEach((k, v) -> row.putIfAbsent(k.equals("node") ? "peer" : k, v));
            log.add(row);
        });
        final Member self = new Member(id, role, cell, "127.0.0.1", 1, boot, NodeStatus.PARTIAL, "sim");
        final NodeSettings settings = NodeSettings.builderFor(self)
                .seeds(seeds)
                .quorum(quorum)
                .shards(shards)
                .toleratedLosses(losses)
                .firstBoot(founding && life == 1 || !quorum.stores().isEmpty())
                .build();
        port = yard.port(this);
        node = new Node(
                settings,
                new Node.Runtime(
                        this,
                        net.of(this),
                        disk.open(this),
                        port,
                        new Random(time.dice().nextLong()),
                        () -> 1_700_000_000_000L + time.now() + wallStep,
                        member -> {}),
                journal);
        execute(() -> {
            try {
                node.start();
            } catch (final StorageException e) {
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
            execute(() -> node.updateSeeds(addresses));
        }
    }

    /** Its time of day jumps; the clock that its timers run on does not. */
    public void stepClock(final long ms) {
        wallStep += ms;
    }

    public void freeze(final long ms) {
        frozen = Math.max(frozen, time.now() + ms);
    }

    /** Whether a request is under way in it. */
    boolean busy() {
        return role == Role.EDGE ? node.edge().openRequests() > 0 : port.busy();
    }

    /** From now on each message that it receives takes its processor this long, in microseconds. */
    public void messageCost(final long microsPerMessage, final long microsPerKilobyte) {
        processor.cost(microsPerMessage, microsPerKilobyte);
    }

    /** Handles a message once the processor has got to it. */
    void process(final int frameBytes, final Runnable job) {
        schedule(processor.delayMs(frameBytes), job);
    }

    /** A share of its circuits to origins is reset. */
    void resetOriginCircuits(final double share) {
        port.resetCircuits(time.dice()::nextDouble, share);
    }

    /** From now on this clock runs at {@code pace} of true time. */
    public void drift(final double pace) {
        shift = now();
        hop = time.now();
        rate = pace;
    }

    @Override
    public long now() {
        return shift + (long) ((time.now() - hop) * rate);
    }

    @Override
    public void schedule(final long ms, final Runnable job) {
        final long mine = life;
        time.in((long) Math.ceil(ms / rate), () -> fire(mine, job));
    }

    private void fire(final long mine, final Runnable job) {
        if (!alive || life != mine) {
            return;
        }
        if (time.now() < frozen) {
            time.at(frozen, () -> fire(mine, job));
        } else {
            job.run();
        }
    }
}
