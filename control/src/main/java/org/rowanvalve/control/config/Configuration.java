package org.rowanvalve.control.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.json.JsonObjectReader;
import org.rowanvalve.control.json.JsonReader;
import org.rowanvalve.control.store.ItemStore;

/**
 * The configuration that operators declare. It is incomplete if reading it reported validation errors;
 * {@link #checkReferences} reports references that do not resolve.
 */
public final class Configuration {
    private static final String NAME = "[a-z0-9][a-z0-9._-]{0,60}";
    private final Map<String, Service> services = new TreeMap<>();
    private final Map<String, Route> routes = new TreeMap<>();
    private final Map<String, Purge> purges = new TreeMap<>();
    private RequestLimits limits;

    public Map<String, Service> services() {
        return services;
    }

    public Map<String, Route> routes() {
        return routes;
    }

    public Map<String, Purge> purges() {
        return purges;
    }

    public RequestLimits limits() {
        return limits;
    }

    /** Parses an operator's JSON and checks its references; each error is added to {@code errors} with its path. */
    public static Configuration read(final byte[] data, final List<ValidationError> errors) {
        final Configuration configuration = new Configuration();
        final Object value = JsonReader.read(data, errors);
        if (value == null && !errors.isEmpty()) {
            return configuration;
        }
        final JsonObjectReader root = new JsonObjectReader(value, "", errors);
        for (final ItemKind kind : List.of(ItemKind.SERVICE, ItemKind.ROUTE, ItemKind.PURGE)) {
            final String section = kind.label() + "s";
            root.object(section)
                    .forEach((name, member) -> configuration.readItem(
                            new ItemId(kind, String.valueOf(name)), member, "/" + section + "/" + name, errors));
        }
        root.rejectUnknownMembers();
        configuration.checkReferences(errors);
        return configuration;
    }

    /** Reads one item into this configuration; {@code path} is the location of the item in the input. */
    public void readItem(final ItemId id, final Object value, final String path, final List<ValidationError> errors) {
        final JsonObjectReader object = new JsonObjectReader(value, path, errors);
        if (!id.name().matches(NAME)) {
            object.addError("", "a name is small letters, digits, dot, dash and underscore, at most 61");
        }
        switch (id.kind()) {
            case SERVICE -> services.put(id.name(), service(object));
            case ROUTE -> routes.put(id.name(), route(object));
            case PURGE -> purges.put(id.name(), purge(object));
            case LIMIT -> limits = limits(object);
            default ->
                object.addError("", "operators do not state a " + id.kind().label());
        }
        object.rejectUnknownMembers();
    }

    private static Service service(final JsonObjectReader object) {
        final ServiceKind kind = ServiceKind.ofCode(object.oneOf("kind", ServiceKind.codes()));
        return new Service(
                kind,
                object.number("rate", kind == ServiceKind.CONTENT, 0, 0, 100_000)
                        .doubleValue(),
                (int) object.wholeNumber("bodyLimit", false, 65_536, 0, 67_108_864),
                object.wholeNumber("cutoffMs", false, 2000, 100, 600_000),
                object.number("ceiling", false, 0, 0, 10_000_000).doubleValue(),
                (int) object.wholeNumber("circuits", false, 0, 0, 1_000_000),
                object.text("note", false, ""));
    }

    private static RequestLimits limits(final JsonObjectReader object) {
        return new RequestLimits(
                (int) object.wholeNumber("headBytes", true, 8192, 256, 1 << 20),
                (int) object.wholeNumber("bodyBytes", true, 1 << 20, 0, 1 << 30),
                object.wholeNumber("headMs", true, 30_000, 10, 600_000),
                object.wholeNumber("idleMs", true, 30_000, 10, 3_600_000),
                object.text("note", false, ""));
    }

    private static Route route(final JsonObjectReader object) {
        final String prefix = object.text("prefix", true, "");
        if (!prefix.isEmpty() && !prefix.startsWith("/") || prefix.contains("?") || prefix.contains("#")) {
            object.addError("prefix", "must begin with / and hold no query");
        }
        final List<Route.WeightedService> split = new ArrayList<>();
        object.list("split").forEach(value -> {
            final JsonObjectReader weighted =
                    new JsonObjectReader(value, object.pathOf("split/" + split.size()), object.errors());
            split.add(new Route.WeightedService(
                    weighted.text("service", true, ""), (int) weighted.wholeNumber("weight", true, 0, 0, 1_000_000)));
            weighted.rejectUnknownMembers();
        });
        if (!split.isEmpty()
                && split.stream().mapToLong(Route.WeightedService::weight).sum() == 0) {
            object.addError("split", "the weights come to 0");
        }
        final String service = object.text(
                "service", split.isEmpty(), split.isEmpty() ? "" : split.get(0).service());
        final RouteMode mode = RouteMode.ofCode(object.oneOf("mode", RouteMode.codes()));
        final long ttlMs = object.wholeNumber("lifetimeMs", mode == RouteMode.CACHED, 0, 0, 86_400_000);
        final String condition = object.text("when", false, "");
        if (!condition.isEmpty()) {
            RouteCondition.error(condition).ifPresent(message -> object.addError("when", message));
        }
        return new Route(
                prefix,
                service,
                mode,
                ttlMs,
                object.booleanValue("purgeable", true),
                condition,
                object.text("host", false, ""),
                split,
                object.booleanValue("any", false),
                object.wholeNumber("timeoutMs", false, 0, 0, 600_000),
                object.wholeNumber("aimMs", false, 0, 0, 600_000),
                (int) object.wholeNumber("rank", false, 0, 0, 1_000_000),
                (int) object.wholeNumber("tries", false, 3, 1, 1000),
                object.text("note", false, ""));
    }

