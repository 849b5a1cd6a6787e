package org.rowanvalve.data.edge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.CancelRequest;
import org.rowanvalve.common.message.OpenForwardsRequest;
import org.rowanvalve.common.model.CancelCause;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.config.ConfigurationView;
import org.rowanvalve.control.config.ConfiguredRoute;
import org.rowanvalve.control.config.RequestLimits;
import org.rowanvalve.control.config.RouteMode;
import org.rowanvalve.data.cache.Cache;
import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.data.request.ClientResponse;

/** Serves client requests: runs the steps of the request's route in order until one of them answers the request. */
public final class Edge {
    /** Maximum number of requests that are open at the same time. */
    private static final int MAX_REQUESTS = 2048;

    private final EventLoop loop;
    private final Transport transport;
    private final ConfigurationView configuration;
    private final BooleanSupplier viewFresh;
    private final int shards;
    private final EventJournal journal;
    private final EdgeRouting routing;
    private final String incarnation;
    private final Cache cache;
    private final Map<Integer, FencingToken> highestToken = new HashMap<>();
    private final Map<String, CoalescedFill> fills = new HashMap<>();
    private final Map<Long, Forward> forwards = new HashMap<>();
    private long lastSerial;
    private int openRequests;
    private boolean closed;
    private long lastRequestAt = Long.MIN_VALUE / 2;

    /**
     * @param incarnation identifies this run of the process; shields use it to tell the requests of this run from those of
     *     earlier runs
     */
    public Edge(
            final EventLoop loop,
            final Transport transport,
            final ConfigurationView configuration,
            final BooleanSupplier viewFresh,
            final int shards,
            final EventJournal journal,
            final long cacheBytes,
            final EdgeRouting routing,
            final String incarnation) {
        this.routing = routing;
        this.incarnation = incarnation;
        this.loop = loop;
        this.transport = transport;
        this.configuration = configuration;
        this.viewFresh = viewFresh;
        this.shards = shards;
        this.journal = journal;
        this.cache = new Cache(cacheBytes);
    }

    enum Step {
        VIEW,
        METHOD,
        SIZE,
        CONDITION,
        KEY,
        LOOK_UP,
        COALESCE,
        FORWARD
    }

    static List<Step> stepsOf(final ConfiguredRoute route) {
        final List<Step> steps = new ArrayList<>(List.of(Step.METHOD, Step.SIZE));
        if (route.condition().isPresent()) {
            steps.add(Step.CONDITION);
        }
        if (route.route().purgeable()) {
            steps.add(Step.VIEW);
        }
        if (route.route().hasMode(RouteMode.CACHED)) {
            steps.addAll(List.of(Step.LOOK_UP, Step.COALESCE));
        } else if (route.route().hasMode(RouteMode.KEYED)) {
            steps.add(Step.KEY);
        }
        steps.add(Step.FORWARD);
        return steps;
    }

    /** The current limits of client requests. */
    public RequestLimits limits() {
        return configuration.limits();
    }

    public void close() {
        closed = true;
    }

    /** The number of requests that have not been answered yet. */
    public int openRequests() {
        return openRequests;
    }

    /** Whether this edge is open, has routes to serve and has a shield to forward to. */
    public boolean canServe() {
        return !closed && configuration.hasRoutes() && !routing.nearestShields().isEmpty();
    }

    /** Whether no request has arrived in the last {@code ms} milliseconds. */
    public boolean isQuiet(final long ms) {
        return loop.now() - lastRequestAt >= ms;
    }

    /** Answers one request that cannot be cancelled. */
    public void handle(final ClientRequest request, final Consumer<ClientResponse> callback) {
        handle(request, Cancellation.NEVER, callback);
    }

    /** Answers one request; {@code callback} is called once, in the event loop, also if the request is cancelled. */
    public void handle(
            final ClientRequest request, final Cancellation cancellation, final Consumer<ClientResponse> callback) {
        lastRequestAt = loop.now();
        if (closed) {
            callback.accept(ClientResponse.notAccepted(503, "this node is leaving", 1000));
            return;
        }
        if (openRequests >= MAX_REQUESTS) {
            callback.accept(ClientResponse.notAccepted(503, "too many requests wait here", 1000));
            return;
        }
        final ConfiguredRoute route =
                configuration.route(request.host(), request.path()).orElse(null);
        if (route == null) {
            callback.accept(
                    viewFresh.getAsBoolean()
                            ? ClientResponse.notAccepted(404, "no route takes this path", 0)
                            : ClientResponse.notAccepted(503, "the frame is not confirmed", 1000));
            return;
        }
        if (!route.isUsable()) {
            callback.accept(ClientResponse.notAccepted(503, "the route does not fit its service", 1000));
            return;
        }
        openRequests++;
        new EdgeRequest(this, request, route, cancellation, response -> {
                    openRequests--;
                    callback.accept(response);
                })
                .execute();
    }

    EventLoop loop() {
        return loop;
    }

    Transport transport() {
        return transport;
    }

    ConfigurationView view() {
        return configuration;
    }

    EdgeRouting routing() {
        return routing;
    }

    Cache cache() {
        return cache;
    }

    EventJournal journal() {
        return journal;
    }

    /**
     * Registers a forward and returns its serial. Until the shield has responded, the shield can request further attempts
     * under this serial.
     */
    long openForward(final Forward forward) {
        final long serial = nextSerial();
        forwards.put(serial, forward);
        return serial;
    }

    void closeForward(final long serial) {
        forwards.remove(serial);
    }

    String incarnation() {
        return incarnation;
    }

    /**
     * Tells a shield that its response is no longer needed. Shields of an earlier release, which do not support this message,
     * are not notified.
     */
    void sendCancel(final NodeId shield, final long serial, final CancelCause cause) {
        if (routing.supportsCancel(shield)) {
            transport.send(shield, new CancelRequest(incarnation, serial, cause));
        }
    }

    /** Returns to how many more origins the shield may send the request with this serial. */
    public int grantAttempts(final NodeId shield, final long serial) {
        return forwards.containsKey(serial) ? forwards.get(serial).grantMore(shield) : 0;
    }

    /** Returns those of the queried serials whose responses a client of this edge still waits for. */
    public List<Long> openForwards(final OpenForwardsRequest request) {
        if (!incarnation.equals(request.incarnation())) {
            return List.of();
        }
        return request.serials().stream()
                .filter(serial ->
                        forwards.containsKey(serial) && forwards.get(serial).isWanted())
                .toList();
    }

    Map<String, CoalescedFill> fills() {
        return fills;
    }

    boolean isViewFresh() {
        return viewFresh.getAsBoolean();
    }

    int shards() {
        return shards;
    }

    long nextSerial() {
        return ++lastSerial;
    }

    FencingToken highestToken(final int shard) {
        return highestToken.getOrDefault(shard, FencingToken.ZERO);
    }

    void recordToken(final int shard, final FencingToken token) {
        highestToken.merge(shard, token, (known, update) -> known.isBelow(update) ? update : known);
    }
}
