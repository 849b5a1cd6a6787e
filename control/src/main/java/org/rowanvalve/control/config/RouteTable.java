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
 * The routes with the services they lead to, by host and by name. A change costs as much as its host has routes, at the
 * next look at that host.
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

    /** {@code services}: the service of a name, or null. */
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

    /** Some service has changed: each route is looked at anew. */
    void onServiceChange() {
        changedHosts.addAll(namesByHost.keySet());
    }

    boolean isEmpty() {
        return routes.isEmpty();
    }

    /** The routes themselves, in no order. */
    Iterable<Route> all() {
        return routes.values();
    }

    /** The routes of a host, in the order in which they are tried. */
    List<ConfiguredRoute> ofHost(final String host) {
        if (changedHosts.remove(host)) {
            configure(host);
        }
        return configuredByHost.getOrDefault(host, List.of());
    }

    /** The route of this name, whether it can be served or not. */
    Optional<ConfiguredRoute> named(final String name) {
        final Route route = routes.get(name);
        return route == null
                ? Optional.empty()
                : ofHost(route.host()).stream()
                        .filter(configured -> configured.name().equals(name))
                        .findFirst();
    }

    /** All routes, in the order in which they are tried. */
    List<ConfiguredRoute> byPrecedence() {
        final List<ConfiguredRoute> all = new ArrayList<>();
        namesByHost.keySet().forEach(host -> all.addAll(ofHost(host)));
        all.sort(PRECEDENCE);
        return all;
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
