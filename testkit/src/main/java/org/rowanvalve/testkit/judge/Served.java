package org.rowanvalve.testkit.judge;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Rules on what callers were given. */
final class Served {
    private Served() {}

    private static List<Facts.Row> done(final Facts f) {
        return f.of("req").stream()
                .filter(r -> r.text("fate").equals("done") && r.num("status") / 100 == 2)
                .toList();
    }

    static Verdict whole(final Facts f, final Verdict v) {
        final Map<String, List<Facts.Row>> sent = Facts.group(f.of("org"), "request");
        for (final Facts.Row r : done(f)) {
            v.check();
            final List<Facts.Row> from = sent.getOrDefault(r.text("request") + "|", List.of());
            if (r.text("stamp").isEmpty() || !r.yes("whole")) {
                v.breach("request " + r.num("id") + " at " + r.t() + " lacks its stamp or whole body");
            } else if (!r.text("said").equals(r.text("path"))
                    || !r.text("saidKey").equals(r.text("key"))) {
                v.breach("request " + r.num("id") + " at " + r.t() + " for " + r.text("path") + " got "
                        + r.text("said"));
            } else if (from.stream()
                    .noneMatch(o -> o.text("path").equals(r.text("path"))
                            && o.text("stamp").equals(r.text("stamp")))) {
                v.breach("request " + r.num("id") + " at " + r.t() + " names " + r.text("request")
                        + ", which no origin answered so");
            }
        }
        return v;
    }

    static Verdict purged(final Facts f, final Verdict v) {
        final Map<String, List<Facts.Row>> changes = Facts.group(f.of("change"), "path");
        final Map<String, TreeMap<Long, Long>> floors = new HashMap<>();
        for (final Facts.Row p : f.accepted("purge")) {
            final String path = p.text("path");
            final String wide = p.text("prefix");
            final String tag = p.text("tag");
            changes.keySet().stream()
                    .map(k -> k.substring(0, k.length() - 1))
                    .filter(k -> p.has("path")
                            ? k.equals(path)
                            : p.has("prefix")
                                    ? k.startsWith(wide)
                                    : changes.get(k + "|").get(0).text("tag").equals(tag))
                    .forEach(k -> floors.computeIfAbsent(k, x -> new TreeMap<>())
                            .merge(
                                    p.num("end") + 2000,
                                    changes.get(k + "|").stream()
                                            .filter(c -> c.t() <= p.t())
                                            .mapToLong(c -> c.num("rev"))
                                            .max()
                                            .orElse(1),
                                    Math::max));
        }
        for (final Facts.Row r : done(f)) {
            final TreeMap<Long, Long> floor = floors.get(r.text("path"));
            final long least = floor == null
                    ? 0
                    : floor.headMap(r.t()).values().stream()
                            .mapToLong(Long::longValue)
                            .max()
                            .orElse(0);
            if (least > 0) {
                v.check();
                if (r.num("rev") < least) {
                    v.breach(r.text("path") + " served at " + r.t() + " by " + r.text("node") + " with revision "
                            + r.num("rev") + ", purged up to " + least);
                }
            }
        }
        return v;
    }

    static Verdict aged(final Facts f, final Verdict v) {
        final Map<String, Long> when = new HashMap<>();
        f.of("change").forEach(c -> when.put(c.text("path") + "#" + c.num("rev"), c.t()));
        final Map<String, Facts.Row> sent = new HashMap<>();
        f.of("org").stream().filter(o -> f.shieldRun()).forEach(o -> sent.put(o.text("request"), o));
        for (final Facts.Row r : done(f)) {
            final Facts.Row fill = sent.get(r.text("request"));
            if (fill != null && f.drifts(fill.text("from"), r.t())) {
                v.excuse();
            } else if (r.text("mode").equals("cached")) {
                final Long next = when.get(r.text("path") + "#" + (r.num("rev") + 1));
                if (next != null) {
                    v.check();
                    if (r.t() > next + r.num("life") + 2000) {
                        v.breach(r.text("path") + " served at " + r.t() + " by " + r.text("node") + " with revision "
                                + r.num("rev") + ", changed at " + next + ", lifetime " + r.num("life"));
                    }
                }
            }
        }
        return v;
    }
}
