package org.rowanvalve.control;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.rowanvalve.common.Finding;
import org.rowanvalve.common.Hash;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Ver;

/**
 * A call that sets and drops items under versions of the operator's own: for each name the highest holds, a lower one
 * alters nothing. Reading finds every fault of the text; whether it fits what stands is judged by {@link OrderLedger}.
 */
public final class Patch {
    private static final List<Kind> KINDS = List.of(Kind.SERVICE, Kind.ROUTE, Kind.LIMIT);
    private final Map<ItemId, Part> parts = new LinkedHashMap<>();
    private final Map<ItemId, Set<String>> named = new TreeMap<>();

    /** {@code body}: null drops the item. */
    record Part(Ver ver, String body) {
        private static final int DIGITS = 12;

        /** What tells two bodies under one number apart. */
        String digest() {
            return body == null ? OrderLedger.DROPPED : digest(body);
        }

        static String digest(final String body) {
            return Hash.digest(body.getBytes(StandardCharsets.UTF_8)).substring(0, DIGITS);
        }

        /** What stands once this part has come to it. */
        Item over(final Item now, final String tag) {
            return now.ver().n() >= ver.n()
                    ? now
                    : new Item(now.id(), ver, body == null ? "" : body, body == null, tag);
        }
    }

    private Patch() {}

    public static Patch read(final byte[] data, final List<Finding> faults) {
        final Patch patch = new Patch();
        final Object o = JsonReader.read(data, faults);
        if (o == null && !faults.isEmpty()) {
            return patch;
        }
        final JsonShape all = new JsonShape(o, "", faults);
        final Config said = new Config();
        final JsonShape set = new JsonShape(all.part("set"), "/set", faults);
        final JsonShape drop = new JsonShape(all.part("drop"), "/drop", faults);
        for (final Kind k : KINDS) {
            final String name = k.word() + "s";
            set.part(name)
                    .forEach((n, v) ->
                            patch.set(new ItemId(k, String.valueOf(n)), v, "/set/" + name + "/" + n, said, faults));
            drop.part(name)
                    .forEach((n, v) ->
                            patch.drop(new ItemId(k, String.valueOf(n)), v, "/drop/" + name + "/" + n, faults));
        }
        set.end();
        drop.end();
        all.end();
        said.bodies().forEach((id, body) -> patch.parts.computeIfPresent(id, (i, p) -> new Part(p.ver(), body)));
        said.routes().forEach((n, m) -> patch.named.put(new ItemId(Kind.ROUTE, n), Set.copyOf(m.named())));
        return patch;
    }

    private void set(
            final ItemId id, final Object value, final String at, final Config said, final List<Finding> faults) {
        if (!(value instanceof Map<?, ?> m)) {
            faults.add(new Finding(at, "an object is wanted here"));
            return;
        }
        final Map<Object, Object> rest = new LinkedHashMap<>(m);
        final Ver ver = version(rest.remove("version"), at + "/version", faults);
        said.put(id, rest, at, faults);
        parts.put(id, new Part(ver, null));
    }

    private void drop(final ItemId id, final Object value, final String at, final List<Finding> faults) {
        if (parts.containsKey(id)) {
            faults.add(new Finding(at, "the same call sets it"));
        } else {
            parts.put(id, new Part(version(value, at, faults), null));
        }
    }

    private static Ver version(final Object o, final String at, final List<Finding> faults) {
        if (o instanceof java.math.BigDecimal n
                && n.stripTrailingZeros().scale() <= 0
                && n.signum() > 0
                && n.compareTo(java.math.BigDecimal.valueOf(Long.MAX_VALUE)) <= 0) {
            return new Ver(n.longValue());
        }
        faults.add(new Finding(at, "a version, a whole number above 0, is wanted here"));
        return Ver.ZERO;
    }

    /** The services that this part names and that are neither set by the same call nor {@code known}. */
    List<Finding> unknown(final ItemId id, final Predicate<ItemId> known) {
        return named.getOrDefault(id, Set.of()).stream()
                .filter(s -> !s.isEmpty())
                .map(s -> new ItemId(Kind.SERVICE, s))
                .filter(s -> !sets(s) && !known.test(s))
                .sorted()
                .map(s -> new Finding("/set/routes/" + id.name() + "/service", "no service is named " + s.name()))
                .toList();
    }

    /** What names a service that is neither set by the same call nor {@code known}. */
    public List<Finding> unfit(final Predicate<ItemId> known) {
        return parts.keySet().stream()
                .flatMap(id -> unknown(id, known).stream())
                .toList();
    }

    private boolean sets(final ItemId id) {
        return parts.containsKey(id) && parts.get(id).body() != null;
    }

    public Map<ItemId, Part> parts() {
        return parts;
    }
}
