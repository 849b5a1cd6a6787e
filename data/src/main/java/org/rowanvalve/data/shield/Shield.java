package org.rowanvalve.data.shield;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.rowanvalve.common.message.AttemptGrantRequest;
import org.rowanvalve.common.message.AttemptGrantResponse;
import org.rowanvalve.common.message.CancelRequest;
import org.rowanvalve.common.message.ForwardRequest;
import org.rowanvalve.common.message.ForwardResponse;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.Hash;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.common.model.VersionVector;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.config.ConfigurationView;
import org.rowanvalve.control.config.ConfiguredRoute;
import org.rowanvalve.control.config.RouteMode;
import org.rowanvalve.control.lease.LeaseHolder;
import org.rowanvalve.data.cache.Cache;
import org.rowanvalve.data.cache.CachedResponse;
import org.rowanvalve.data.cache.CopyRequirements;
import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.cancel.PauseMonitor;
import org.rowanvalve.data.keyed.KeyedRequest;
import org.rowanvalve.data.keyed.KeyedRequests;
import org.rowanvalve.data.limit.AttemptAllowance;
import org.rowanvalve.data.origin.OriginDispatch;
import org.rowanvalve.data.origin.OriginDispatcher;
import org.rowanvalve.data.origin.OriginRequest;
import org.rowanvalve.data.origin.OriginTransport;
import org.rowanvalve.data.request.EndToEndHeaders;
import org.rowanvalve.data.routing.ShardRouting;
import org.rowanvalve.data.settings.NodeSettings;

/**
 * Answers the requests of edges from its cache, by a fill shared by all requests for an object, by passing a request
 * through to an origin, or by executing a keyed request at most once.
 */
public final class Shield {
    private static final int MAX_WAITERS = 512;
    /** The longest time for which a keyed request waits for the records of its shard to be read. */
    private static final long MAX_RECORD_READ_WAIT_MS = 1500;
    /** The time within which an edge must respond to a request for one more attempt. */
    private static final long GRANT_TIMEOUT_MILLIS = 300;

    /** The longest time for which a request waits for the configuration version that its edge knows. */
    private static final long MAX_UPDATE_WAIT_MS = 400;

    private static final long UPDATE_POLL_INTERVAL_MS = 50;
    /** A further fill for a request is started only if more time than this remains until its deadline. */
    private static final long MIN_REFILL_TIME_MS = 200;
    /** An edge that gets this delay with a rejection tries another shield at once. */
    private static final long OTHER_SHIELD_RETRY_MS = 500;

    private static final long BEHIND_RETRY_MS = 1000;

    private final EventLoop loop;
    private final Transport transport;
    private final ConfigurationView configuration;
    private final LeaseHolder leases;
    private final OriginDispatcher dispatcher;
    private final KeyedRequests keyedRequests;
    private final BooleanSupplier viewFresh;
    private final Runnable pollView;
    private final NodeSettings settings;
    private final Cache cache;
    private final Map<String, Fill> fills = new HashMap<>();
    private final OpenForwards openForwards = new OpenForwards();
    private final PauseMonitor pauses;
    private final ForwardConfirmation confirmation;
    private boolean closed;

    public Shield(
            final EventLoop loop,
            final Transport transport,
            final ConfigurationView configuration,
            final LeaseHolder leases,
            final OriginDispatcher dispatcher,
            final KeyedRequests keyedRequests,
            final BooleanSupplier viewFresh,
            final Runnable pollView,
            final NodeSettings settings,
            final long cacheBytes) {
        this.loop = loop;
        this.transport = transport;
        this.configuration = configuration;
        this.leases = leases;
        this.dispatcher = dispatcher;
        this.keyedRequests = keyedRequests;
        this.viewFresh = viewFresh;
        this.pollView = pollView;
        this.settings = settings;
        this.cache = new Cache(cacheBytes);
        this.pauses = new PauseMonitor(loop);
        this.confirmation = new ForwardConfirmation(loop, transport, pauses, openForwards);
        transport.onConnectionClosed(openForwards::cancelAll);
    }

    private ForwardResponse reject(
            final ForwardRequest request, final int status, final String reason, final long retryAfterMs) {
        return KeyedRequests.response(
                RequestOutcome.REFUSED, status, reason, leases.token(request.shard()), retryAfterMs);
    }

    /** Refuses requests from now on, because the process is about to end; edges turn to other shields. */
    public void close() {
        closed = true;
    }

