package rv.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import rv.base.Item;
import rv.base.ItemId;
import rv.base.Kind;
import rv.base.Mark;
import rv.base.Msg;

/** What the held items mean to traffic, folded anew after each change. */
public final class View {
    private final Held held;
    private final List<Row> rows = new ArrayList<>();
    private final Map<String, Service> services = new TreeMap<>();
    private final Map<String, Map<String, Purge>> purges = new HashMap<>();
    private final Map<String, Map<ItemId, Origin>> origins = new HashMap<>();
    private Plan plan = new Plan(0, 0, List.of());
    private boolean old = true;

    public record Row(String name, Match match, Service service) {
    }

    public View(final Held held) {
        this.held = held;
        held.watch(item -> {
            if (item.id().kind() == Kind.PLAN) {
                plan = Plan.of(item);
            } else if (item.id().kind() != Kind.TENURE) {
                old = true;
            }
        });
    }

    private void fold() {
        if (!old) {
            return;
        }
        old = false;
        rows.clear();
        services.clear();
        purges.clear();
        origins.clear();
        final Config c = Config.of(held);
        services.putAll(c.services());
        c.routes().forEach((n, m) -> {
            if (services.containsKey(m.service())) {
                rows.add(new Row(n, m, services.get(m.service())));
            }
        });
        rows.sort(Comparator.comparingInt((Row r) -> -r.match().prefix().length()).thenComparing(Row::name));
        held.all().stream().map(Msg.Chosen::item).filter(i -> i.id().kind() == Kind.PURGE && !i.body().isEmpty()).forEach(i -> {
            final Purge p = Json.read(i.body(), Purge.class);
            purges.computeIfAbsent(p.route(), k -> new TreeMap<>()).put(i.id().name(), p);
        });
        held.all().stream().map(Msg.Chosen::item).filter(i -> i.live() && i.id().kind() == Kind.ORIGIN).forEach(i -> {
            final Origin o = Json.read(i.body(), Origin.class);
            origins.computeIfAbsent(o.service(), k -> new TreeMap<>()).put(i.id(), o);
        });
    }

    public Optional<Row> route(final String path) {
        fold();
        return rows.stream().filter(r -> r.match().takes(path)).findFirst();
    }

    public Optional<Row> named(final String name) {
        fold();
        return rows.stream().filter(r -> r.name().equals(name)).findFirst();
    }

    public Plan plan() {
        return plan;
    }

    public List<Row> rows() {
        fold();
        return rows;
    }

    public boolean allows(final String service) {
        fold();
        return services.containsKey(service);
    }

    public Service service(final String name) {
        fold();
        return services.get(name);
    }

    public Mark mark(final Row row, final String path) {
        fold();
        final Map<String, Long> vers = new TreeMap<>();
        final Map<String, Purge> list = purges.getOrDefault(row.name(), Map.of());
        list.forEach((n, p) -> {
            if (p.touches(row.name(), path)) {
                vers.put("p/" + n, held.get(new ItemId(Kind.PURGE, n)).ver().n());
            }
        });
        vers.put("r/" + row.name(), held.get(new ItemId(Kind.ROUTE, row.name())).ver().n());
        vers.put("s/" + row.match().service(), held.get(new ItemId(Kind.SERVICE, row.match().service())).ver().n());
        return new Mark(vers);
    }

    /** Announced, not leaving, and heard of within its time to live. */
    public Map<ItemId, Origin> live(final String service, final long now) {
        fold();
        final Map<ItemId, Origin> map = new TreeMap<>();
        origins.getOrDefault(service, Map.of()).forEach((id, o) -> {
            if (!o.leaving() && now - held.since(id) < o.ttlMs()) {
                map.put(id, o);
            }
        });
        return map;
    }

    public Item item(final ItemId id) {
        return held.get(id);
    }
}
