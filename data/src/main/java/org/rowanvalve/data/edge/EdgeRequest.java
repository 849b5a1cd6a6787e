package org.rowanvalve.data.edge;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.message.ForwardResponse;
import org.rowanvalve.common.model.CancelCause;
import org.rowanvalve.common.model.Hash;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.common.model.VersionVector;
import org.rowanvalve.control.config.ConfiguredRoute;
import org.rowanvalve.control.config.RouteMode;
import org.rowanvalve.data.cache.CachedResponse;
import org.rowanvalve.data.cache.CopyRequirements;
import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.request.ByteRange;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.data.request.ClientResponse;
import org.rowanvalve.data.request.ExecutionKnowledge;
import org.rowanvalve.data.request.RequestFailure;
import org.rowanvalve.data.routing.ShardRouting;

/**
 * One client request at an edge. Runs the steps of its route in order until one of them answers the request. A request for
 * a cached object joins a fill that another request has started, or starts one.
 */
final class EdgeRequest {
    static final RequestFailure CLIENT_HAS_LEFT = new RequestFailure(503, "the client has left", 0);
    private static final long NOT_LEFT = -1;
    private static final int MAX_KEY_LENGTH = 128;
    /** Time reserved for returning the response if the client states a deadline, in ms. */
    private static final long STATED_DEADLINE_MARGIN_MS = 20;
    /** Time reserved for returning the response if the client states no deadline, in ms. */
    private static final long DEFAULT_MARGIN_MS = 300;
    /** Time added to the route's time-out if the client states no deadline, in ms. */
    private static final long DEFAULT_DEADLINE_SLACK_MS = 500;

    private final Edge edge;
    private final ClientRequest request;
    private final String ifRange;
    private final ConfiguredRoute route;
    private final Cancellation cancellation;
    private final Consumer<ClientResponse> callback;
    private final String cacheKey;
    private final long deadline;
    private final long marginMs;
    private final long startedAt;
    private final ExecutionKnowledge knowledge = new ExecutionKnowledge();
    private final ShieldForwarding forwarding;
    private final long routeVersion;
    private final String service;
    private VersionVector versions;
    /** The fill that this request started and forwards to shields for all requests that joined it. */
    private CoalescedFill ledFill;
    /** The fill that this request waits for. */
    private CoalescedFill joinedFill;

    private boolean finished;
    private long leftAt = NOT_LEFT;

    EdgeRequest(
            final Edge edge,
            final ClientRequest request,
            final ConfiguredRoute route,
            final Cancellation cancellation,
            final Consumer<ClientResponse> callback) {
        this.edge = edge;
        this.request =
                route.route().hasMode(RouteMode.CACHED) && request.method().equals("GET")
                        ? request.withoutConditions()
                        : request;
        this.ifRange = request.range() == null ? null : request.ifRange();
        this.route = route;
        this.cancellation = cancellation;
        this.callback = callback;
        this.cacheKey = ShardRouting.cacheKey(route, request.path(), null);
        this.versions = edge.view().versionsOf(route, request.path());
        this.routeVersion = edge.view()
                .item(new ItemId(ItemKind.ROUTE, route.name()))
                .version()
                .number();
        this.service = route.route().pickService(Hash.hash64(splitKey()));
        final boolean deadlineStated = request.timeoutMs() > 0;
        this.marginMs = deadlineStated ? STATED_DEADLINE_MARGIN_MS : DEFAULT_MARGIN_MS;
        this.startedAt = now();
        this.deadline = now()
                + (deadlineStated
                        ? Math.max(1, Math.min(request.timeoutMs(), route.timeoutMs()))
                        : route.timeoutMs() + DEFAULT_DEADLINE_SLACK_MS);
        this.forwarding = new ShieldForwarding(edge, this);
    }

    private long now() {
        return edge.loop().now();
    }

    /** The string whose hash selects the service of a route that splits its traffic. */
    private String splitKey() {
        return request.requestId() == null || request.requestId().isEmpty()
                ? request.path() + edge.nextSerial()
                : request.requestId();
    }

    /** The version of the route under which this request was accepted. */
    long routeVersion() {
        return routeVersion;
    }

    /** The service to which the route assigns this request. */
    String service() {
        return service;
    }

    ClientRequest request() {
        return request;
    }

