package org.rowanvalve.testkit.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.testkit.log.RunLog;
import org.rowanvalve.testkit.scenario.Deployment;

/**
 * Generates the items of updates: bodies derived from the deployment's own, versions that rise in steps of unequal
 * size.
 */
final class UpdateGenerator {
    private static final long FIRST_VERSION = 7;
    private static final int ATTEMPTS = 2;
    /** A version that would hold for ever, so that an invalid update that takes effect is seen at the end. */
    private static final long NEVER_TAKEN = Long.MAX_VALUE / 2;

    private final Deployment deployment;
    private final Random random;
    private final Map<String, Long> versions = new TreeMap<>();
    private long notes;
    private long orders;

    UpdateGenerator(final Deployment deployment, final Random random) {
        this.deployment = deployment;
        this.random = random;
    }

    OperatorUpdate order(final UpdateItem... items) {
        return new OperatorUpdate(++orders, List.of(items));
    }

    /** The next version of an item. */
    long nextVersion(final ItemKind kind, final String name) {
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

    Deployment.TrafficClass anyRoute() {
        return deployment.ways().get(random.nextInt(deployment.ways().size()));
    }

    Deployment.Backend anyService() {
        return deployment.kin().get(random.nextInt(deployment.kin().size()));
    }

    /** All that the place needs. */
    OperatorUpdate first() {
        final List<UpdateItem> all = new ArrayList<>();
        deployment.kin().forEach(backend -> all.add(service(backend)));
        deployment
                .ways()
                .forEach(traffic ->
                        all.add(route(traffic, nextVersion(ItemKind.ROUTE, traffic.route()), traffic.split())));
        all.add(limits());
        return order(all.toArray(UpdateItem[]::new));
    }

    UpdateItem service(final Deployment.Backend backend) {
        return new UpdateItem(
                ItemKind.SERVICE,
                backend.service(),
                nextVersion(ItemKind.SERVICE, backend.service()),
                RunLog.row(
                        "kind",
                        backend.kind(),
                        "ceiling",
                        backend.rate() > 0 ? backend.rate() : null,
                        "circuits",
                        130,
                        "note",
                        nextNote(),
                        "cutoffMs",
                        1500 + random.nextInt(1000)),
                RunLog.row("service", backend.service(), "ceiling", backend.rate()));
    }

    UpdateItem route(final Deployment.TrafficClass traffic) {
        return route(traffic, nextVersion(ItemKind.ROUTE, traffic.route()));
    }

    UpdateItem route(final Deployment.TrafficClass traffic, final long version) {
        return route(traffic, version, servicesOf(traffic));
    }

    private UpdateItem route(
            final Deployment.TrafficClass traffic, final long version, final Map<String, Integer> services) {
        final List<Map<String, Object>> split = new ArrayList<>();
        services.forEach((s, n) -> split.add(RunLog.row(
                "service", s, "weight", services.size() == 1 ? n : Math.max(1, n - 5 + random.nextInt(11)))));
        return new UpdateItem(
                ItemKind.ROUTE,
                traffic.route(),
                version,
                RunLog.row(
                        "host",
                        traffic.host(),
                        "prefix",
                        traffic.prefix(),
                        "split",
                        split,
                        "mode",
                        traffic.mode(),
                        "lifetimeMs",
                        traffic.lifetimeMs(),
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
                RunLog.row(
                        "prefix",
                        traffic.prefix(),
                        "services",
                        new ArrayList<>(services.keySet()),
                        "attempts",
                        ATTEMPTS,
                        "life",
                        traffic.mode().equals("cached") ? traffic.lifetimeMs() : null));
    }

    /** A route that is split goes to one of its services alone now and then. */
    private Map<String, Integer> servicesOf(final Deployment.TrafficClass traffic) {
        if (traffic.split().size() == 1 || random.nextInt(3) > 0) {
            return traffic.split();
        }
        final List<String> names = List.copyOf(traffic.split().keySet());
        return Map.of(names.get(random.nextInt(names.size())), 1);
    }

    private UpdateItem limits() {
        return new UpdateItem(
                ItemKind.LIMIT,
                "limits",
                nextVersion(ItemKind.LIMIT, "limits"),
                RunLog.row(
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

    /** A service that only the operators' own extra routes lead to. */
    UpdateItem spareService(final String name) {
        return new UpdateItem(
                ItemKind.SERVICE,
                name,
                nextVersion(ItemKind.SERVICE, name),
                RunLog.row("kind", "open", "circuits", 130, "note", nextNote(), "cutoffMs", 1500),
                RunLog.row("service", name, "ceiling", 0));
    }

    UpdateItem drop(final ItemKind kind, final String name) {
        return new UpdateItem(kind, name, nextVersion(kind, name), null, Map.of());
    }

    /** One route under two versions, in any order. */
    OperatorUpdate twice() {
        final Deployment.TrafficClass traffic = anyRoute();
        final UpdateItem lower = route(traffic);
        final UpdateItem higher = route(traffic);
        return random.nextBoolean() ? order(lower, higher) : order(higher, lower);
    }

    /** One good item and something that no configuration allows: see {@link InvalidPart}. */
    OperatorUpdate invalid() {
        return invalid(InvalidPart.values()[random.nextInt(InvalidPart.values().length)]);
    }

    OperatorUpdate invalid(final InvalidPart what) {
        final Deployment.Backend first = deployment.kin().get(0);
        final UpdateItem good = new UpdateItem(
                ItemKind.SERVICE, first.service(), NEVER_TAKEN, service(first).body(), Map.of());
        final Deployment.TrafficClass traffic = deployment.ways().get(0);
        final String inUse = traffic.split().keySet().iterator().next();
        final UpdateItem removal = new UpdateItem(ItemKind.SERVICE, inUse, NEVER_TAKEN, null, Map.of());
        final UpdateItem sound = faulty(9, Map.of("service", inUse, "weight", 1));
        final UpdateItem unknownService = faulty(7, Map.of("service", "nobody", "weight", 1));
        final UpdateItem noWeight = faulty(7, Map.of("service", inUse, "weight", 0));
        return switch (what) {
            case UNKNOWN_SERVICE -> order(good, unknownService);
            case UNKNOWN_SERVICE_BEHIND -> order(good, sound, unknownService);
            case UNKNOWN_SERVICE_BEFORE -> order(good, unknownService, sound);
            case NO_WEIGHT_BEHIND -> order(good, sound, noWeight);
            case SERVICE_IN_USE -> inUse.equals(first.service()) ? order(removal) : order(good, removal);
            case SERVICE_OF_ADDED_ROUTE -> order(sound, removal);
        };
    }

    private UpdateItem faulty(final long version, final Map<String, Object> part) {
        final Map<String, Object> body =
                new TreeMap<>(route(deployment.ways().get(0)).body());
        body.put("split", List.of(part));
        return new UpdateItem(ItemKind.ROUTE, "faulty", version, body, Map.of());
    }
}
