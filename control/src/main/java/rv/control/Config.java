package rv.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import rv.base.Finding;
import rv.base.ItemId;
import rv.base.Kind;

/** What operators state, as far as it could be read; {@link #check} adds what does not fit together. */
public final class Config {
    private static final String NAME = "[a-z0-9][a-z0-9._-]{0,60}";
    private final Map<String, Service> services = new TreeMap<>();
    private final Map<String, Match> routes = new TreeMap<>();
    private final Map<String, Purge> purges = new TreeMap<>();

    public Map<String, Service> services() {
        return services;
    }

    public Map<String, Match> routes() {
        return routes;
    }

    public Map<String, Purge> purges() {
        return purges;
    }

    public static Config read(final byte[] data, final List<Finding> faults) {
        final Config c = new Config();
        final Object o = Tree.read(data, faults);
        if (o == null && !faults.isEmpty()) {
            return c;
        }
        final Shape all = new Shape(o, "", faults);
        for (final Kind k : List.of(Kind.SERVICE, Kind.ROUTE, Kind.PURGE)) {
            final String part = k.word() + "s";
            all.part(part).forEach((n, v) -> c.put(new ItemId(k, String.valueOf(n)), v, "/" + part + "/" + n, faults));
        }
        all.end();
        c.check(faults);
        return c;
    }

    public void put(final ItemId id, final Object value, final String path, final List<Finding> faults) {
        final Shape s = new Shape(value, path, faults);
        if (!id.name().matches(NAME)) {
            s.fault("", "a name is small letters, digits, dot, dash and underscore, at most 61");
        }
        switch (id.kind()) {
            case SERVICE -> services.put(id.name(), service(s));
            case ROUTE -> routes.put(id.name(), route(s));
            case PURGE -> purges.put(id.name(), purge(s));
            default -> s.fault("", "operators do not state a " + id.kind().word());
        }
        s.end();
    }

    private static Service service(final Shape s) {
        final String kind = s.word("kind", Set.of(Service.CONTENT, Service.BOOKING));
        return new Service(kind, s.number("rate", Service.CONTENT.equals(kind), 0, 0, 100_000).doubleValue(),
            (int) s.whole("bodyLimit", false, 65_536, 0, 1_048_576), s.whole("cutoffMs", false, 2000, 100, 30_000));
    }

    private static Match route(final Shape s) {
        final String prefix = s.text("prefix", true, "");
        if (!prefix.isEmpty() && !prefix.startsWith("/") || prefix.contains("?") || prefix.contains("#")) {
            s.fault("prefix", "must begin with / and hold no query");
        }
        final String service = s.text("service", true, "");
        final String mode = s.word("mode", Set.of(Match.CACHED, Match.STATUS, Match.ONCE));
        final long life = s.whole("lifetimeMs", Match.CACHED.equals(mode), 0, 0, 86_400_000);
        final String when = s.text("when", false, "");
        if (!when.isEmpty()) {
            Rule.fault(when).ifPresent(f -> s.fault("when", f));
        }
        return new Match(prefix, service, mode, life, s.flag("purgeable", true), when);
    }

    private static Purge purge(final Shape s) {
        final String route = s.text("route", true, "");
        final String path = s.text("path", false, null);
        final String prefix = s.text("prefix", false, null);
        if ((path == null) == (prefix == null)) {
            s.fault("path", "state either path or prefix");
        }
        return new Purge(route, path, path == null && prefix == null ? "/" : prefix);
    }

    public void check(final List<Finding> faults) {
        final List<Map.Entry<String, Match>> list = new ArrayList<>(routes.entrySet());
        for (int i = 0; i < list.size(); i++) {
            final Match m = list.get(i).getValue();
            final String at = "/routes/" + list.get(i).getKey();
            if (!m.service().isEmpty() && !services.containsKey(m.service())) {
                faults.add(new Finding(at + "/service", "no service is named " + m.service()));
            }
            final Service to = services.get(m.service());
            if (to != null && Match.ONCE.equals(m.mode()) && to.content()) {
                faults.add(new Finding(at + "/mode", "a content store takes no keyed requests"));
            }
            for (int j = 0; j < i; j++) {
                final String other = list.get(j).getValue().prefix();
                if (!m.prefix().isEmpty() && !other.isEmpty() && (m.prefix().startsWith(other) || other.startsWith(m.prefix()))) {
                    faults.add(new Finding(at + "/prefix", "overlaps route " + list.get(j).getKey()));
                }
            }
        }
        purges.forEach((n, p) -> {
            final Match m = routes.get(p.route());
            if (!p.route().isEmpty() && (m == null || !m.purgeable())) {
                faults.add(new Finding("/purges/" + n + "/route", m == null ? "no route is named " + p.route()
                    : "route " + p.route() + " is not purgeable"));
            }
        });
    }

    public Map<ItemId, String> bodies() {
        final Map<ItemId, String> map = new TreeMap<>();
        services.forEach((n, s) -> map.put(new ItemId(Kind.SERVICE, n), Json.text(s)));
        routes.forEach((n, r) -> map.put(new ItemId(Kind.ROUTE, n), Json.text(r)));
        purges.forEach((n, p) -> map.put(new ItemId(Kind.PURGE, n), Json.text(p)));
        return map;
    }

    public static Config of(final Held held) {
        final Config c = new Config();
        held.all().stream().map(rv.base.Msg.Chosen::item).filter(rv.base.Item::live).forEach(i -> {
            switch (i.id().kind()) {
                case SERVICE -> c.services.put(i.id().name(), Json.read(i.body(), Service.class));
                case ROUTE -> c.routes.put(i.id().name(), Json.read(i.body(), Match.class));
                case PURGE -> c.purges.put(i.id().name(), Json.read(i.body(), Purge.class));
                default -> { }
            }
        });
        return c;
    }
}
