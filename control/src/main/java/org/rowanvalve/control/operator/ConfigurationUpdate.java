package org.rowanvalve.control.operator;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.rowanvalve.common.model.Hash;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.control.config.Configuration;
import org.rowanvalve.control.config.Route;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.json.JsonObjectReader;
import org.rowanvalve.control.json.JsonReader;

/**
 * An operator's update, which sets and deletes items under versions that the operator chooses. The highest version of
 * an item takes effect, whether the versions come from different updates or from one update that contains several
 * revisions of the item. A revision with a lower version changes nothing, but has to be valid like every other. Reading
 * reports every error in the text; {@link UpdateLedger} decides whether the update is consistent with the current
 * configuration.
 */
public final class ConfigurationUpdate {
    private static final List<ItemKind> KINDS = List.of(ItemKind.SERVICE, ItemKind.ROUTE, ItemKind.LIMIT);
    private static final BigDecimal HIGHEST_VERSION = BigDecimal.valueOf(Long.MAX_VALUE);
    private final Map<ItemId, NavigableMap<Version, Revision>> revisions = new LinkedHashMap<>();
    private final Map<ItemId, ItemUpdate> updates = new LinkedHashMap<>();

    /** A change of one item. {@code body}: null deletes the item. */
    record ItemUpdate(@JsonProperty("ver") Version version, String body) {
        private static final int DIGEST_LENGTH = 12;

        /** The digest by which the ledger distinguishes two bodies under one version. */
        String digest() {
            return body == null ? UpdateLedger.DELETED_DIGEST : digest(body);
        }

        static String digest(final String body) {
            return Hash.sha256Hex(body.getBytes(StandardCharsets.UTF_8)).substring(0, DIGEST_LENGTH);
        }

        /** The item after this change: {@code current} itself unless this change has a higher version. */
        Item appliedTo(final Item current, final String writeId) {
            return current.version().number() >= version.number()
                    ? current
                    : new Item(current.id(), version, body == null ? "" : body, body == null, writeId);
        }
    }

    /** One revision of an item in the update, with the services that the revision refers to. */
    record Revision(ItemUpdate itemUpdate, Set<ItemId> services) {
        Version version() {
            return itemUpdate.version();
        }
    }

    private ConfigurationUpdate() {}

    /** Reads an update and adds every error with its path to {@code errors}. */
    public static ConfigurationUpdate read(final byte[] data, final List<ValidationError> errors) {
        final ConfigurationUpdate update = new ConfigurationUpdate();
        final Object value = JsonReader.read(data, errors);
        if (value == null && !errors.isEmpty()) {
            return update;
        }
        final JsonObjectReader root = new JsonObjectReader(value, "", errors);
        final JsonObjectReader set = new JsonObjectReader(root.object("set"), "/set", errors);
        final JsonObjectReader drop = new JsonObjectReader(root.object("drop"), "/drop", errors);
        for (final ItemKind kind : KINDS) {
            final String section = kind.label() + "s";
            set.object(section)
                    .forEach((name, revisions) -> forEachRevision(
                            revisions,
                            revision -> update.readRevision(
                                    new ItemId(kind, String.valueOf(name)),
                                    revision,
                                    "/set/" + section + "/" + name,
                                    errors)));
            drop.object(section)
                    .forEach((name, revisions) -> forEachRevision(
                            revisions,
                            revision -> update.readDeletion(
                                    new ItemId(kind, String.valueOf(name)),
                                    revision,
                                    "/drop/" + section + "/" + name,
                                    errors)));
        }
        set.rejectUnknownMembers();
        drop.rejectUnknownMembers();
        root.rejectUnknownMembers();
        update.revisions.forEach((id, versions) ->
                update.updates.put(id, versions.lastEntry().getValue().itemUpdate()));
        return update;
    }

    /** An item has a single revision or a non-empty list of revisions. */
    private static void forEachRevision(final Object revisions, final Consumer<Object> reader) {
        if (revisions instanceof List<?> list && !list.isEmpty()) {
            list.forEach(reader);
        } else {
            reader.accept(revisions);
        }
    }

    private void readRevision(
            final ItemId id, final Object value, final String path, final List<ValidationError> errors) {
        if (!(value instanceof Map<?, ?> members)) {
            errors.add(new ValidationError(path, "an object is wanted here"));
            return;
        }
        final Map<Object, Object> itemMembers = new LinkedHashMap<>(members);
        final Version version = version(itemMembers.remove("version"), path + "/version", errors);
        final Configuration configuration = new Configuration();
        configuration.readItem(id, itemMembers, path, errors);
        final String body = configuration.bodies().get(id);
        if (body == null) {
            errors.add(new ValidationError(path, "no item of this kind has this name"));
            return;
        }
        final Set<ItemId> services = new LinkedHashSet<>();
        configuration.routes().values().forEach(route -> services.addAll(servicesOf(route)));
        add(id, new Revision(new ItemUpdate(version, body), services), path, errors);
    }

    private void readDeletion(
            final ItemId id, final Object value, final String path, final List<ValidationError> errors) {
        add(id, new Revision(new ItemUpdate(version(value, path, errors), null), Set.of()), path, errors);
    }

    private void add(final ItemId id, final Revision revision, final String path, final List<ValidationError> errors) {
        final Revision existing =
                revisions.computeIfAbsent(id, key -> new TreeMap<>()).putIfAbsent(revision.version(), revision);
        if (existing != null && !existing.itemUpdate().equals(revision.itemUpdate())) {
            errors.add(new ValidationError(path, "two bodies under one version"));
        }
    }

    private static Version version(final Object value, final String path, final List<ValidationError> errors) {
        if (value instanceof BigDecimal number
                && number.stripTrailingZeros().scale() <= 0
                && number.signum() > 0
                && number.compareTo(HIGHEST_VERSION) <= 0) {
            return new Version(number.longValue());
        }
        errors.add(new ValidationError(path, "a version, a whole number above 0, is wanted here"));
        return Version.ZERO;
    }

    /** The services that a route refers to. */
    static List<ItemId> servicesOf(final Route route) {
        return route.namedServices().stream()
                .filter(name -> !name.isEmpty())
                .map(name -> new ItemId(ItemKind.SERVICE, name))
                .toList();
    }

    /** An error for each reference to a service that is neither set by the same update nor {@code known}. */
    public List<ValidationError> unknownServices(final Predicate<ItemId> known) {
        return revisions.entrySet().stream()
                .flatMap(entry -> entry.getValue().values().stream()
                        .flatMap(revision -> revision.services().stream())
                        .filter(service -> !sets(service) && !known.test(service))
                        .distinct()
                        .map(service -> ReferenceValidator.unknownService(entry.getKey(), service)))
                .toList();
    }

    /** Whether any revision in the update sets the item. */
    boolean sets(final ItemId id) {
        return revisions(id).stream().anyMatch(revision -> revision.itemUpdate().body() != null);
    }

    /** The size that the update takes up in the ledger until its items are written, in bytes. */
    int encodedBytes() {
        return Json.write(updates).getBytes(StandardCharsets.UTF_8).length;
    }

    /** The revision with the highest version of each item. */
    public Map<ItemId, ItemUpdate> updates() {
        return updates;
    }

    /** All revisions of an item in ascending order of their versions. */
    Collection<Revision> revisions(final ItemId id) {
        final NavigableMap<Version, Revision> versions = revisions.get(id);
        return versions == null ? List.of() : versions.values();
    }
}
