package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.rowanvalve.common.Finding;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;

/** What operators state, as far as it could be read; {@link #check} adds what does not fit together. */
public final class Config {
    private static final String NAME = "[a-z0-9][a-z0-9._-]{0,60}";
    private final Map<String, Service> services = new TreeMap<>();
    private final Map<String, Match> routes = new TreeMap<>();
    private final Map<String, Purge> purges = new TreeMap<>();
    private Limits limits;

    public Map<String, Service> services() {
        return services;
    }

    public Map<String, Match> routes() {
        return routes;
    }

    public Map<String, Purge> purges() {
        return purges;
    }

    public Limits limits() {
        return limits;
    }

    public static Config read(final byte[] data, final List<Finding> faults) {
        final Config c = new Config();
        final Object o = JsonReader.read(data, faults);
        if (o == null && !faults.isEmpty()) {
            return c;
        }
        final JsonShape all = new JsonShape(o, "", faults);
        for (final Kind k : List.of(Kind.SERVICE, Kind.ROUTE, Kind.PURGE)) {
            final String part = k.word() + "s";
            all.part(part).forEach((n, v) -> c.put(new ItemId(k, String.valueOf(n)), v, "/" + part + "/" + n, faults));
        }
        all.end();
        c.check(faults);
        return c;
    }

    public void put(final ItemId id, final Object value, final String path, final List<Finding> faults) {
        final JsonShape s = new JsonShape(value, path, faults);
        if (!id.name().matches(NAME)) {
            s.fault("", "a name is small letters, digits, dot, dash and underscore, at most 61");
        }
        switch (id.kind()) {
            case SERVICE -> services.put(id.name(), service(s));
            case ROUTE -> routes.put(id.name(), route(s));
            case PURGE -> purges.put(id.name(), purge(s));
            case LIMIT -> limits = limits(s);
            default -> s.fault("", "operators do not state a " + id.kind().word());
        }
        s.end();
    }

    private static Service service(final JsonShape s) {
        final String kind = s.word("kind", Set.of(Service.CONTENT, Service.BOOKING, Service.OPEN));
        return new Service(
                kind,
                s.number("rate", Service.CONTENT.equals(kind), 0, 0, 100_000).doubleValue(),
                (int) s.whole("bodyLimit", false, 65_536, 0, 67_108_864),
                s.whole("cutoffMs", false, 2000, 100, 600_000),
                s.number("ceiling", false, 0, 0, 10_000_000).doubleValue(),
                (int) s.whole("circuits", false, 0, 0, 1_000_000),
                s.text("note", false, ""));
    }

    private static Limits limits(final JsonShape s) {
        return new Limits(
                (int) s.whole("headBytes", true, 8192, 256, 1 << 20),
                (int) s.whole("bodyBytes", true, 1 << 20, 0, 1 << 30),
                s.whole("headMs", true, 30_000, 10, 600_000),
                s.whole("idleMs", true, 30_000, 10, 3_600_000),
                s.text("note", false, ""));
    }

    private static Match route(final JsonShape s) {
        final String prefix = s.text("prefix", true, "");
        if (!prefix.isEmpty() && !prefix.startsWith("/") || prefix.contains("?") || prefix.contains("#")) {
            s.fault("prefix", "must begin with / and hold no query");
        }
        final List<Match.Part> split = new ArrayList<>();
        s.list("split").forEach(o -> {
            final JsonShape p = new JsonShape(o, s.place("split/" + split.size()), s.faults());
            split.add(new Match.Part(p.text("service", true, ""), (int) p.whole("weight", true, 0, 0, 1_000_000)));
            p.end();
        });
        if (!split.isEmpty() && split.stream().mapToLong(Match.Part::weight).sum() == 0) {
            s.fault("split", "the weights come to 0");
        }
        final String service = s.text(
                "service", split.isEmpty(), split.isEmpty() ? "" : split.get(0).service());
        final String mode = s.word("mode", Set.of(Match.CACHED, Match.STATUS, Match.ONCE, Match.SINGLE));
        final long life = s.whole("lifetimeMs", Match.CACHED.equals(mode), 0, 0, 86_400_000);
        final String when = s.text("when", false, "");
        if (!when.isEmpty()) {
            Rule.fault(when).ifPresent(f -> s.fault("when", f));
        }
        return new Match(
                prefix,
                service,
                mode,
                life,
                s.flag("purgeable", true),
                when,
                s.text("host", false, ""),
                split,
                s.flag("any", false),
                s.whole("timeoutMs", false, 0, 0, 600_000),
                s.whole("aimMs", false, 0, 0, 600_000),
                (int) s.whole("rank", false, 0, 0, 1_000_000),
                (int) s.whole("tries", false, 3, 1, 1000),
                s.text("note", false, ""));
    }

