package org.rowanvalve.control.operator;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.control.config.Route;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.operator.ConfigurationUpdate.ItemUpdate;
import org.rowanvalve.control.operator.ConfigurationUpdate.Revision;
import org.rowanvalve.control.store.ItemStore;

/**
 * Checks the references of an update against the configuration that the update would produce: each route that takes
 * effect needs its services, and a service cannot be deleted while a route in effect refers to it. The ledger decides
 * on updates one after the other, so two updates cannot break a reference between them.
 */
final class ReferenceValidator {
    private final UpdateLedger ledger;
    private final ConfigurationUpdate update;
    private final ItemStore items;

    /**
     * The bodies of the routes in effect after the update; {@code complete}: whether this node knows the body of each
     * of them.
     */
    private record RoutesAfter(Map<ItemId, String> bodies, boolean complete) {}

    ReferenceValidator(final UpdateLedger ledger, final ConfigurationUpdate update, final ItemStore items) {
        this.ledger = ledger;
        this.update = update;
        this.items = items;
    }

    static ValidationError unknownService(final ItemId route, final ItemId service) {
        return new ValidationError("/set/routes/" + route.name() + "/service", "no service is named " + service.name());
    }

    /** An error for each service that this revision refers to and that is not known. */
    List<ValidationError> unknownServices(final ItemId route, final Revision revision) {
        return revision.services().stream()
                .filter(service -> !isKnown(service, route, revision))
                .sorted()
                .map(service -> unknownService(route, service))
                .toList();
    }

    /**
     * A revision that takes effect needs services that exist after the update. A revision that is superseded by the
     * same update needs services that exist or are set by the update. A revision that a later update has already
     * superseded needs services that have existed at some time.
     */
    private boolean isKnown(final ItemId service, final ItemId route, final Revision revision) {
        if (takesEffect(route, revision.itemUpdate())) {
            return existsAfter(service);
        }
        if (update.sets(service) || ledger.existsAfterWrites(service, items)) {
            return true;
        }
        final boolean isSuperseded = revision.version().number() < ledger.highestVersion(route, items);
        return isSuperseded && ledger.highestVersion(service, items) > 0;
    }

    /** Whether this change becomes the current state of its item. */
    private boolean takesEffect(final ItemId id, final ItemUpdate itemUpdate) {
        return itemUpdate != null
                && itemUpdate.equals(update.updates().get(id))
                && itemUpdate.version().number() > ledger.highestVersion(id, items);
    }

    private boolean existsAfter(final ItemId id) {
        final ItemUpdate itemUpdate = update.updates().get(id);
        return takesEffect(id, itemUpdate) ? itemUpdate.body() != null : ledger.existsAfterWrites(id, items);
    }

    /**
     * An error for each service that the update deletes while a route refers to it; empty if this node cannot tell
     * because it has not learned a route that the ledger contains.
     */
    Optional<List<ValidationError>> deletedServicesInUse() {
        final Set<ItemId> deleted = deletedServices();
        if (deleted.isEmpty()) {
            return Optional.of(List.of());
        }
        final RoutesAfter routes = routesAfter(deleted);
        if (!routes.complete()) {
            return Optional.empty();
        }
        return Optional.of(routes.bodies().entrySet().stream()
                .flatMap(entry -> ConfigurationUpdate.servicesOf(Json.read(entry.getValue(), Route.class)).stream()
                        .filter(deleted::contains)
                        .map(service -> new ValidationError(
                                "/drop/services/" + service.name(),
                                "route " + entry.getKey().name() + " names it")))
                .toList());
    }

    private Set<ItemId> deletedServices() {
        final Set<ItemId> deleted = new HashSet<>();
        update.updates().forEach((id, itemUpdate) -> {
            if (id.kind() == ItemKind.SERVICE
                    && itemUpdate.body() == null
                    && takesEffect(id, itemUpdate)
                    && ledger.existsAfterWrites(id, items)) {
                deleted.add(id);
            }
        });
        return deleted;
    }

    /** Of the routes in the item store, reads only those whose body contains the name of a deleted service. */
    private RoutesAfter routesAfter(final Set<ItemId> deleted) {
        final Map<ItemId, ItemUpdate> unwritten = ledger.unwritten(items::get);
        final Map<ItemId, String> bodies = new LinkedHashMap<>();
        final Set<ItemId> candidates = new HashSet<>();
        Stream.of(ledger.taken().keySet(), unwritten.keySet(), update.updates().keySet())
                .flatMap(Set::stream)
                .filter(id -> id.kind() == ItemKind.ROUTE)
                .forEach(candidates::add);
        items.all().stream()
                .map(ChosenItem::item)
                .filter(item -> item.id().kind() == ItemKind.ROUTE && mentions(item, deleted))
                .forEach(item -> candidates.add(item.id()));
        boolean complete = true;
        for (final ItemId route : candidates) {
            if (existsAfter(route)) {
                final Optional<String> body = bodyAfter(route, unwritten);
                body.ifPresent(text -> bodies.put(route, text));
                complete &= body.isPresent();
            }
        }
        return new RoutesAfter(bodies, complete);
    }

    private static boolean mentions(final Item route, final Set<ItemId> services) {
        return route.exists()
                && services.stream().anyMatch(service -> route.body().contains("\"" + service.name() + "\""));
    }

    /** Empty if the ledger contains a version that this node has not learned. */
    private Optional<String> bodyAfter(final ItemId route, final Map<ItemId, ItemUpdate> unwritten) {
        final ItemUpdate itemUpdate = update.updates().get(route);
        if (takesEffect(route, itemUpdate)) {
            return Optional.of(itemUpdate.body());
        }
        final long highest = ledger.highestVersion(route, items);
        final ItemUpdate unwrittenUpdate = unwritten.get(route);
        if (unwrittenUpdate != null && unwrittenUpdate.version().number() == highest) {
            return Optional.of(unwrittenUpdate.body());
        }
        final Item item = items.get(route);
        return item.version().number() == highest ? Optional.of(item.body()) : Optional.empty();
    }
}