    /** Handles a request of the edge {@code from}, which also grants further attempts for the request. */
    public void handle(final NodeId from, final ForwardRequest request, final Transport.Responder callback) {
        if (closed) {
            callback.accept(reject(request, 503, "the shield is stopping", OTHER_SHIELD_RETRY_MS));
            return;
        }
        final AttemptAllowance attempts = allowance(from, request);
        final OpenForwards.Id id = new OpenForwards.Id(from, request.incarnation(), request.serial());
        final Cancellation cancellation = new Cancellation(pauses::check);
        openForwards.open(id, cancellation, callback.connectionId(), loop.now());
        confirmation.onOpen(id, cancellation);
        handle(
                new ForwardedRequest(request, attempts, cancellation, loop.now()),
                loop.now() + request.timeoutMs(),
                loop.now() + maxWaitMs(request),
                response -> {
                    openForwards.close(id);
                    callback.accept(
                            request.attempts() == null ? response : response.withUnusedAttempts(attempts.unused()));
                });
    }

    public void cancel(final NodeId from, final CancelRequest request) {
        openForwards.cancel(
                new OpenForwards.Id(from, request.incarnation(), request.serial()), request.cause(), loop.now());
    }

    /**
     * The longest time for which a request waits until this node knows the configuration versions that the edge knows.
     * A cached read waits for at most a quarter of the latency target of its route.
     */
    private long maxWaitMs(final ForwardRequest request) {
        final long targetMs = configuration
                .routeNamed(request.route())
                .filter(configured -> configured.route().hasMode(RouteMode.CACHED))
                .map(configured -> configured.route().latencyTargetMs())
                .orElse(0L);
        return Math.min(
                targetMs > 0 ? targetMs / 4 : MAX_UPDATE_WAIT_MS, Math.min(MAX_UPDATE_WAIT_MS, request.timeoutMs()));
    }

    /** The attempts that this node may make. If the edge states no number, only the limit of the route applies. */
    private AttemptAllowance allowance(final NodeId from, final ForwardRequest request) {
        if (request.attempts() == null) {
            return AttemptAllowance.of(configuration
                    .routeNamed(request.route())
                    .map(configured -> configured.route().maxAttempts())
                    .orElse(1));
        }
        return AttemptAllowance.of(
                request.attempts(),
                callback -> transport.request(
                        from,
                        new AttemptGrantRequest(request.serial()),
                        GRANT_TIMEOUT_MILLIS,
                        reply -> callback.accept(reply.as(AttemptGrantResponse.class)
                                .map(AttemptGrantResponse::count)
                                .orElse(0))));
    }

    private void handle(
            final ForwardedRequest forwarded,
            final long deadline,
            final long waitUntil,
            final Consumer<ForwardResponse> callback) {
        final ForwardRequest request = forwarded.forward();
        if (forwarded.cancellation().isRequested()) {
            callback.accept(reject(request, 503, OriginDispatch.CANCELLED, 0));
            return;
        }
        final ConfiguredRoute route = configuration.routeNamed(request.route()).orElse(null);
        final VersionVector versions = route == null ? null : configuration.versionsOf(route, request.path());
        if (route == null || isBehind(request, versions)) {
            if (loop.now() >= waitUntil || request.passThrough() && !viewFresh.getAsBoolean()) {
                callback.accept(reject(
                        request,
                        503,
                        ForwardResponse.BEHIND,
                        request.passThrough() ? OTHER_SHIELD_RETRY_MS : BEHIND_RETRY_MS));
            } else {
                pollView.run();
                loop.schedule(UPDATE_POLL_INTERVAL_MS, () -> handle(forwarded, deadline, waitUntil, callback));
            }
            return;
        }
        if (request.passThrough()) {
            passThrough(forwarded, route, deadline, callback);
        } else if (request.shard()
                != ShardRouting.shardOf(
                        route,
                        request.path(),
                        request.key(),
                        settings.shards(),
                        settings.regions().size(),
                        request.shard() % settings.regions().size())) {
            callback.accept(reject(request, 400, "the shard does not fit the request", 0));
        } else if (leases.token(request.shard()).isBelow(request.knownToken())
                || leases.token(request.shard()).equals(FencingToken.ZERO)) {
            callback.accept(reject(request, 503, "not the holder", 500));
        } else if (route.route().purgeable() && !viewFresh.getAsBoolean()) {
            callback.accept(reject(request, 503, "the holder's frame is not confirmed", 1000));
        } else if (route.route().hasMode(RouteMode.CACHED)) {
            fillCached(forwarded, route, versions, deadline, callback);
        } else if (route.route().hasMode(RouteMode.KEYED)) {
            runKeyed(forwarded, route, deadline, callback);
        } else {
            sendUnderLease(forwarded, route, deadline, callback);
        }
    }