    private static Purge purge(final JsonShape s) {
        final String host = s.text("host", false, null);
        final String tag = s.text("tag", false, null);
        final String path = s.text("path", false, null);
        if (tag != null || host != null) {
            s.text("route", false, null);
            if (tag != null ? host != null || path != null : path == null) {
                s.fault("", "state a tag, or a host and a path");
            }
            return new Purge(null, path, null, host, tag);
        }
        final String route = s.text("route", true, "");
        final String prefix = s.text("prefix", false, null);
        if ((path == null) == (prefix == null)) {
            s.fault("path", "state either path or prefix");
        }
        return new Purge(route, path, path == null && prefix == null ? "/" : prefix, null, null);
    }

    public void check(final List<Finding> faults) {
        final List<Map.Entry<String, Match>> list = new ArrayList<>(routes.entrySet());
        for (int i = 0; i < list.size(); i++) {
            final Match m = list.get(i).getValue();
            final String at = "/routes/" + list.get(i).getKey();
            m.services().stream()
                    .filter(n -> !n.isEmpty() && !services.containsKey(n))
                    .forEach(n -> faults.add(new Finding(at + "/service", "no service is named " + n)));
            final Service to = services.get(m.service());
            if (to != null && Match.ONCE.equals(m.mode()) && to.content()) {
                faults.add(new Finding(at + "/mode", "a content store takes no keyed requests"));
            }
            for (int j = 0; j < i; j++) {
                final String other = list.get(j).getValue().prefix();
                if (m.host().isEmpty()
                        && list.get(j).getValue().host().isEmpty()
                        && !m.prefix().isEmpty()
                        && !other.isEmpty()
                        && (m.prefix().startsWith(other) || other.startsWith(m.prefix()))) {
                    faults.add(new Finding(
                            at + "/prefix", "overlaps route " + list.get(j).getKey()));
                }
            }
        }
        purges.forEach((n, p) -> {
            final Match m = p.wide() ? null : routes.get(p.route());
            if (!p.wide() && !p.route().isEmpty() && (m == null || !m.purgeable())) {
                faults.add(new Finding(
                        "/purges/" + n + "/route",
                        m == null ? "no route is named " + p.route() : "route " + p.route() + " is not purgeable"));
            }
        });
    }

    public Map<ItemId, String> bodies() {
        final Map<ItemId, String> map = new TreeMap<>();
        services.forEach((n, s) -> map.put(new ItemId(Kind.SERVICE, n), Json.text(s)));
        routes.forEach((n, r) -> map.put(new ItemId(Kind.ROUTE, n), Json.text(r)));
        purges.forEach((n, p) -> map.put(new ItemId(Kind.PURGE, n), Json.text(p)));
        if (limits != null) {
            map.put(Limits.ID, Json.text(limits));
        }
        return map;
    }

    public static Config of(final ItemStore held) {
        final Config c = new Config();
        held.all().stream()
                .map(org.rowanvalve.common.Msg.Chosen::item)
                .filter(org.rowanvalve.common.Item::live)
                .forEach(i -> {
                    switch (i.id().kind()) {
                        case SERVICE -> c.services.put(i.id().name(), Json.read(i.body(), Service.class));
                        case ROUTE -> c.routes.put(i.id().name(), Json.read(i.body(), Match.class));
                        case PURGE -> c.purges.put(i.id().name(), Json.read(i.body(), Purge.class));
                        case LIMIT -> c.limits = Limits.of(i);
                        default -> {}
                    }
                });
        return c;
    }
}
