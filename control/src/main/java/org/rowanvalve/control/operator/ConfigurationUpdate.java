package org.rowanvalve.control.operator;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.rowanvalve.common.model.Hash;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.control.config.Configuration;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.json.JsonObjectReader;
import org.rowanvalve.control.json.JsonReader;

/**
 * An operator's update that sets and drops items under versions of the operator's own. For each item the highest
 * version holds; a lower one changes nothing. Reading finds every error of the text; {@link UpdateLedger} decides
 * whether it fits what stands.
 */
public final class ConfigurationUpdate {
    private static final List<ItemKind> KINDS = List.of(ItemKind.SERVICE, ItemKind.ROUTE, ItemKind.LIMIT);
    private final Map<ItemId, ItemUpdate> updates = new LinkedHashMap<>();
    private final Map<ItemId, Set<String>> serviceReferences = new TreeMap<>();

    /** {@code body}: null drops the item. */
    record ItemUpdate(@JsonProperty("ver") Version version, String body) {
        private static final int DIGITS = 12;

        /** The digest that distinguishes two bodies under one version. */
        String digest() {
            return body == null ? UpdateLedger.DELETED_DIGEST : digest(body);
        }

        static String digest(final String body) {
            return Hash.sha256Hex(body.getBytes(StandardCharsets.UTF_8)).substring(0, DIGITS);
        }

        /** The item that stands once this part has been applied to it. */
        Item appliedTo(final Item current, final String writeId) {
            return current.version().number() >= version.number()
                    ? current
                    : new Item(current.id(), version, body == null ? "" : body, body == null, writeId);
        }
    }

    private ConfigurationUpdate() {}

    /** Reads an update; {@code errors} gets every error with its path. */
    public static ConfigurationUpdate read(final byte[] data, final List<ValidationError> errors) {
        final ConfigurationUpdate patch = new ConfigurationUpdate();
        final Object value = JsonReader.read(data, errors);
        if (value == null && !errors.isEmpty()) {
            return patch;
        }
        final JsonObjectReader all = new JsonObjectReader(value, "", errors);
        final Configuration configuration = new Configuration();
        final JsonObjectReader set = new JsonObjectReader(all.object("set"), "/set", errors);
        final JsonObjectReader drop = new JsonObjectReader(all.object("drop"), "/drop", errors);
        for (final ItemKind kind : KINDS) {
            final String name = kind.label() + "s";
            set.object(name)
                    .forEach((n, v) -> patch.set(
                            new ItemId(kind, String.valueOf(n)), v, "/set/" + name + "/" + n, configuration, errors));
            drop.object(name)
                    .forEach((n, v) ->
                            patch.drop(new ItemId(kind, String.valueOf(n)), v, "/drop/" + name + "/" + n, errors));
        }
        set.rejectUnknownMembers();
        drop.rejectUnknownMembers();
        all.rejectUnknownMembers();
        configuration
                .bodies()
                .forEach((id, body) -> patch.updates.computeIfPresent(id, (i, p) -> new ItemUpdate(p.version(), body)));
        configuration
                .routes()
                .forEach((n, route) ->
                        patch.serviceReferences.put(new ItemId(ItemKind.ROUTE, n), Set.copyOf(route.namedServices())));
        return patch;
    }

    private void set(
            final ItemId id,
            final Object value,
            final String at,
            final Configuration configuration,
            final List<ValidationError> errors) {
        if (!(value instanceof Map<?, ?> m)) {
            errors.add(new ValidationError(at, "an object is wanted here"));
            return;
        }
        final Map<Object, Object> rest = new LinkedHashMap<>(m);
        final Version ver = version(rest.remove("version"), at + "/version", errors);
        configuration.readItem(id, rest, at, errors);
        updates.put(id, new ItemUpdate(ver, null));
    }

    private void drop(final ItemId id, final Object value, final String at, final List<ValidationError> errors) {
        if (updates.containsKey(id)) {
            errors.add(new ValidationError(at, "the same call sets it"));
        } else {
            updates.put(id, new ItemUpdate(version(value, at, errors), null));
        }
    }

    private static Version version(final Object value, final String at, final List<ValidationError> errors) {
        if (value instanceof java.math.BigDecimal name
                && name.stripTrailingZeros().scale() <= 0
                && name.signum() > 0
                && name.compareTo(java.math.BigDecimal.valueOf(Long.MAX_VALUE)) <= 0) {
            return new Version(name.longValue());
        }
        errors.add(new ValidationError(at, "a version, a whole number above 0, is wanted here"));
        return Version.ZERO;
    }

    /** The services named by this part that are neither set by the same update nor {@code known}. */
    List<ValidationError> unknownServices(final ItemId id, final Predicate<ItemId> known) {
        return serviceReferences.getOrDefault(id, Set.of()).stream()
                .filter(s -> !s.isEmpty())
                .map(s -> new ItemId(ItemKind.SERVICE, s))
                .filter(s -> !sets(s) && !known.test(s))
                .sorted()
                .map(s ->
                        new ValidationError("/set/routes/" + id.name() + "/service", "no service is named " + s.name()))
                .toList();
    }

    /** The parts that name a service that is neither set by the same update nor {@code known}. */
    public List<ValidationError> unfit(final Predicate<ItemId> known) {
        return updates.keySet().stream()
                .flatMap(id -> unknownServices(id, known).stream())
                .toList();
    }

    private boolean sets(final ItemId id) {
        return updates.containsKey(id) && updates.get(id).body() != null;
    }

    /** The size of the update in the ledger until its items are written. */
    int encodedBytes() {
        return Json.write(updates).getBytes(StandardCharsets.UTF_8).length;
    }

    public Map<ItemId, ItemUpdate> updates() {
        return updates;
    }
}
