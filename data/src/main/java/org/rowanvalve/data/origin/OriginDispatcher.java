package org.rowanvalve.data.origin;

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
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.LoadReport;
import org.rowanvalve.common.message.ShardDemand;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.config.ConfigurationView;
import org.rowanvalve.control.lease.LeaseHolder;
import org.rowanvalve.control.placement.PlacementPlan;
import org.rowanvalve.data.limit.RetryBudget;
import org.rowanvalve.data.settings.NodeSettings;

/** Every request to an origin leaves a node through here; the lease is checked at the last moment. */
public final class OriginDispatcher {
    private static final int MAX_WAITING = 256;
    private final NodeSettings settings;
    private final EventLoop loop;
    private final OriginTransport originTransport;
    private final ConfigurationView configuration;
    private final LeaseHolder leases;
    private final Surroundings surroundings;
    private final EventJournal journal;
    private final RateLimitShare rateLimitShare;
    private final RetryBudget retryBudget;
    private final OriginLoad load;
    private final LoadExchange loadExchange;
    private final WaitQueue waitQueue = new WaitQueue();
    private final Map<Integer, Set<OriginAttempt>> attemptsByShard = new HashMap<>();
    private final DemandCounter demand = new DemandCounter();
    private long requestSerial;
    private int waitingForRate;

    /** {@code mayHaveRun}: bytes may have reached the origin. */
    public record Completion(
            OriginTransport.OriginResponse response, boolean mayHaveRun, long sentAt, long retryAfterMs) {}

    /**
     * {@code withoutQuorum}: no majority of voters is heard from; {@code peers}: the other shields that are heard from;
     * {@code edgeCount}, {@code shields}: how many were ever heard from, including those that may be partitioned and go
     * on sending.
     */
    public record Surroundings(
            BooleanSupplier viewFresh,
            BooleanSupplier withoutQuorum,
            Supplier<List<NodeId>> peers,
            IntSupplier edgeCount,
            IntSupplier shieldCount) {
        public Surroundings(
                final BooleanSupplier viewFresh,
                final BooleanSupplier withoutQuorum,
                final Supplier<List<NodeId>> peers,
                final IntSupplier edgeCount) {
            this(viewFresh, withoutQuorum, peers, edgeCount, () -> 1);
        }
    }

    public OriginDispatcher(
            final NodeSettings settings,
            final EventLoop loop,
            final Transport transport,
            final OriginTransport originTransport,
            final ConfigurationView configuration,
            final LeaseHolder leases,
            final Surroundings surroundings,
            final EventJournal journal) {
        this.settings = settings;
        this.loop = loop;
        this.originTransport = originTransport;
        this.configuration = configuration;
        this.leases = leases;
        this.surroundings = surroundings;
        this.journal = journal;
        this.retryBudget = new RetryBudget(0, 0);
        reload();
        this.rateLimitShare = new RateLimitShare(settings, surroundings.edgeCount(), this::senderCount, this::weightOf);
        this.load = new OriginLoad(settings.self().location());
        this.loadExchange = new LoadExchange(loop, transport, load, surroundings.peers());
        loop.scheduleRepeatedly(
                LoadExchange.INTERVAL_MS, () -> configuration.serviceNames().forEach(this::drainQueue));
    }

    /** Takes the retry bounds from the present settings; an edge has none of its own. */
    public void reload() {
        if (!settings.hasRole(Role.EDGE)) {
            retryBudget.setLimits(settings.retryRatio(), settings.retrySlack());
        }
    }

    /** Sends a request to origins of its service until one answers, within its deadline and attempts. */
    public void send(final OriginRequest request, final Consumer<Completion> callback) {
        new OriginDispatch(this, request, callback).start();
    }

    boolean mayUse(final int shard, final String service) {
        if (shard == OriginRequest.NO_SHARD) {
            return (surroundings.viewFresh().getAsBoolean()
                            || surroundings.withoutQuorum().getAsBoolean())
                    && configuration.hasService(service);
        }
        return leases.mayFill(shard) && surroundings.viewFresh().getAsBoolean() && configuration.hasService(service);
    }

    /** Requests sent to origins and not ended. */
    public int inFlight() {
        return waitingForRate
                + waitQueue.size()
                + attemptsByShard.values().stream().mapToInt(Set::size).sum();
    }

    /** Stops the fills of a shard: requests in flight get the grace time, then their connections are closed. */
    public void stop(final int shard, final long grace, final Consumer<Boolean> done) {
        if (attemptsByShard(shard).isEmpty()) {
            done.accept(true);
            return;
        }
        loop.schedule(grace, () -> {
            new ArrayList<>(attemptsByShard(shard)).forEach(OriginAttempt::abort);
            done.accept(attemptsByShard(shard).isEmpty());
        });
    }

    /** Another shield's number of requests at origins. */
    public void onLoadReport(final NodeId from, final LoadReport report) {
        load.onReport(from, report.requestsByOrigin(), loop.now());
        configuration.serviceNames().forEach(this::drainQueue);
    }

    void drainQueue(final String service) {
        for (WaitQueue.Place place = waitQueue.next(service); place != null; place = waitQueue.next(service)) {
            place.action().run();
        }
    }

    /** The demand since this was last read. */
    public List<ShardDemand> drainDemand() {
        return demand.drain();
    }

    /** This holder's part of a service's rate: the weights of the shards it may fill. */
    private double weightOf(final String service) {
        return leases.leases().keySet().stream()
                        .filter(leases::mayFill)
                        .mapToInt(s -> configuration.plan().weight(service, s))
                        .sum()
                / (double) PlacementPlan.WEIGHT_SCALE;
    }

    int senderCount() {
        return Math.max(
                1, Math.max(surroundings.peers().get().size() + 1, (int) configuration.plan().assignments().stream()
                        .map(PlacementPlan.Assignment::owner)
                        .distinct()
                        .count()));
    }

    /** The requests in flight under the lease of a shard. */
    Set<OriginAttempt> attemptsByShard(final int shard) {
        return attemptsByShard.computeIfAbsent(shard, k -> new HashSet<>());
    }

    String token(final int shard) {
        return shard == OriginRequest.NO_SHARD ? "none" : leases.token(shard).toString();
    }

    /** A name for a request that came without one. */
    String newRequestId() {
        return settings.self().id().text() + "-" + settings.self().incarnation() + "-" + ++requestSerial;
    }

    boolean mayWaitForRate() {
        return waitingForRate < MAX_WAITING;
    }

    void waitingForRate(final int change) {
        waitingForRate += change;
    }

    EventLoop loop() {
        return loop;
    }

    OriginTransport originTransport() {
        return originTransport;
    }

    ConfigurationView view() {
        return configuration;
    }

    EventJournal journal() {
        return journal;
    }

    RateLimitShare rateLimitShare() {
        return rateLimitShare;
    }

    /** A first request to a service: it earns a fraction of a retry. */
    void recordFirst(final String service) {
        retryBudget.recordFirst(service, loop.now());
    }

    /** Whether a retry to a service may be made now; it is counted as made. */
    boolean trySpendRetry(final String service) {
        return retryBudget.trySpend(
                service,
                loop.now(),
                Math.max(senderCount(), surroundings.shieldCount().getAsInt()));
    }

    /** A retry that was counted was surely not made. */
    void giveBackRetry(final String service) {
        retryBudget.giveBack(service, loop.now());
    }

    OriginLoad load() {
        return load;
    }

    LoadExchange loadExchange() {
        return loadExchange;
    }

    WaitQueue waitQueue() {
        return waitQueue;
    }

    DemandCounter demand() {
        return demand;
    }
}