    /** Whether the edge knows a newer version of the route, or a newer purge for the request, than this node. */
    private boolean isBehind(final ForwardRequest request, final VersionVector versions) {
        return request.versions() != null && !versions.covers(request.versions())
                || request.routeVersion() != null && request.routeVersion() > routeVersion(request.route());
    }

    private long routeVersion(final String route) {
        return configuration.item(new ItemId(ItemKind.ROUTE, route)).version().number();
    }

    /**
     * The service for a request: the one that the edge chose by its confirmed view, if this node knows it, otherwise
     * the one that this node chooses by its own view. Using the choice of the edge ensures that no edge falls back to
     * an older route version because one shield lags behind the edge or is ahead of another shield.
     */
    private String serviceOf(final ForwardRequest request, final ConfiguredRoute route) {
        return request.service() != null && configuration.hasService(request.service())
                ? request.service()
                : route.route()
                        .pickService(Hash.hash64(
                                request.requestId() == null
                                                || request.requestId().isEmpty()
                                        ? request.path() + request.serial()
                                        : request.requestId()));
    }

    /** Sends requests that need no lease, or that are passed through uncached while no shield holds the lease. */
    private void passThrough(
            final ForwardedRequest forwarded,
            final ConfiguredRoute route,
            final long deadline,
            final Consumer<ForwardResponse> callback) {
        final ForwardRequest request = forwarded.forward();
        if (!route.route().anyShield() || route.route().hasMode(RouteMode.KEYED)) {
            callback.accept(reject(request, 503, "this route needs the right to fill", 500));
            return;
        }
        sendUncached(forwarded, route, OriginRequest.NO_SHARD, deadline, callback);
    }

    private void sendUncached(
            final ForwardedRequest forwarded,
            final ConfiguredRoute route,
            final int shard,
            final long deadline,
            final Consumer<ForwardResponse> callback) {
        final ForwardRequest request = forwarded.forward();
        final boolean atMostOnce = route.route().hasMode(RouteMode.AT_MOST_ONCE);
        final OriginRequest.WhenCancelled whenCancelled =
                atMostOnce ? OriginRequest.WhenCancelled.FINISH_SENT : OriginRequest.WhenCancelled.ABORT_SENT;
        dispatcher.send(
                originRequest(forwarded, route, shard, atMostOnce, deadline, forwarded.cancellation(), whenCancelled),
                completion -> callback.accept(
                        completion.response().result() == OriginTransport.ExchangeResult.COMPLETE
                                ? completed(request, completion.response())
                                : failed(request, completion)));
    }

    private ForwardResponse completed(final ForwardRequest request, final OriginTransport.OriginResponse response) {
        return new ForwardResponse(
                RequestOutcome.DONE,
                "",
                response.status(),
                leases.token(request.shard()),
                EndToEndHeaders.of(response.headers()),
                response.body(),
                0,
                null,
                0);
    }

    private OriginRequest originRequest(
            final ForwardedRequest forwarded,
            final ConfiguredRoute route,
            final int shard,
            final boolean atMostOnce,
            final long deadline,
            final Cancellation cancellation,
            final OriginRequest.WhenCancelled whenCancelled) {
        final ForwardRequest request = forwarded.forward();
        return new OriginRequest(
                shard,
                new OriginTransport.OutboundRequest(
                        serviceOf(request, route),
                        request.method(),
                        request.path(),
                        request.requestId() == null ? "" : request.requestId(),
                        request.key(),
                        request.body(),
                        request.contentType(),
                        0,
                        request.headers() == null ? Map.of() : request.headers()),
                atMostOnce,
                deadline,
                route.route().priority(),
                forwarded.attempts(),
                request.retry() || forwarded.attempts().used(),
                cancellation,
                whenCancelled);
    }

    private boolean mayFill(final ForwardRequest request, final Consumer<ForwardResponse> callback) {
        if (!leases.mayFill(request.shard())) {
            callback.accept(reject(request, 503, "the right to fill is not sure", 1000));
            return false;
        }
        return true;
    }

