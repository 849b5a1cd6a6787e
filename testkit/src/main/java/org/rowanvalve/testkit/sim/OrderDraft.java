package org.rowanvalve.testkit.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.rowanvalve.common.Kind;
import org.rowanvalve.testkit.Log;
import org.rowanvalve.testkit.Place;

/** Writes the items of orders: bodies drawn around the place's own, versions that rise in steps of unequal size. */
final class OrderDraft {
    private static final long FIRST_VERSION = 7;
    private static final int ATTEMPTS = 2;
    private final Place place;
    private final Random random;
    private final Map<String, Long> versions = new TreeMap<>();
    private long notes;
    private long orders;

    OrderDraft(final Place place, final Random random) {
        this.place = place;
        this.random = random;
    }

    Order order(final OrderItem... items) {
        return new Order(++orders, List.of(items));
    }

    /** The next version of an item. */
    long nextVersion(final Kind kind, final String name) {
        return versions.merge(kind + name, FIRST_VERSION, (a, b) -> a + 1 + random.nextInt(5));
    }

    /** By which a body is known again wherever it is read. */
    private String nextNote() {
        return "n" + ++notes;
    }

    /** A number never given before. */
    long nextNumber() {
        return ++notes;
    }

    Place.EdgeRouting anyRoute() {
        return place.ways().get(random.nextInt(place.ways().size()));
    }

    Place.Kin anyService() {
        return place.kin().get(random.nextInt(place.kin().size()));
    }

    /** All that the place needs. */
    Order first() {
        final List<OrderItem> all = new ArrayList<>();
        place.kin().forEach(k -> all.add(service(k)));
        place.ways().forEach(w -> all.add(route(w)));
        all.add(limits());
        return order(all.toArray(OrderItem[]::new));
    }

    OrderItem service(final Place.Kin k) {
        return new OrderItem(
                Kind.SERVICE,
                k.service(),
                nextVersion(Kind.SERVICE, k.service()),
                Log.row(
                        "kind",
                        k.kind(),
                        "ceiling",
                        k.rate() > 0 ? k.rate() : null,
                        "circuits",
                        130,
                        "note",
                        nextNote(),
                        "cutoffMs",
                        1500 + random.nextInt(1000)),
                Log.row("service", k.service(), "ceiling", k.rate()));
    }

    OrderItem route(final Place.EdgeRouting w) {
        return route(w, nextVersion(Kind.ROUTE, w.route()));
    }

    OrderItem route(final Place.EdgeRouting w, final long version) {
        final List<Map<String, Object>> split = new ArrayList<>();
        w.split()
                .forEach((s, n) -> split.add(Log.row(
                        "service", s, "weight", w.split().size() == 1 ? n : Math.max(1, n - 5 + random.nextInt(11)))));
        return new OrderItem(
                Kind.ROUTE,
                w.route(),
                version,
                Log.row(
                        "host",
                        w.host(),
                        "prefix",
                        w.prefix(),
                        "split",
                        split,
                        "mode",
                        w.mode(),
                        "lifetimeMs",
                        w.lifetimeMs(),
                        "timeoutMs",
                        1500 + random.nextInt(2000),
                        "aimMs",
                        300,
                        "rank",
                        1,
                        "tries",
                        ATTEMPTS,
                        "any",
                        true,
                        "note",
                        nextNote()),
                Log.row(
                        "prefix",
                        w.prefix(),
                        "services",
                        new ArrayList<>(w.split().keySet()),
                        "attempts",
                        ATTEMPTS));
    }

    private OrderItem limits() {
        return new OrderItem(
                Kind.LIMIT,
                "limits",
                nextVersion(Kind.LIMIT, "limits"),
                Log.row(
                        "headBytes",
                        16_384,
                        "bodyBytes",
                        1 << 20,
                        "headMs",
                        3000,
                        "idleMs",
                        15_000,
                        "note",
                        nextNote()),
                Map.of());
    }

    /** One good item and one whose service nobody stated. */
    Order invalid() {
        final Place.Kin first = place.kin().get(0);
        final OrderItem good = new OrderItem(
                Kind.SERVICE,
                first.service(),
                Long.MAX_VALUE / 2,
                service(first).body(),
                Map.of());
        final Map<String, Object> body =
                new TreeMap<>(route(place.ways().get(0)).body());
        body.put("split", List.of(Map.of("service", "nobody", "weight", 1)));
        return order(good, new OrderItem(Kind.ROUTE, "faulty", 9, body, Map.of()));
    }
}
