package org.rowanvalve.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import org.rowanvalve.common.Token;

/** Where two nodes' beliefs differ, which is newer, and whether that is lag or contradiction. */
public final class Diff {
    /** One difference between what two nodes hold. */
    public record Row(String what, String left, String right, String newer, String kind) {
        public String line() {
            return what + ": " + left + " | " + right + "  (" + kind + (newer.isEmpty() ? "" : ", newer: " + newer)
                    + ")";
        }
    }

    private final List<Row> rows = new ArrayList<>();
    private final Map<?, ?> a;
    private final Map<?, ?> b;
    private final String left;
    private final String right;

    private Diff(final Map<?, ?> a, final Map<?, ?> b) {
        this.a = a;
        this.b = b;
        left = String.valueOf(a.get("node"));
        right = String.valueOf(b.get("node"));
    }

    public static List<Row> of(final Map<?, ?> a, final Map<?, ?> b) {
        final Diff d = new Diff(a, b);
        d.members();
        d.items();
        d.number("planEpoch", "plan epoch");
        d.plan();
        d.leases();
        d.origins();
        d.ages();
        return d.rows;
    }

    private static Map<?, ?> part(final Map<?, ?> m, final String name) {
        return m.get(name) instanceof Map<?, ?> p ? p : Map.of();
    }

    private Set<String> names(final String name) {
        final Set<String> set = new TreeSet<>();
        part(a, name).keySet().forEach(k -> set.add(String.valueOf(k)));
        part(b, name).keySet().forEach(k -> set.add(String.valueOf(k)));
        return set;
    }

    private void members() {
        for (final String n : names("members")) {
            final Object x = part(a, "members").get(n);
            final Object y = part(b, "members").get(n);
            if (!Objects.equals(x, y)) {
                rows.add(new Row("member " + n, show(x), show(y), "", "lag"));
            }
        }
    }

    private static String show(final Object o) {
        return o == null ? "unknown" : String.valueOf(o);
    }

    private void items() {
        for (final String n : names("items")) {
            compare("item " + n, part(a, "items").get(n), part(b, "items").get(n));
        }
    }

    private void number(final String name, final String what) {
        compare(what, a.get(name), b.get(name));
    }

    private void compare(final String what, final Object x, final Object y) {
        final long p = x instanceof Number n ? n.longValue() : 0;
        final long q = y instanceof Number n ? n.longValue() : 0;
        if (p != q) {
            rows.add(new Row(what, String.valueOf(p), String.valueOf(q), p > q ? left : right, "lag"));
        }
    }

    private void plan() {
        final boolean same = Objects.equals(a.get("planEpoch"), b.get("planEpoch"));
        for (final String n : names("plan")) {
            final Object x = part(a, "plan").get(n);
            final Object y = part(b, "plan").get(n);
            if (!Objects.equals(x, y)) {
                rows.add(new Row(
                        "plan shard " + n,
                        show(x),
                        show(y),
                        same ? "" : newer(a.get("planEpoch"), b.get("planEpoch")),
                        same ? "contradiction" : "lag"));
            }
        }
    }

    private String newer(final Object x, final Object y) {
        return ((Number) x).longValue() > ((Number) y).longValue() ? left : right;
    }

    private void leases() {
        for (final String n : names("leases")) {
            final String x = show(part(a, "leases").get(n));
            final String y = show(part(b, "leases").get(n));
            if (x.startsWith("HELD") && y.startsWith("HELD")) {
                final boolean more = Token.parse(y.substring(5)).below(Token.parse(x.substring(5)));
                rows.add(new Row("lease of shard " + n, x, y, more ? left : right, "contradiction"));
            }
        }
    }

    private void origins() {
        for (final String n : names("origins")) {
            final Object x = part(a, "origins").get(n);
            final Object y = part(b, "origins").get(n);
            if (!Objects.equals(x, y)) {
                rows.add(new Row("origin " + n, show(x), show(y), "", "lag"));
            }
        }
    }

    private void ages() {
        final long x = ((Number) a.get("frameAgeMs")).longValue();
        final long y = ((Number) b.get("frameAgeMs")).longValue();
        if (x < 0 != y < 0) {
            rows.add(new Row(
                    "frame age",
                    x < 0 ? "not confirmed" : x + " ms",
                    y < 0 ? "not confirmed" : y + " ms",
                    x < 0 ? right : left,
                    "lag"));
        }
    }
}
