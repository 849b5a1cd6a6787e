package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Mark;
import org.rowanvalve.common.Ver;

/** What the held items mean to traffic, folded anew after each change. */
public final class ConfigView {
    private final ItemStore held;
    private final List<ConfiguredRoute> rows = new ArrayList<>();
    private final Map<String, Service> services = new TreeMap<>();
    private final Map<String, Match> routes = new TreeMap<>();
    private final Map<String, Map<String, Map<ItemId, Ver>>> exact = new HashMap<>();
    private final Map<String, Map<ItemId, Wide>> wide = new HashMap<>();
    private final Map<ItemId, Purge> purges = new HashMap<>();
    private final Map<ItemId, Origin> origins = new TreeMap<>();
    private final Map<String, List<ConfiguredRoute>> hosts = new HashMap<>();
    private final Map<String, Map<String, Long>> spots = new HashMap<>();
    private final Map<String, Tagged> tags = new HashMap<>();
    private volatile Limits limits = Limits.PLAIN;
    private Plan plan = new Plan(0, 0, List.of());
    private boolean old;

    /** The version of a tag's newest purge, and when this node learned of it. */
    public record Tagged(long ver, long at) {}

    private record Wide(Purge purge, Ver ver) {}

    public ConfigView(final ItemStore held) {
        this.held = held;
        held.watch(this::take);
    }

    private void take(final Item item) {
        final String name = item.id().name();
        switch (item.id().kind()) {
            case PLAN -> plan = Plan.of(item);
            case SERVICE -> {
                put(services, name, item, Service.class);
                old = true;
            }
            case ROUTE -> {
                put(routes, name, item, Match.class);
                old = true;
            }
            case ORIGIN -> put(origins, item.id(), item, Origin.class);
            case PURGE -> purge(item);
            case LIMIT -> limits = Limits.of(item);
            default -> {}
        }
    }

    private static <K, T> void put(final Map<K, T> map, final K key, final Item item, final Class<T> type) {
        if (item.live()) {
            map.put(key, Json.read(item.body(), type));
        } else {
            map.remove(key);
        }
    }

    private boolean spot(final Item item) {
        if (item.body().isEmpty()) {
            return false;
        }
        final Purge p = Json.read(item.body(), Purge.class);
        if (p.tag() != null) {
            tags.merge(p.tag(), new Tagged(item.ver().n(), held.now()), (a, b) -> a.ver() >= b.ver() ? a : b);
        } else if (p.host() != null) {
            spots.computeIfAbsent(p.host() + "|" + p.path(), k -> new TreeMap<>())
                    .merge("p/" + item.id().name(), item.ver().n(), Math::max);
        }
        return p.wide();
    }

    /** A dropped purge of a host's path or of a tag goes by its name, since its body is gone too. */
    private void drop(final Item item) {
        final String key = "p/" + item.id().name();
        spots.values().removeIf(m -> m.remove(key) != null && m.isEmpty());
        tags.values().removeIf(t -> held.sweep().drops(item.id(), t.ver()));
    }

    /** A deleted purge keeps its body: a copy older than it must not come back to life. */
    private void purge(final Item item) {
        if (spot(item)) {
            return;
        }
        final Purge was = purges.remove(item.id());
        if (was == null && item.ver().n() == 0) {
            drop(item);
        }
        if (was != null) {
            exact.getOrDefault(was.route(), Map.of())
                    .getOrDefault(String.valueOf(was.path()), new HashMap<>())
                    .remove(item.id());
            wide.getOrDefault(was.route(), new HashMap<>()).remove(item.id());
        }
        if (!item.body().isEmpty()) {
            final Purge p = Json.read(item.body(), Purge.class);
            purges.put(item.id(), p);
            if (p.path() != null) {
                exact.computeIfAbsent(p.route(), k -> new HashMap<>())
                        .computeIfAbsent(p.path(), k -> new TreeMap<>())
                        .put(item.id(), item.ver());
            } else {
                wide.computeIfAbsent(p.route(), k -> new TreeMap<>()).put(item.id(), new Wide(p, item.ver()));
            }
        }
    }

