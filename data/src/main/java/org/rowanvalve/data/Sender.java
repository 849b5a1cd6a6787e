package org.rowanvalve.data;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Role;
import org.rowanvalve.control.ConfigView;
import org.rowanvalve.control.Holder;
import org.rowanvalve.control.Plan;

/** Every request to an origin leaves a node through here; the right to send is checked at the last moment. */
public final class Sender {
    private static final int ROOM = 256;
    private final Setup setup;
    private final Loop loop;
    private final Port port;
    private final ConfigView view;
    private final Holder holder;
    private final Ties ties;
    private final Journal journal;
    private final CeilingShare ceiling;
    private final RetryBudget budget;
    private final OriginLoad load;
    private final LoadExchange loadExchange;
    private final WaitQueue line = new WaitQueue();
    private final Map<Integer, Set<OriginAttempt>> live = new HashMap<>();
    private final SendDemand demand = new SendDemand();
    private long serial;
    private int waiting;

    /** {@code ran}: bytes may have reached the origin. */
    public record Sent(Port.Got got, boolean ran, long at, long retryMs) {}

    /**
     * {@code alone}: no majority can be heard from; {@code peers}: the other shields that are heard from; {@code edges}, {@code
     * shields}: how many were ever heard of, those included that may be cut off and go on sending.
     */
    public record Ties(
            BooleanSupplier fresh,
            BooleanSupplier alone,
            Supplier<List<NodeId>> peers,
            IntSupplier edges,
            IntSupplier shields) {
        public Ties(
                final BooleanSupplier fresh,
                final BooleanSupplier alone,
                final Supplier<List<NodeId>> peers,
                final IntSupplier edges) {
            this(fresh, alone, peers, edges, () -> 1);
        }
    }

    public Sender(
            final Setup setup,
            final Loop loop,
            final Net net,
            final Port port,
            final ConfigView view,
            final Holder holder,
            final Ties ties,
            final Journal journal) {
        this.setup = setup;
        this.loop = loop;
        this.port = port;
        this.view = view;
        this.holder = holder;
        this.ties = ties;
        this.journal = journal;
        this.budget = new RetryBudget(0, 0);
        reload();
        this.ceiling = new CeilingShare(setup, ties.edges(), this::senders, this::share);
        this.load = new OriginLoad(setup.self().cell());
        this.loadExchange = new LoadExchange(loop, net, load, ties.peers());
        loop.every(LoadExchange.EACH, () -> view.serviceNames().forEach(this::drain));
    }

    /** Takes the bounds on extra tries from the settings that hold now; an edge has none of its own. */
    void reload() {
        if (!setup.is(Role.EDGE)) {
            budget.limits(setup.share(), setup.slack());
        }
    }

    public void send(final OriginRequest order, final Consumer<Sent> then) {
        new OriginDispatch(this, order, then).begin();
    }

    boolean right(final int shard, final String service) {
        if (shard == OriginRequest.NONE) {
            return (ties.fresh().getAsBoolean() || ties.alone().getAsBoolean()) && view.allows(service);
        }
        return holder.may(shard) && ties.fresh().getAsBoolean() && view.allows(service);
    }

    public int busy() {
        return waiting
                + line.size()
                + live.values().stream().mapToInt(Set::size).sum();
    }

    /** For the holder's fence: sends in flight get the grace, then their connections are closed. */
    public void stop(final int shard, final long grace, final Consumer<Boolean> done) {
        if (live(shard).isEmpty()) {
            done.accept(true);
            return;
        }
        loop.after(grace, () -> {
            new ArrayList<>(live(shard)).forEach(OriginAttempt::cut);
            done.accept(live(shard).isEmpty());
        });
    }

    /** Another shield's requests at origins. */
    public void told(final NodeId from, final Msg.Busy b) {
        load.told(from, b.counts(), loop.now());
        view.serviceNames().forEach(this::drain);
    }

    void drain(final String service) {
        for (WaitQueue.Place p = line.next(service); p != null; p = line.next(service)) {
            p.go().run();
        }
    }

    /** What was wanted since this was last asked. */
    public List<Msg.Wish> wishes() {
        return demand.take();
    }

    /** This holder's part of a service's rate: the weights of the shards it may fill. */
    private double share(final String service) {
        return holder.leases().keySet().stream()
                        .filter(holder::may)
                        .mapToInt(s -> view.plan().weight(service, s))
                        .sum()
                / (double) Plan.WHOLE;
    }

    int senders() {
        return Math.max(1, Math.max(ties.peers().get().size() + 1, (int)
                view.plan().parts().stream().map(Plan.Part::owner).distinct().count()));
    }

    /** The sends under way by the right of a shard. */
    Set<OriginAttempt> live(final int shard) {
        return live.computeIfAbsent(shard, k -> new HashSet<>());
    }

    String token(final int shard) {
        return shard == OriginRequest.NONE ? "none" : holder.token(shard).toString();
    }

    /** For a request that came without a name. */
    String ownName() {
        return setup.self().id().text() + "-" + setup.self().boot() + "-" + ++serial;
    }

    boolean mayWait() {
        return waiting < ROOM;
    }

    void waiting(final int change) {
        waiting += change;
    }

    Loop loop() {
        return loop;
    }

    Port port() {
        return port;
    }

    ConfigView view() {
        return view;
    }

    Journal journal() {
        return journal;
    }

    CeilingShare ceiling() {
        return ceiling;
    }

    /** A first send to a service: it earns a part of an extra one. */
    void first(final String service) {
        budget.first(service, loop.now());
    }

    /** Whether an extra send to a service may be made now; it is taken as made. */
    boolean extra(final String service) {
        return budget.extra(
                service, loop.now(), Math.max(senders(), ties.shields().getAsInt()));
    }

    OriginLoad load() {
        return load;
    }

    LoadExchange exchangeLoad() {
        return loadExchange;
    }

    WaitQueue line() {
        return line;
    }

    SendDemand demand() {
        return demand;
    }
}
