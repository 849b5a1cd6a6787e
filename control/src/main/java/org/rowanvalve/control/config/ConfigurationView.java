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
import org.rowanvalve.control.store.ItemStore;

/** What the chosen items mean for requests: routes, services, purges and origins, built anew after each change. */
public final class ConfigurationView {
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

    /** The version of a tag's newest purge, and when this node learned of it. */
    public record TagPurge(long version, long learnedAt) {}

    private record PrefixPurge(Purge purge, Version version) {}

    /** Follows {@code items} from now on. */
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
                    (a, b) -> a.version() >= b.version() ? a : b);
        } else if (purge.host() != null) {
            hostPathPurges
                    .computeIfAbsent(purge.host() + "|" + purge.path(), k -> new TreeMap<>())
                    .merge("p/" + item.id().name(), item.version().number(), Math::max);
        }
        return purge.isHostOrTag();
    }

    /** A dropped purge of a host's path or of a tag is found by its name, since its body is gone too. */
    private void removePurge(final Item item) {
        final String key = "p/" + item.id().name();
        hostPathPurges.values().removeIf(m -> m.remove(key) != null && m.isEmpty());
        tagPurges.values().removeIf(t -> items.collectionFloor().covers(item.id(), t.version()));
    }

    /** A deleted purge keeps its body: a copy older than it must not become valid again. */
    private void onPurge(final Item item) {
        if (recordHostOrTagPurge(item)) {
            return;
        }
        final Purge was = purges.remove(item.id());
        if (was == null && item.version().number() == 0) {
            removePurge(item);
        }
        if (was != null) {
            pathPurges
                    .getOrDefault(was.route(), Map.of())
                    .getOrDefault(String.valueOf(was.path()), new HashMap<>())
                    .remove(item.id());
            prefixPurges.getOrDefault(was.route(), new HashMap<>()).remove(item.id());
        }
        if (!item.body().isEmpty()) {
            final Purge purge = Json.read(item.body(), Purge.class);
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

    /** The longest prefix among the host's own routes; routes that name no host take what those leave. */
    public Optional<ConfiguredRoute> route(final String host, final String path) {
        return routes.ofHost(host).stream()
                .filter(r -> r.route().matches(path))
                .findFirst()
                .or(() -> routes.ofHost("").stream()
                        .filter(r -> r.route().matches(path))
                        .findFirst());
    }

    /** The route of a path among those that name no host. */
    public Optional<ConfiguredRoute> route(final String path) {
        return route("", path);
    }

    public RequestLimits limits() {
        return limits;
    }

    /** The newest purge of a tag; version 0 where there was none. */
    public TagPurge tagPurge(final String tag) {
        return tagPurges.getOrDefault(tag, new TagPurge(0, Long.MIN_VALUE / 2));
    }

    /** Whether no tag of a version vector has been purged since. */
    public boolean areTagsCurrent(final Map<String, Long> marked) {
        return marked.entrySet().stream()
                .allMatch(entry -> tagPurge(entry.getKey()).version() <= entry.getValue());
    }

    /** The route of this name, if it can be served. */
    public Optional<ConfiguredRoute> routeNamed(final String name) {
        return routes.named(name).filter(ConfiguredRoute::isUsable);
    }

    public PlacementPlan plan() {
        return plan;
    }

    /** All routes, in the order in which they are tried. */
    public List<ConfiguredRoute> routesByPrecedence() {
        return routes.byPrecedence();
    }

    public boolean hasRoutes() {
        return !routes.isEmpty();
    }

    /** The longest time for which a copy that a purge may concern is kept. */
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

    /** When this node learned the item's version, in ms of its monotonic clock. */
    public long learnedAt(final ItemId id) {
        return items.learnedAt(id);
    }

    /** The service of this name, or null. */
    public Service service(final String name) {
        return services.get(name);
    }

    /**
     * The versions that a copy of this path has to be filled under: of the route, and of every purge that concerns it.
     */
    public VersionVector versionsOf(final ConfiguredRoute row, final String path) {
        final Map<String, Long> vers = new TreeMap<>();
        pathPurges
                .getOrDefault(row.name(), Map.of())
                .getOrDefault(path, Map.of())
                .forEach((id, version) -> vers.put("p/" + id.name(), version.number()));
        prefixPurges.getOrDefault(row.name(), Map.of()).forEach((id, w) -> {
            if (w.purge().touches(row.name(), path)) {
                vers.put("p/" + id.name(), w.version().number());
            }
        });
        if (row.route().host().isEmpty()) {
            vers.put(
                    "r/" + row.name(),
                    items.get(new ItemId(ItemKind.ROUTE, row.name())).version().number());
        } else {
            vers.putAll(hostPathPurges.getOrDefault(row.route().host() + "|" + path, Map.of()));
        }
        return new VersionVector(vers);
    }

    /** Origins that are announced, not leaving, and heard from within their time to live. */
    public Map<ItemId, Origin> liveOrigins(final String service, final long now) {
        final Map<ItemId, Origin> map = new TreeMap<>();
        origins.forEach((id, origin) -> {
            if (origin.service().equals(service) && origin.isLive(now - items.learnedAt(id))) {
                map.put(id, origin);
            }
        });
        return map;
    }

    /** How long a keyed request may take at most. */
    public long longestKeyedTimeoutMs() {
        return routesByPrecedence().stream()
                .filter(r -> r.route().hasMode(RouteMode.KEYED) && r.service() != null)
                .mapToLong(ConfiguredRoute::timeoutMs)
                .max()
                .orElse(0);
    }

    public Item item(final ItemId id) {
        return items.get(id);
    }
}