    ConfiguredRoute route() {
        return route;
    }

    VersionVector versions() {
        return versions;
    }

    boolean finished() {
        return finished;
    }

    long startedAt() {
        return startedAt;
    }

    long deadline() {
        return deadline;
    }

    /** Time reserved for returning the response to the client, in ms. */
    long marginMs() {
        return marginMs;
    }

    boolean hasMode(final RouteMode mode) {
        return route.route().hasMode(mode);
    }

    /** Whether this request may be executed by origins at most once. */
    boolean isAtMostOnce() {
        return hasMode(RouteMode.KEYED) || hasMode(RouteMode.AT_MOST_ONCE);
    }

    void execute() {
        if (cancellation.isRequested()) {
            journal(EventCode.CLIENT_LEFT, "queue", "waitedMs", 0);
            fail(CLIENT_HAS_LEFT);
            return;
        }
        cancellation.onRequest(this::onClientLeft);
        for (final Edge.Step step : Edge.stepsOf(route)) {
            if (runStep(step)) {
                return;
            }
        }
    }

    private void onClientLeft() {
        if (finished) {
            return;
        }
        leftAt = now();
        journal(EventCode.CLIENT_LEFT, place(), "waitedMs", leftAt - startedAt);
        if (joinedFill != null) {
            joinedFill.onWaiterLeft();
        } else {
            abandon();
        }
    }

    /**
     * Adds an event about this request to the journal.
     *
     * @param durationName the event's key for the duration
     * @param durationMs the time that elapsed before the event
     */
    private void journal(final EventCode code, final String place, final String durationName, final long durationMs) {
        edge.journal()
                .add(Event.of(
                        code,
                        "request",
                        request.requestId(),
                        "route",
                        route.name(),
                        "place",
                        place,
                        durationName,
                        durationMs));
    }

    private String place() {
        return joinedFill != null && joinedFill != ledFill ? "joined-fill" : forwarding.place();
    }

    boolean hasLeft() {
        return cancellation.poll() == Cancellation.State.CANCELLED;
    }

    /**
     * Whether no client waits for the response to this request any more, nor for the fill that it leads. Polls the clients'
     * connections.
     */
    boolean isAbandoned() {
        return ledFill == null ? hasLeft() : ledFill.isAbandoned();
    }

    /**
     * Cancels the forwards in progress, because no client waits for the response any more. An at-most-once request that a
     * shield has received ends with the outcome that the shield reports, since only the shield knows whether the request was
     * sent to an origin. Between two forwards the request ends at once.
     */
    void abandon() {
        forwarding.cancelOpenForwards(CancelCause.CLIENT_LEFT);
        if (!isAtMostOnce() || !forwarding.isUnderWay()) {
            failAll(CLIENT_HAS_LEFT);
        }
    }

    void waitFor(final CoalescedFill fill) {
        joinedFill = fill;
        fill.join(this);
    }

    private boolean reject(final int status, final String reason, final long retryAfterMs) {
        fail(new RequestFailure(status, reason, retryAfterMs));
        return true;
    }

    /** What is known about the execution of this request. */
    ExecutionKnowledge knowledge() {
        return knowledge;
    }

    private void fail(final RequestFailure failure) {
        finish(failure.toResponse(knowledge, isAtMostOnce()));
    }

    private void finish(final ClientResponse response) {
        if (!finished) {
            finished = true;
            if (leftAt != NOT_LEFT) {
                journal(EventCode.WORK_ENDED, place(), "afterMs", now() - leftAt);
            }
            if (isAtMostOnce()) {
                journalEnd(response);
            }
            callback.accept(response);
        }
    }

    private void journalEnd(final ClientResponse response) {
        edge.journal()
                .add(Event.of(
                        EventCode.REQUEST_ENDED,
                        "request",
                        request.requestId(),
                        "key",
                        request.key() == null ? "" : request.key(),
                        "route",
                        route.name(),
                        "status",
                        response.status(),
                        "fate",
                        response.fate().code(),
                        "executed",
                        knowledge.level().name()));
    }