    private static Purge purge(final JsonObjectReader object) {
        final String host = object.text("host", false, null);
        final String tag = object.text("tag", false, null);
        final String path = object.text("path", false, null);
        if (tag != null || host != null) {
            object.text("route", false, null);
            if (tag != null ? host != null || path != null : path == null) {
                object.addError("", "state a tag, or a host and a path");
            }
            return new Purge(null, path, null, host, tag);
        }
        final String route = object.text("route", true, "");
        final String prefix = object.text("prefix", false, null);
        if ((path == null) == (prefix == null)) {
            object.addError("path", "state either path or prefix");
        }
        return new Purge(route, path, path == null && prefix == null ? "/" : prefix, null, null);
    }

    /**
     * Adds an error for each reference that does not resolve, for each pair of overlapping prefixes, and for each route
     * whose mode its service does not support.
     */
    public void checkReferences(final List<ValidationError> errors) {
        final List<Map.Entry<String, Route>> entries = new ArrayList<>(routes.entrySet());
        for (int i = 0; i < entries.size(); i++) {
            final Route route = entries.get(i).getValue();
            final String routePath = "/routes/" + entries.get(i).getKey();
            route.services().stream()
                    .filter(name -> !name.isEmpty() && !services.containsKey(name))
                    .forEach(name ->
                            errors.add(new ValidationError(routePath + "/service", "no service is named " + name)));
            final Service service = services.get(route.service());
            if (service != null && route.hasMode(RouteMode.KEYED) && service.isContent()) {
                errors.add(new ValidationError(routePath + "/mode", "a content store takes no keyed requests"));
            }
            for (int j = 0; j < i; j++) {
                final String other = entries.get(j).getValue().prefix();
                if (route.host().isEmpty()
                        && entries.get(j).getValue().host().isEmpty()
                        && !route.prefix().isEmpty()
                        && !other.isEmpty()
                        && (route.prefix().startsWith(other) || other.startsWith(route.prefix()))) {
                    errors.add(new ValidationError(
                            routePath + "/prefix",
                            "overlaps route " + entries.get(j).getKey()));
                }
            }
        }
        purges.forEach((name, purge) -> {
            final Route route = purge.isHostOrTag() ? null : routes.get(purge.route());
            if (!purge.isHostOrTag() && !purge.route().isEmpty() && (route == null || !route.purgeable())) {
                errors.add(new ValidationError(
                        "/purges/" + name + "/route",
                        route == null
                                ? "no route is named " + purge.route()
                                : "route " + purge.route() + " is not purgeable"));
            }
        });
    }

    /** Returns the body of each item of this configuration as JSON text. */
    public Map<ItemId, String> bodies() {
        final Map<ItemId, String> bodies = new TreeMap<>();
        services.forEach((name, object) -> bodies.put(new ItemId(ItemKind.SERVICE, name), Json.write(object)));
        routes.forEach((name, route) -> bodies.put(new ItemId(ItemKind.ROUTE, name), Json.write(route)));
        purges.forEach((name, purge) -> bodies.put(new ItemId(ItemKind.PURGE, name), Json.write(purge)));
        if (limits != null) {
            bodies.put(RequestLimits.ID, Json.write(limits));
        }
        return bodies;
    }

    /** Returns the configuration that the chosen items define. */
    public static Configuration of(final ItemStore items) {
        final Configuration configuration = new Configuration();
        items.all().stream()
                .map(ChosenItem::item)
                .filter(org.rowanvalve.common.model.Item::exists)
                .forEach(item -> {
                    switch (item.id().kind()) {
                        case SERVICE ->
                            configuration.services.put(item.id().name(), Json.read(item.body(), Service.class));
                        case ROUTE -> configuration.routes.put(item.id().name(), Json.read(item.body(), Route.class));
                        case PURGE -> configuration.purges.put(item.id().name(), Json.read(item.body(), Purge.class));
                        case LIMIT -> configuration.limits = RequestLimits.of(item);
                        default -> {}
                    }
                });
        return configuration;
    }
}
