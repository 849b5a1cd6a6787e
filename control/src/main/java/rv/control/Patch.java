package rv.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rv.base.Finding;
import rv.base.Item;
import rv.base.ItemId;
import rv.base.Kind;
import rv.base.Ver;

/**
 * A call that sets and drops items under versions of the operator's own: for each name the highest holds, an equal or a
 * lower one alters nothing. It is checked whole against what stands; nothing of a faulty call takes force.
 */
public final class Patch {
    private static final List<Kind> KINDS = List.of(Kind.SERVICE, Kind.ROUTE, Kind.LIMIT);
    private final Map<ItemId, Part> parts = new LinkedHashMap<>();

    /** {@code body}: null drops the item. */
    record Part(Ver ver, String body) {
        /** What stands once this part has come to it. */
        Item over(final Item now, final String tag) {
            return now.ver().n() >= ver.n()
                    ? now
                    : new Item(now.id(), ver, body == null ? "" : body, body == null, tag);
        }
    }

    private Patch() {}

    public static Patch read(final byte[] data, final ItemStore held, final List<Finding> faults) {
        final Patch patch = new Patch();
        final Object o = JsonReader.read(data, faults);
        if (o == null && !faults.isEmpty()) {
            return patch;
        }
        final JsonShape all = new JsonShape(o, "", faults);
        final Config after = Config.of(held);
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
        said.services().forEach((n, s) -> after.services().put(n, s));
        final List<Finding> unfit = new ArrayList<>();
        said.routes()
                .forEach((n, m) -> m.named().stream()
                        .filter(s -> !s.isEmpty() && !after.services().containsKey(s))
                        .forEach(s ->
                                unfit.add(new Finding("/set/routes/" + n + "/service", "no service is named " + s))));
        faults.addAll(unfit);
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

    public Map<ItemId, Part> parts() {
        return parts;
    }
}