    private boolean runStep(final Edge.Step step) {
        final boolean isKeyed = hasMode(RouteMode.KEYED);
        return switch (step) {
            case METHOD ->
                !route.route().anyShield()
                        && !request.method().equals(isKeyed ? "POST" : "GET")
                        && reject(405, "this route takes " + (isKeyed ? "POST" : "GET"), 0);
            case SIZE ->
                request.body() != null
                        && request.body().length > route.service().bodyLimit()
                        && reject(413, "body over the limit", 0);
            case CONDITION -> checkCondition();
            case KEY ->
                (request.key() == null
                                || request.key().isEmpty()
                                || request.key().length() > MAX_KEY_LENGTH)
                        && reject(400, "header Rv-Key must be 1 to 128 characters", 0);
            case VIEW -> !edge.isViewFresh() && onStaleView();
            case LOOK_UP -> request.method().equals("GET") && answerFromCache();
            case COALESCE -> request.method().equals("GET") && joinFill();
            case FORWARD -> {
                forwarding.start();
                yield true;
            }
        };
    }

    /**
     * Handles a request while the configuration view is not confirmed. A request that needs no lease is forwarded if the node
     * has no quorum and therefore cannot learn of a newer configuration. Cached copies are not served, since they may have
     * been purged.
     */
    private boolean onStaleView() {
        if (route.route().anyShield()
                && !hasMode(RouteMode.KEYED)
                && edge.routing().isWithoutQuorum()) {
            forwarding.passThrough(new RequestFailure(503, "the frame is not confirmed", 500));
            return true;
        }
        return route.route().anyShield() && hasMode(RouteMode.KEYED)
                ? false
                : reject(503, "the frame is not confirmed", 1000);
    }

    private boolean checkCondition() {
        return switch (route.condition()
                .orElseThrow()
                .evaluate(
                        request.method(),
                        request.path(),
                        request.key(),
                        request.body() == null ? 0 : request.body().length)) {
            case HOLDS -> false;
            case DOES_NOT_HOLD -> reject(403, "the route's condition does not hold", 0);
            case UNDECIDED -> reject(400, "the route's condition cannot judge this request", 0);
        };
    }

    /** What a copy of the object must meet now to answer a request by this route. */
    private CopyRequirements requirements(final ConfiguredRoute answering) {
        return CopyRequirements.of(edge.view(), answering, request.path(), now());
    }

    private boolean answerFromCache() {
        final Optional<CachedResponse> copy =
                edge.cache().findFresh(cacheKey, new CopyRequirements(edge.view(), route, versions, now()));
        copy.ifPresent(cached -> respondFrom(cached, "hit"));
        return copy.isPresent();
    }

    private ClientResponse inRange(final ClientResponse complete) {
        return ByteRange.apply(complete, request.range(), ifRange);
    }

    private void respondFrom(final CachedResponse copy, final String cacheResult) {
        final Map<String, String> headers = new TreeMap<>(copy.headers());
        headers.put("Age", String.valueOf((now() - copy.filledAt()) / 1000));
        headers.put("Rv-Cache", cacheResult);
        finish(inRange(new ClientResponse(copy.status(), RequestOutcome.DONE, headers, copy.body())));
    }

    /**
     * Joins the current fill of the object, or starts one. A fill serves requests under its own versions or older ones; a
     * request under a newer version of a purge, or by another route or a newer version of the route, starts a new fill.
     */
    private boolean joinFill() {
        final CoalescedFill current = edge.fills().get(cacheKey);
        if (current != null && current.versions().covers(versions) && current.coversRoute(this)) {
            if (current.isFull(1)) {
                return reject(503, "too many wait for this object", 1000);
            }
            waitFor(current);
            return true;
        }
        ledFill = new CoalescedFill(this, versions);
        joinedFill = ledFill;
        edge.fills().put(cacheKey, ledFill);
        return false;
    }

    private List<EdgeRequest> takeWaiters() {
        edge.fills().remove(cacheKey, ledFill);
        return ledFill == null ? List.of(this) : ledFill.waiters();
    }

    /** Moves all waiting requests to a newer fill of the object, if one has superseded the fill of this request. */
    boolean handOver() {
        final CoalescedFill current = edge.fills().get(cacheKey);
        if (ledFill == null
                || current == null
                || current == ledFill
                || !current.versions().covers(edge.view().versionsOf(route, request.path()))
                || current.isFull(ledFill.waiterCount())) {
            return false;
        }
        ledFill.moveWaitersTo(current);
        return true;
    }