    private void fold() {
        if (!old) {
            return;
        }
        old = false;
        rows.clear();
        hosts.clear();
        routes.forEach((n, m) -> rows.add(new ConfiguredRoute(
                n,
                m,
                m.services().stream().allMatch(services::containsKey)
                        ? services.get(m.services().get(0))
                        : null,
                m.when().isEmpty() ? Optional.empty() : Optional.of(Rule.of(m.when())))));
        rows.sort(Comparator.comparingInt(
                        (ConfiguredRoute r) -> -r.match().prefix().length())
                .thenComparing(ConfiguredRoute::name));
        rows.forEach(r ->
                hosts.computeIfAbsent(r.match().host(), k -> new ArrayList<>()).add(r));
    }

    /** The longest prefix among the host's own routes; routes that name no host take what those leave. */
    public Optional<ConfiguredRoute> route(final String host, final String path) {
        fold();
        return hosts.getOrDefault(host, List.of()).stream()
                .filter(r -> r.match().takes(path))
                .findFirst()
                .or(() -> hosts.getOrDefault("", List.of()).stream()
                        .filter(r -> r.match().takes(path))
                        .findFirst());
    }

    public Optional<ConfiguredRoute> route(final String path) {
        return route("", path);
    }

    public Limits limits() {
        return limits;
    }

    public Tagged tagged(final String tag) {
        return tags.getOrDefault(tag, new Tagged(0, Long.MIN_VALUE / 2));
    }

    /** Whether no tag in a mark has been purged since. */
    public boolean clean(final Map<String, Long> marked) {
        return marked.entrySet().stream().allMatch(e -> tagged(e.getKey()).ver() <= e.getValue());
    }

    public Optional<ConfiguredRoute> named(final String name) {
        fold();
        return rows.stream().filter(r -> r.name().equals(name) && r.fit()).findFirst();
    }

    public Plan plan() {
        return plan;
    }

    public List<ConfiguredRoute> rows() {
        fold();
        return rows;
    }

    public boolean allows(final String service) {
        return services.containsKey(service);
    }

    public java.util.Set<String> serviceNames() {
        return services.keySet();
    }

    public long since(final ItemId id) {
        return held.since(id);
    }

    public Service service(final String name) {
        return services.get(name);
    }

    public Mark mark(final ConfiguredRoute row, final String path) {
        final Map<String, Long> vers = new TreeMap<>();
        exact.getOrDefault(row.name(), Map.of())
                .getOrDefault(path, Map.of())
                .forEach((id, v) -> vers.put("p/" + id.name(), v.n()));
        wide.getOrDefault(row.name(), Map.of()).forEach((id, w) -> {
            if (w.purge().touches(row.name(), path)) {
                vers.put("p/" + id.name(), w.ver().n());
            }
        });
        if (row.match().host().isEmpty()) {
            vers.put(
                    "r/" + row.name(),
                    held.get(new ItemId(Kind.ROUTE, row.name())).ver().n());
        } else {
            vers.putAll(spots.getOrDefault(row.match().host() + "|" + path, Map.of()));
        }
        return new Mark(vers);
    }

    /** Announced, not leaving, and heard of within its time to live. */
    public Map<ItemId, Origin> live(final String service, final long now) {
        final Map<ItemId, Origin> map = new TreeMap<>();
        origins.forEach((id, o) -> {
            if (o.service().equals(service) && o.live(now - held.since(id))) {
                map.put(id, o);
            }
        });
        return map;
    }

    /** How long a keyed request may take at most. */
    public long longestKeyed() {
        return rows().stream()
                .filter(r -> r.match().is(Match.ONCE) && r.service() != null)
                .mapToLong(ConfiguredRoute::timeoutMs)
                .max()
                .orElse(0);
    }

    public Item item(final ItemId id) {
        return held.get(id);
    }
}
