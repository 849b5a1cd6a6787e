package org.rowanvalve.control.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * The routes and their services, indexed by host and by name. A change only marks its host as changed; the next lookup
 * of that host rebuilds the list of the host's routes.
 */
final class RouteTable {
    private static final Comparator<ConfiguredRoute> PRECEDENCE = Comparator.comparingInt(
                    (ConfiguredRoute configured) -> -configured.route().prefix().length())
            .thenComparing(ConfiguredRoute::name);

    private final Function<String, Service> services;
    private final Map<String, Route> routes = new HashMap<>();
    private final Map<String, Set<String>> namesByHost = new TreeMap<>();
    private final Map<String, List<ConfiguredRoute>> configuredByHost = new HashMap<>();
    private final Set<String> changedHosts = new HashSet<>();

    /** {@code services} returns the service of a name, or null. */
    RouteTable(final Function<String, Service> services) {
        this.services = services;
    }

    void put(final String name, final Route route) {
        remove(name);
        routes.put(name, route);
        namesByHost.computeIfAbsent(route.host(), host -> new TreeSet<>()).add(name);
        changedHosts.add(route.host());
    }

    void remove(final String name) {
        final Route previous = routes.remove(name);
        if (previous == null) {
            return;
        }
        final Set<String> names = namesByHost.get(previous.host());
        names.remove(name);
        changedHosts.add(previous.host());
        if (names.isEmpty()) {
            namesByHost.remove(previous.host());
            configuredByHost.remove(previous.host());
            changedHosts.remove(previous.host());
        }
    }

    /** Marks all hosts as changed, since any route may name the service that changed. */
    void onServiceChange() {
        changedHosts.addAll(namesByHost.keySet());
    }

    boolean isEmpty() {
        return routes.isEmpty();
    }

    /** Returns all routes in no particular order. */
    Iterable<Route> all() {
        return routes.values();
    }

    /** Returns the routes of a host in the order in which they are matched. */
    List<ConfiguredRoute> ofHost(final String host) {
        if (changedHosts.remove(host)) {
            configure(host);
        }
        return configuredByHost.getOrDefault(host, List.of());
    }

    /** Returns the route of this name, even if its requests cannot be served. */
    Optional<ConfiguredRoute> named(final String name) {
        final Route route = routes.get(name);
        return route == null
                ? Optional.empty()
                : ofHost(route.host()).stream()
                        .filter(configured -> configured.name().equals(name))
                        .findFirst();
    }

    /** Returns the routes of all hosts in the order in which they are matched. */
    List<ConfiguredRoute> byPrecedence() {
        final List<ConfiguredRoute> ordered = new ArrayList<>();
        namesByHost.keySet().forEach(host -> ordered.addAll(ofHost(host)));
        ordered.sort(PRECEDENCE);
        return ordered;
    }

    private void configure(final String host) {
        final Set<String> names = namesByHost.get(host);
        final List<ConfiguredRoute> configured = new ArrayList<>(names.size());
        names.forEach(name -> configured.add(configure(name, routes.get(name))));
        configured.sort(PRECEDENCE);
        configuredByHost.put(host, configured);
    }

    private ConfiguredRoute configure(final String name, final Route route) {
        final boolean known = route.services().stream().allMatch(service -> services.apply(service) != null);
        return new ConfiguredRoute(
                name,
                route,
                known ? services.apply(route.services().get(0)) : null,
                route.condition().isEmpty() ? Optional.empty() : Optional.of(RouteCondition.of(route.condition())));
    }
}