    /**
     * Updates this request to the current versions before it is sent to the lease holder, and its fill along with it if the
     * fill is still the current one.
     */
    void renewVersions() {
        versions = edge.view().versionsOf(route, request.path());
        if (ledFill != null && edge.fills().get(cacheKey) == ledFill) {
            ledFill.renewVersions(versions);
        }
    }

    /**
     * Delivers an origin's response to all waiting requests. Returns false, without answering any of them, if the object was
     * purged in the meantime.
     *
     * @param sentAt when this node sent the request for the response
     */
    boolean onFilled(final long sentAt, final ForwardResponse filled) {
        if (!hasMode(RouteMode.CACHED)) {
            respondToAll(uncached(filled));
            return true;
        }
        if (filled.versions() == null) {
            final ClientResponse response = uncached(filled);
            final CopyRequirements requirements = requirements(route);
            takeWaiters()
                    .forEach(waiter -> waiter.answerOrRestart(
                            waiter == this || requirements.allowsResponseRequestedAt(sentAt),
                            () -> waiter.finish(waiter.inRange(response))));
            return true;
        }
        final CachedResponse copy = copyOf(filled, sentAt);
        final CopyRequirements requirements = requirements(route);
        if (!requirements.isUnpurged(copy)) {
            return false;
        }
        storeIfFresh(copy);
        takeWaiters()
                .forEach(waiter -> waiter.answerOrRestart(
                        waiter == this || requirements.allowStale(copy), () -> waiter.respondFrom(copy, "miss")));
        return true;
    }

    private static ClientResponse uncached(final ForwardResponse filled) {
        return new ClientResponse(filled.status(), RequestOutcome.DONE, filled.headers(), filled.body());
    }

    /**
     * The copy that a shield has sent. Its age when the request arrived there gives a time at or before its fill. The shield
     * covered the purges that this node knew when it sent the request; {@link #onFilled} checks those learned since.
     */
    private static CachedResponse copyOf(final ForwardResponse filled, final long sentAt) {
        return new CachedResponse(
                filled.status(),
                filled.headers(),
                filled.body(),
                sentAt - filled.ageMs(),
                sentAt,
                CachedResponse.withoutTags(filled.versions()),
                CachedResponse.tagVersions(filled.versions()),
                filled.service());
    }

    /** Stores the copy if the route that is in force by now allows requests to be answered with it. */
    private void storeIfFresh(final CachedResponse copy) {
        if (copy.status() == 200
                && routeInForce()
                        .filter(current -> requirements(current).allowFresh(copy))
                        .isPresent()) {
            edge.cache().put(cacheKey, copy);
        }
    }

    private Optional<ConfiguredRoute> routeInForce() {
        return edge.view().route(request.host(), request.path());
    }

    /**
     * Runs {@code answer}, or starts this request over if the fill that it joined brought a response which is too old for
     * it.
     */
    private void answerOrRestart(final boolean isRecentEnough, final Runnable answer) {
        if (isRecentEnough) {
            answer.run();
            return;
        }
        joinedFill = null;
        versions = edge.view().versionsOf(route, request.path());
        if (!answerFromCache() && !joinFill()) {
            forwarding.start();
        }
    }

    /**
     * The copy to serve if the object cannot be filled: a copy that expired recently. On a purgeable route the copy is served
     * only while the view is confirmed.
     */
    private Optional<CachedResponse> staleCopy() {
        return routeInForce()
                .filter(current -> edge.isViewFresh() || !current.route().purgeable())
                .flatMap(current -> edge.cache().findUsable(cacheKey, requirements(current)));
    }

    /** Ends all waiting requests without an origin's response. */
    void failAll(final RequestFailure failure) {
        respondToAll(failure.toResponse(knowledge, isAtMostOnce()));
    }

    /** Answers all waiting requests; those that would get no origin's response get a stale copy if there is one. */
    private void respondToAll(final ClientResponse response) {
        final List<EdgeRequest> waiters = takeWaiters();
        final Optional<CachedResponse> stale =
                hasMode(RouteMode.CACHED) && response.fate() != RequestOutcome.DONE ? staleCopy() : Optional.empty();
        waiters.forEach(waiter ->
                stale.ifPresentOrElse(copy -> waiter.respondFrom(copy, "late"), () -> waiter.finish(response)));
    }
}
