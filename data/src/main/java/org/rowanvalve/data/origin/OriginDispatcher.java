package org.rowanvalve.data.origin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
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
import org.rowanvalve.control.lease.FenceReason;
import org.rowanvalve.control.lease.LeaseHolder;
import org.rowanvalve.control.placement.PlacementPlan;
import org.rowanvalve.data.limit.RetryBudget;
import org.rowanvalve.data.request.ExecutionKnowledge;
import org.rowanvalve.data.settings.NodeSettings;

/** Sends every origin request of this node. The lease is checked right before a request is written. */
public final class OriginDispatcher {
    private static final int MAX_WAITING = 256;
    /** The end of a process that is not stopping. */
    private static final long NOT_STOPPING = Long.MAX_VALUE;

    private final NodeSettings settings;
    private final EventLoop loop;
    private final OriginTransport originTransport;
    private final ConfigurationView configuration;
    private final LeaseHolder leases;
    private final ClusterView surroundings;
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
    private long stopDeadline = NOT_STOPPING;

    /**
     * The end of an origin request.
     *
     * @param mayHaveRun whether the request may have reached an origin and been executed
     */
    public record Completion(
            OriginTransport.OriginResponse response, boolean mayHaveRun, long sentAt, long retryAfterMs) {
        /** What the end says about the execution of the request. */
        public ExecutionKnowledge.Level executionLevel() {
            if (response.result() == OriginTransport.ExchangeResult.COMPLETE) {
                return ExecutionKnowledge.Level.DONE;
            }
            return mayHaveRun ? ExecutionKnowledge.Level.MAY_HAVE_RUN : ExecutionKnowledge.Level.NOT_SENT;
        }
    }

    /**
     * What this node knows of the cluster.
     *
     * @param withoutQuorum whether this node is without contact to a majority of voters
     * @param peers the other shields that this node is in contact with
     * @param edgeCount the number of edges ever seen, including partitioned edges that may still send
     * @param shieldCount the number of shields ever seen, including partitioned shields that may still send
     */
    public record ClusterView(
            BooleanSupplier viewFresh,
            BooleanSupplier withoutQuorum,
            Supplier<List<NodeId>> peers,
            IntSupplier edgeCount,
            IntSupplier shieldCount) {
        public ClusterView(
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
            final ClusterView surroundings,
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

    /** Applies the retry limits of the current settings. An edge has no retry budget of its own. */
    public void reload() {
        if (!settings.hasRole(Role.EDGE)) {
            retryBudget.setLimits(settings.retryRatio(), settings.retrySlack());
        }
    }

    /** Sends a request to origins of its service until one responds, within the request's deadline and attempts. */
    public void send(final OriginRequest request, final Consumer<Completion> callback) {
        new OriginDispatch(this, request, callback).start();
    }

    boolean maySend(final int shard, final String service) {
        if (shard == OriginRequest.NO_SHARD) {
            return (surroundings.viewFresh().getAsBoolean()
                            || surroundings.withoutQuorum().getAsBoolean())
                    && configuration.hasService(service);
        }
        return leases.mayFill(shard) && surroundings.viewFresh().getAsBoolean() && configuration.hasService(service);
    }

    /** Returns the number of requests that wait to be sent or are in flight at origins. */
    public int inFlight() {
        return waitingForRate
                + waitQueue.size()
                + attemptsByShard.values().stream().mapToInt(Set::size).sum();
    }

    /**
     * Stops the fills of a shard. Requests in flight may finish within the grace time; then their connections are
     * closed.
     */
    public void stop(final int shard, final FenceReason reason, final long grace, final Consumer<Boolean> done) {
        if (attemptsByShard(shard).isEmpty()) {
            done.accept(true);
            return;
        }
        loop.schedule(grace, () -> {
            new ArrayList<>(attemptsByShard(shard)).forEach(attempt -> attempt.abort(BreakCause.of(reason)));
            done.accept(attemptsByShard(shard).isEmpty());
        });
    }

    /**
     * Gives up the requests that wait to be sent under the revoked lease of a shard, so that their callers can turn to the
     * next holder at once.
     */
    public void giveUpUnsent(final int shard) {
        if (isRevoked(shard)) {
            configuration.serviceNames().forEach(this::drainQueue);
        }
    }

    /** Whether a request needs the lease of a shard that this node does not have any more. */
    boolean isRevoked(final int shard) {
        return shard != OriginRequest.NO_SHARD && !leases.mayServe(shard);
    }

    /** The process stops; it ends at {@code deadline} at the latest. */
    public void onStopping(final long deadline) {
        stopDeadline = deadline;
    }

    /** The process ends now, with the connections to the origins that are still at work. */
    public void onProcessEnd() {
        attemptsByShard.values().forEach(attempts -> attempts.forEach(OriginAttempt::onProcessEnd));
    }

    /** The time until this process has to end, in ms; empty if it is not stopping. */
    OptionalLong graceLeftMs() {
        return stopDeadline == NOT_STOPPING ? OptionalLong.empty() : OptionalLong.of(stopDeadline - loop.now());
    }

    /** Applies another shield's report of its requests in flight at origins. */
    public void onLoadReport(final NodeId from, final LoadReport report) {
        load.onReport(from, report.requestsByOrigin(), loop.now());
        configuration.serviceNames().forEach(this::drainQueue);
    }

    void drainQueue(final String service) {
        for (WaitQueue.Place place = waitQueue.next(service); place != null; place = waitQueue.next(service)) {
            place.action().run();
        }
    }

    /** Returns and resets the demand counted since the last call. */
    public List<ShardDemand> drainDemand() {
        return demand.drain();
    }

    /** Returns this lease holder's share of a service's rate: the sum of the weights of the shards that it may fill. */
    private double weightOf(final String service) {
        return leases.leases().keySet().stream()
                        .filter(leases::mayFill)
                        .mapToInt(shard -> configuration.plan().weight(service, shard))
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

    /** Returns the requests in flight under the lease of a shard. */
    Set<OriginAttempt> attemptsByShard(final int shard) {
        return attemptsByShard.computeIfAbsent(shard, k -> new HashSet<>());
    }

    String token(final int shard) {
        return shard == OriginRequest.NO_SHARD ? "none" : leases.token(shard).toString();
    }

    /** Returns a new ID for a request that came without one. */
    String newRequestId() {
        return settings.self().id().text() + "-" + settings.self().incarnation() + "-" + ++requestSerial;
    }

    boolean mayWaitForRate() {
        return waitingForRate < MAX_WAITING;
    }

    void adjustWaitingForRate(final int change) {
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

    /** Records a first request to a service, which adds a fraction of a retry to the budget. */
    void recordFirst(final String service) {
        retryBudget.recordFirstAttempt(service, loop.now());
    }

    /** Takes a retry from a service's budget. Returns whether the retry may be made now. */
    boolean trySpendRetry(final String service) {
        return retryBudget.trySpend(
                service,
                loop.now(),
                Math.max(senderCount(), surroundings.shieldCount().getAsInt()));
    }

    /** Returns a retry to the budget that is known not to have been made. */
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