    private void fillCached(
            final ForwardedRequest forwarded,
            final ConfiguredRoute route,
            final VersionVector versions,
            final long deadline,
            final Consumer<ForwardResponse> callback) {
        final ForwardRequest request = forwarded.forward();
        if (!route.route().services().contains(serviceOf(request, route))) {
            sendUnderLease(forwarded, route, deadline, callback);
            return;
        }
        final String key = ShardRouting.cacheKey(route, request.path(), null);
        final Optional<CachedResponse> copy = findServableCopy(
                request.shard(), key, new CopyRequirements(configuration, route, versions, loop.now()));
        if (copy.isPresent()) {
            callback.accept(respondFrom(forwarded, copy.get()));
            return;
        }
        final Fill current = fills.get(key);
        if (current != null && current.versions().covers(versions)) {
            if (current.waiters().size() >= MAX_WAITERS) {
                callback.accept(reject(request, 503, "too many wait for this object", 1000));
            } else {
                current.join(new Fill.Waiter(forwarded, deadline, callback));
            }
            return;
        }
        if (!mayFill(request, callback)) {
            return;
        }
        final Fill fill = new Fill(request.path(), versions, loop.now());
        fills.put(key, fill);
        fill.join(new Fill.Waiter(forwarded, deadline, callback));
        final OriginRequest originRequest = originRequest(
                forwarded,
                route,
                request.shard(),
                false,
                deadline,
                fill.cancellation(),
                OriginRequest.WhenCancelled.FINISH_SENT);
        dispatcher.send(originRequest, completion -> {
            fills.remove(key, fill);
            onFilled(key, route, fill, originRequest.service(), completion);
        });
    }

    /**
     * A copy that may be served now. While this node may not fill, a copy past its lifetime is served within the stale
     * grace period.
     */
    private Optional<CachedResponse> findServableCopy(
            final int shard, final String key, final CopyRequirements requirements) {
        if (!leases.mayServe(shard)) {
            return Optional.empty();
        }
        return leases.mayFill(shard) ? cache.findFresh(key, requirements) : cache.findUsable(key, requirements);
    }

    private void onFilled(
            final String key,
            final ConfiguredRoute route,
            final Fill fill,
            final String service,
            final OriginDispatcher.Completion completion) {
        final OriginTransport.OriginResponse response = completion.response();
        if (response.result() != OriginTransport.ExchangeResult.COMPLETE) {
            fill.waiters().forEach(waiter -> onFillFailed(fill, waiter, completion));
            return;
        }
        final CachedResponse copy = copyOf(fill, service, completion);
        final ConfiguredRoute current = configuration.routeNamed(route.name()).orElse(route);
        final CopyRequirements requirements =
                new CopyRequirements(configuration, current, configuration.versionsOf(route, fill.path()), loop.now());
        final boolean isUnpurged =
                areTagsUnpurgedSince(completion.sentAt(), response.tags()) && requirements.isUnpurged(copy);
        final boolean isCurrent = isUnpurged && current.route().services().contains(service);
        if (isCurrent && response.status() == 200) {
            cache.put(key, copy);
        }
        for (final Fill.Waiter waiter : fill.waiters()) {
            final boolean isRecentEnough = fill.isInitiator(waiter)
                    || requirementsOf(waiter, route, requirements).allowsResponseRequestedAt(copy.filledAt());
            if (isCurrent && isRecentEnough) {
                waiter.callback().accept(respondFrom(waiter.request(), copy));
            } else if (isUnpurged
                    && isRecentEnough
                    && service.equals(waiter.forward().service())) {
                waiter.callback().accept(completed(waiter.forward(), response));
            } else if (loop.now() + MIN_REFILL_TIME_MS < waiter.deadline()) {
                handle(waiter.request(), waiter.deadline(), loop.now(), waiter.callback());
            } else {
                waiter.callback().accept(reject(waiter.forward(), 503, "purged while it was filled", 500));
            }
        }
    }

    /** The requirements for a request that joined a fill: those of the fill's route, unless it came by another one. */
    private CopyRequirements requirementsOf(
            final Fill.Waiter waiter, final ConfiguredRoute routeOfFill, final CopyRequirements ofFill) {
        return waiter.forward().route().equals(routeOfFill.name())
                ? ofFill
                : configuration
                        .routeNamed(waiter.forward().route())
                        .map(own -> CopyRequirements.of(
                                configuration, own, waiter.forward().path(), loop.now()))
                        .orElse(ofFill);
    }

