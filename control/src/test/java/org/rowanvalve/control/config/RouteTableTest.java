package org.rowanvalve.control.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Compares the route table with the result of rebuilding it from all routes and services after each change. */
class RouteTableTest {
    private static final Service OPEN = new Service(ServiceKind.OPEN, 0, 0, 0, 0, 0, "");
    private final Map<String, Service> services = new HashMap<>();
    private final Map<String, Route> routes = new TreeMap<>();
    private final RouteTable table = new RouteTable(services::get);

    private static Route route(final String host, final String prefix, final String service) {
        return new Route(prefix, service, RouteMode.STATUS, 0, false, "", host, List.of(), true, 1000, 0, 0, 1, "note");
    }

    private List<String> expected(final Optional<String> host) {
        final List<Map.Entry<String, Route>> matching = new ArrayList<>(routes.entrySet());
        matching.removeIf(
                entry -> host.isPresent() && !host.get().equals(entry.getValue().host()));
        matching.sort(Comparator.comparingInt((Map.Entry<String, Route> entry) ->
                        -entry.getValue().prefix().length())
                .thenComparing(Map.Entry::getKey));
        return matching.stream()
                .map(entry -> entry.getKey() + " "
                        + services.containsKey(entry.getValue().service()))
                .toList();
    }

    private static List<String> describe(final List<ConfiguredRoute> configured) {
        return configured.stream()
                .map(entry -> entry.name() + " " + (entry.service() != null))
                .toList();
    }

    /** Guards against changes of a route, its host or its service that the table does not apply. */
    @Test
    void anUpdatedTableEqualsARebuiltOne() {
        final Random random = new Random(9);
        for (int step = 0; step < 4000; step++) {
            final String name = "r" + random.nextInt(30);
            final String service = "s" + random.nextInt(4);
            switch (random.nextInt(8)) {
                case 0 -> {
                    routes.remove(name);
                    table.remove(name);
                }
                case 1 -> {
                    if (services.remove(service) == null) {
                        services.put(service, OPEN);
                    }
                    table.onServiceChange();
                }
                default -> {
                    final Route route = route("h" + random.nextInt(5), "/" + "p".repeat(random.nextInt(4)), service);
                    routes.put(name, route);
                    table.put(name, route);
                }
            }
            final String host = "h" + random.nextInt(5);
            assertEquals(expected(Optional.of(host)), describe(table.ofHost(host)), "step " + step);
            assertEquals(
                    Optional.ofNullable(routes.get(name)),
                    table.named(name).map(ConfiguredRoute::route),
                    "step " + step);
            if (step % 50 == 0) {
                assertEquals(expected(Optional.empty()), describe(table.byPrecedence()), "step " + step);
            }
            assertEquals(routes.isEmpty(), table.isEmpty());
        }
    }
}
