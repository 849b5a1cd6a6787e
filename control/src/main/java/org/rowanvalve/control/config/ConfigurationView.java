package org.rowanvalve.control.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.common.model.VersionVector;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.placement.PlacementPlan;
import org.rowanvalve.control.store.CollectionFloor;
import org.rowanvalve.control.store.ItemStore;

/**
 * The chosen items indexed for request processing: routes, services, purges, origins, limits and the placement plan.
 * The view is updated whenever an item changes.
 */
public final class ConfigurationView {
    /**
     * The longest time between two confirmations of the view in which no purge can have been chosen and garbage
     * collected.
     */
    static final long MAX_CONFIRMATION_GAP_MS = CollectionFloor.MIN_RETENTION_MS / 2;

    private final ItemStore items;
    private final Map<String, Service> services = new TreeMap<>();
    private final RouteTable routes = new RouteTable(services::get);
    private final Map<String, Map<String, Map<ItemId, Version>>> pathPurges = new HashMap<>();
    private final Map<String, Map<ItemId, PrefixPurge>> prefixPurges = new HashMap<>();
    private final Map<ItemId, Purge> purges = new HashMap<>();
    private final Map<ItemId, Origin> origins = new TreeMap<>();
    private final Map<String, Map<String, Long>> hostPathPurges = new HashMap<>();
    private final Map<String, TagPurge> tagPurges = new HashMap<>();
    private volatile RequestLimits limits = RequestLimits.DEFAULTS;
    private PlacementPlan plan = new PlacementPlan(0, 0, List.of());
    private long confirmedAt = Long.MIN_VALUE / 2;
    private long lastConfirmationGapEndedAt = Long.MIN_VALUE;
    private long lastPurgeReplacedAt = Long.MIN_VALUE;

    /** The version of the newest purge of a tag, and the time at which this node learned it. */
    public record TagPurge(long version, long learnedAt) {}

    private record PrefixPurge(Purge purge, Version version) {}

    /** Subscribes to {@code items}: each later change of an item updates this view. */
    public ConfigurationView(final ItemStore items) {
        this.items = items;
        items.addListener(this::onItem);
    }

    private void onItem(final Item item) {
        final String name = item.id().name();
        switch (item.id().kind()) {
            case PLAN -> plan = PlacementPlan.of(item);
            case SERVICE -> {
                put(services, name, item, Service.class);
                routes.onServiceChange();
            }
            case ROUTE -> onRoute(item);
            case ORIGIN -> put(origins, item.id(), item, Origin.class);
            case PURGE -> onPurge(item);
            case LIMIT -> limits = RequestLimits.of(item);
            default -> {}
        }
    }

    private void onRoute(final Item item) {
        if (item.exists()) {
            routes.put(item.id().name(), Json.read(item.body(), Route.class).forRequests());
        } else {
            routes.remove(item.id().name());
        }
    }

    private static <K, T> void put(final Map<K, T> map, final K key, final Item item, final Class<T> type) {
        if (item.exists()) {
            map.put(key, Json.read(item.body(), type));
        } else {
            map.remove(key);
        }
    }

    private boolean recordHostOrTagPurge(final Item item) {
        if (item.body().isEmpty()) {
            return false;
        }
        final Purge purge = Json.read(item.body(), Purge.class);
        if (purge.tag() != null) {
            tagPurges.merge(
                    purge.tag(),
                    new TagPurge(item.version().number(), items.now()),
                    (first, second) -> first.version() >= second.version() ? first : second);
        } else if (purge.host() != null) {
            hostPathPurges
                    .computeIfAbsent(purge.host() + "|" + purge.path(), k -> new TreeMap<>())
                    .merge("p/" + item.id().name(), item.version().number(), Math::max);
        }
        return purge.isHostOrTag();
    }

    /**
     * Removes a garbage-collected purge of a host's path or of a tag. Its body is gone too, so it is found by the
     * item's name.
     */
    private void removePurge(final Item item) {
        final String key = "p/" + item.id().name();
        hostPathPurges.values().removeIf(versions -> versions.remove(key) != null && versions.isEmpty());
        tagPurges.values().removeIf(purge -> items.collectionFloor().covers(item.id(), purge.version()));
    }

    /** Deleting a purge keeps its body, because a cached copy older than the purge must not become valid again. */
    private void onPurge(final Item item) {
        if (recordHostOrTagPurge(item)) {
            return;
        }
        final Purge previous = purges.remove(item.id());
        if (previous == null && item.version().number() == 0) {
            removePurge(item);
        }
        if (previous != null) {
            pathPurges
                    .getOrDefault(previous.route(), Map.of())
                    .getOrDefault(String.valueOf(previous.path()), new HashMap<>())
                    .remove(item.id());
            prefixPurges.getOrDefault(previous.route(), new HashMap<>()).remove(item.id());
        }
        if (!item.body().isEmpty()) {
            final Purge purge = Json.read(item.body(), Purge.class);
            if (previous != null && !previous.equals(purge)) {
                lastPurgeReplacedAt = items.now();
            }
            purges.put(item.id(), purge);
            if (purge.path() != null) {
                pathPurges
                        .computeIfAbsent(purge.route(), k -> new HashMap<>())
                        .computeIfAbsent(purge.path(), k -> new TreeMap<>())
                        .put(item.id(), item.version());
            } else {
                prefixPurges
                        .computeIfAbsent(purge.route(), k -> new TreeMap<>())
                        .put(item.id(), new PrefixPurge(purge, item.version()));
            }
        }
    }