    private CachedResponse copyOf(final Fill fill, final String service, final OriginDispatcher.Completion completion) {
        final OriginTransport.OriginResponse response = completion.response();
        final Map<String, Long> tags = new TreeMap<>();
        response.tags().forEach(tag -> tags.put(tag, configuration.tagPurge(tag).version()));
        return new CachedResponse(
                response.status(),
                EndToEndHeaders.of(response.headers()),
                response.body(),
                completion.sentAt(),
                fill.startedAt(),
                fill.versions(),
                tags,
                service);
    }

    private boolean areTagsUnpurgedSince(final long time, final Collection<String> tags) {
        return tags.stream().allMatch(tag -> configuration.tagPurge(tag).learnedAt() < time);
    }

    /**
     * Responds to a request whose fill has failed. A request that is not cancelled is handled anew if the fill was
     * cancelled, because the cancelled fill made no further attempt.
     */
    private void onFillFailed(final Fill fill, final Fill.Waiter waiter, final OriginDispatcher.Completion completion) {
        if (fill.cancellation().isRequested() && !waiter.cancellation().isRequested()) {
            handle(waiter.request(), waiter.deadline(), loop.now(), waiter.callback());
        } else {
            waiter.callback().accept(failed(waiter.forward(), completion));
        }
    }

    /**
     * Responds with the copy and the age that it had when the request arrived here. Counted back from the moment at which
     * the edge sent the request, that age gives a time at or before the copy's fill.
     */
    private ForwardResponse respondFrom(final ForwardedRequest request, final CachedResponse copy) {
        return new ForwardResponse(
                RequestOutcome.DONE,
                "",
                copy.status(),
                leases.token(request.forward().shard()),
                copy.headers(),
                copy.body(),
                Math.max(0, request.receivedAt() - copy.filledAt()),
                copy.versionsWithTags(),
                0,
                copy.service());
    }

    private ForwardResponse failed(final ForwardRequest request, final OriginDispatcher.Completion completion) {
        final RequestOutcome fate = completion.mayHaveRun() ? RequestOutcome.UNKNOWN : RequestOutcome.REFUSED;
        return KeyedRequests.response(
                fate,
                completion.mayHaveRun() ? 502 : 503,
                completion.response().reason(),
                leases.token(request.shard()),
                completion.retryAfterMs());
    }

    private void sendUnderLease(
            final ForwardedRequest forwarded,
            final ConfiguredRoute route,
            final long deadline,
            final Consumer<ForwardResponse> callback) {
        final ForwardRequest request = forwarded.forward();
        if (mayFill(request, callback)) {
            sendUncached(forwarded, route, request.shard(), deadline, callback);
        }
    }

    private void runKeyed(
            final ForwardedRequest forwarded,
            final ConfiguredRoute route,
            final long deadline,
            final Consumer<ForwardResponse> callback) {
        final ForwardRequest request = forwarded.forward();
        if (request.key() == null) {
            callback.accept(reject(request, 400, "a keyed request lacks its key", 0));
        } else if (mayFill(request, callback)) {
            final byte[] body = request.body() == null ? new byte[0] : request.body();
            final String key = route.route().host().isEmpty()
                    ? route.name() + "|" + route.route().service() + "|" + request.key()
                    : ShardRouting.cacheKey(route, request.path(), request.key());
            final String digest =
                    Hash.sha256Hex((request.path() + "\n" + Hash.sha256Hex(body)).getBytes(StandardCharsets.UTF_8));
            keyedRequests.handle(
                    new KeyedRequest(
                            request.shard(), key, digest, request.requestId() == null ? "" : request.requestId()),
                    Math.min(MAX_RECORD_READ_WAIT_MS, Math.max(0, deadline - loop.now()) / 2),
                    forwarded.cancellation(),
                    then -> dispatcher.send(keyedRequest(forwarded, route, deadline), then),
                    callback);
        }
    }

    /** A keyed request is never cancelled after its intent is recorded, so that its outcome is recorded too. */
    private OriginRequest keyedRequest(
            final ForwardedRequest forwarded, final ConfiguredRoute route, final long deadline) {
        return originRequest(
                forwarded,
                route,
                forwarded.forward().shard(),
                true,
                deadline,
                Cancellation.NEVER,
                OriginRequest.WhenCancelled.FINISH_SENT);
    }
}
