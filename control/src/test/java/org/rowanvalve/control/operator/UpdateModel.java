package org.rowanvalve.control.operator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A reference model of operators' updates over plain maps: every update is decided on its own, one after the other. */
final class UpdateModel {
    /**
     * One revision in an update; {@code services}: those that a route refers to, null if the revision deletes its item.
     */
    record Revision(String item, long version, String body, Set<String> services, boolean valid) {
        boolean deletes() {
            return services == null;
        }

        boolean isRoute() {
            return item.startsWith("routes/");
        }
    }

    private final Map<String, Map<Long, String>> taken = new HashMap<>();
    private final Map<String, Revision> current = new TreeMap<>();

    /** The status of an update; an update whose status is not 200 has no effect. */
    int apply(final List<Revision> update) {
        if (update.stream().anyMatch(revision -> !revision.valid() || hasOtherBody(update, revision))) {
            return 422;
        }
        final List<Revision> pending = update.stream()
                .filter(revision -> !isItemTaken(update, revision.item()))
                .toList();
        for (final Revision revision : pending) {
            final String known = takenBodies(revision.item()).get(revision.version());
            if (known != null && !known.equals(revision.body())) {
                return 409;
            }
        }
        final Map<String, Revision> after = new TreeMap<>(current);
        pending.forEach(
                revision -> after.merge(revision.item(), revision, (a, b) -> b.version() > a.version() ? b : a));
        final boolean accepted =
                pending.stream().allMatch(revision -> isValid(revision, update, after)) && allServicesExist(after);
        if (!accepted) {
            return 422;
        }
        pending.forEach(revision -> takenBodies(revision.item()).putIfAbsent(revision.version(), revision.body()));
        current.putAll(after);
        return 200;
    }

    Map<String, Revision> current() {
        return current;
    }

    private Map<Long, String> takenBodies(final String item) {
        return taken.computeIfAbsent(item, key -> new HashMap<>());
    }

    private static boolean hasOtherBody(final List<Revision> update, final Revision revision) {
        return update.stream()
                .anyMatch(other -> other.item().equals(revision.item())
                        && other.version() == revision.version()
                        && !other.body().equals(revision.body()));
    }

    private boolean isItemTaken(final List<Revision> update, final String item) {
        final Revision highest = update.stream()
                .filter(revision -> revision.item().equals(item))
                .max((a, b) -> Long.compare(a.version(), b.version()))
                .orElseThrow();
        return highest.body().equals(takenBodies(item).get(highest.version()));
    }

    private boolean isValid(final Revision revision, final List<Revision> update, final Map<String, Revision> after) {
        if (revision.deletes()
                || !revision.isRoute()
                || takenBodies(revision.item()).containsKey(revision.version())) {
            return true;
        }
        final long before = current.containsKey(revision.item())
                ? current.get(revision.item()).version()
                : 0;
        return revision.services().stream().map(name -> "services/" + name).allMatch(service -> {
            if (revision.equals(after.get(revision.item()))) {
                return exists(after, service);
            }
            final boolean set = update.stream().anyMatch(other -> other.item().equals(service) && !other.deletes());
            return set
                    || exists(current, service)
                    || revision.version() < before && !takenBodies(service).isEmpty();
        });
    }

    private static boolean exists(final Map<String, Revision> items, final String item) {
        return items.containsKey(item) && !items.get(item).deletes();
    }

    private static boolean allServicesExist(final Map<String, Revision> after) {
        return after.values().stream()
                .filter(revision -> revision.isRoute() && !revision.deletes())
                .flatMap(revision -> revision.services().stream())
                .allMatch(name -> exists(after, "services/" + name));
    }
}