    /**
     * Returns the route with the longest matching prefix among the host's own routes, or among the routes without a
     * host if none of the host's own routes matches.
     */
    public Optional<ConfiguredRoute> route(final String host, final String path) {
        return routes.ofHost(host).stream()
                .filter(configured -> configured.route().matches(path))
                .findFirst()
                .or(() -> routes.ofHost("").stream()
                        .filter(configured -> configured.route().matches(path))
                        .findFirst());
    }

    /** Returns the route of a path among the routes without a host. */
    public Optional<ConfiguredRoute> route(final String path) {
        return route("", path);
    }

    public RequestLimits limits() {
        return limits;
    }

    /** Returns the newest purge of a tag, with version 0 if the tag was never purged. */
    public TagPurge tagPurge(final String tag) {
        return tagPurges.getOrDefault(tag, new TagPurge(0, Long.MIN_VALUE / 2));
    }

    /**
     * Tells this view that a majority has confirmed it as of {@code time}, in ms of the monotonic clock of this node. After
     * a long gap, purges may have been chosen and garbage collected without this node having known them.
     */
    public void onConfirmed(final long time) {
        if (time - confirmedAt > MAX_CONFIRMATION_GAP_MS) {
            lastConfirmationGapEndedAt = time;
        }
        confirmedAt = Math.max(confirmedAt, time);
    }

    /**
     * The time, in ms of the monotonic clock of this node, since when this node knows every purge. A copy that this node
     * verified at that time or earlier may have been ended by a purge that has been garbage collected, so it must not be
     * served. Whether a purge is collected, and when, therefore makes no copy valid again.
     */
    public long purgesKnownSince() {
        return Math.max(items.lastCollectedPurgeLearnedAt(), Math.max(lastConfirmationGapEndedAt, lastPurgeReplacedAt));
    }

    /** Whether none of these tags has been purged at a version above the given one. */
    public boolean areTagsCurrent(final Map<String, Long> tagVersions) {
        return tagVersions.entrySet().stream()
                .allMatch(entry -> tagPurge(entry.getKey()).version() <= entry.getValue());
    }

    /** Returns the route of this name if its requests can be served. */
    public Optional<ConfiguredRoute> routeNamed(final String name) {
        return routes.named(name).filter(ConfiguredRoute::isUsable);
    }

    public PlacementPlan plan() {
        return plan;
    }

    /** Returns all routes in the order in which they are matched. */
    public List<ConfiguredRoute> routesByPrecedence() {
        return routes.byPrecedence();
    }

    public boolean hasRoutes() {
        return !routes.isEmpty();
    }

    /** Returns the longest time to live of a cached copy that a purge can invalidate. */
    public long longestPurgeableTtlMs() {
        long longest = 0;
        for (final Route route : routes.all()) {
            longest = Math.max(longest, route.purgeable() ? route.ttlMs() : 0);
        }
        return longest;
    }

    public boolean hasService(final String service) {
        return services.containsKey(service);
    }

    public java.util.Set<String> serviceNames() {
        return services.keySet();
    }

    /** Returns the time at which this node learned the item's version, in ms of its monotonic clock. */
    public long learnedAt(final ItemId id) {
        return items.learnedAt(id);
    }

    /** Returns the service of this name, or null. */
    public Service service(final String name) {
        return services.get(name);
    }

    /**
     * Returns the versions that a cached copy of this path must cover: the versions of the purges that apply to the
     * path and, for a route without a host, the version of the route.
     */
    public VersionVector versionsOf(final ConfiguredRoute configured, final String path) {
        final Map<String, Long> versions = new TreeMap<>();
        pathPurges
                .getOrDefault(configured.name(), Map.of())
                .getOrDefault(path, Map.of())
                .forEach((id, version) -> versions.put("p/" + id.name(), version.number()));
        prefixPurges.getOrDefault(configured.name(), Map.of()).forEach((id, prefixPurge) -> {
            if (prefixPurge.purge().appliesTo(configured.name(), path)) {
                versions.put("p/" + id.name(), prefixPurge.version().number());
            }
        });
        if (configured.route().host().isEmpty()) {
            versions.put(
                    "r/" + configured.name(),
                    items.get(new ItemId(ItemKind.ROUTE, configured.name()))
                            .version()
                            .number());
        } else {
            versions.putAll(hostPathPurges.getOrDefault(configured.route().host() + "|" + path, Map.of()));
        }
        return new VersionVector(versions);
    }

    /**
     * Returns the announced origins of a service that are not draining and were heard from within their time to live.
     */
    public Map<ItemId, Origin> liveOrigins(final String service, final long now) {
        final Map<ItemId, Origin> live = new TreeMap<>();
        origins.forEach((id, origin) -> {
            if (origin.service().equals(service) && origin.isLive(now - items.learnedAt(id))) {
                live.put(id, origin);
            }
        });
        return live;
    }

    /** Returns the longest time-out of the routes for keyed requests, in ms; 0 if there is no such route. */
    public long longestKeyedTimeoutMs() {
        return routesByPrecedence().stream()
                .filter(configured -> configured.route().hasMode(RouteMode.KEYED) && configured.service() != null)
                .mapToLong(ConfiguredRoute::timeoutMs)
                .max()
                .orElse(0);
    }

    public Item item(final ItemId id) {
        return items.get(id);
    }
}
