package org.rowanvalve.testkit.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Rules on configuration: in force in time, never back, never lost. */
final class Spread {
    private Spread() {}

    private static List<Facts.Row> writes(final Facts f) {
        final List<Facts.Row> list = new ArrayList<>(f.accepted("put"));
        list.addAll(f.accepted("purge"));
        return list;
    }

    static Verdict force(final Facts f, final Verdict v) {
        final List<Facts.Row> learned = f.nodes("LEARNED");
        final Set<String> nodes = new TreeSet<>();
        f.nodes("STARTED").forEach(r -> nodes.add(r.text("node")));
        final Map<String, List<Facts.Row>> by = Facts.group(learned, "node", "item");
        final long last =
                f.of("end").isEmpty() ? Long.MAX_VALUE : f.of("end").get(0).t();
        for (final Facts.Row w : writes(f)) {
            final long due = w.num("end") + 2500;
            for (final String n : nodes) {
                if (due > last) {
                    continue;
                }
                if (!f.healthy(n, w.t(), due) || !f.settled(w.t(), due)) {
                    v.excuse();
                    continue;
                }
                v.check();
                final long at = by.getOrDefault(n + "|" + w.text("item") + "|", List.of()).stream()
                        .filter(r -> r.num("ver") >= w.num("version"))
                        .mapToLong(Facts.Row::t)
                        .min()
                        .orElse(Long.MAX_VALUE);
                if (at > due) {
                    v.breach(w.text("item") + " version " + w.num("version") + " accepted at " + w.num("end")
                            + ", in force on " + n + " " + (at == Long.MAX_VALUE ? "never" : "at " + at));
                }
            }
        }
        back(f, v);
        probed(f, v);
        return v;
    }

    /** A route that comes and goes, asked for at every edge: what callers see, whatever nodes say. */
    private static void probed(final Facts f, final Verdict v) {
        final List<Facts.Row> ops =
                f.of("op").stream().filter(r -> r.has("shown")).toList();
        for (final Facts.Row p : f.of("probe")) {
            final Facts.Row last = ops.stream()
                    .filter(o -> o.num("status") == 200 && o.num("end") + 2500 <= p.t())
                    .reduce((a, b) -> f.shieldRun()
                            ? b.num("version") > a.num("version") ? b : a
                            : b.num("end") >= a.num("end") ? b : a)
                    .orElse(null);
            if (last == null
                    || ops.stream()
                            .anyMatch(o -> o != last
                                    && o.t() <= p.num("end")
                                    && (f.shieldRun() ? o.num("version") > last.num("version") : o.t() >= last.t()))) {
                continue;
            }
            if (!f.healthy(p.text("node"), last.t(), p.num("end")) || !f.settled(last.t(), p.num("end"))) {
                v.excuse();
                continue;
            }
            v.check();
            final boolean there = p.num("status") != 404;
            if (p.num("status") != 503 && there != last.yes("shown")) {
                v.breach(p.text("node") + " answered " + p.num("status") + " at " + p.t() + ", though the route was "
                        + (last.yes("shown") ? "stated" : "deleted") + " and accepted at " + last.num("end"));
            }
        }
    }

    /**
     * Within a process versions rise; a restarted one is not confirmed before it holds what it showed before. Tenure
     * holds no frame back: where all its electors restart at once, a frame may be confirmed before it is known again.
     */
    private static void back(final Facts f, final Verdict v) {
        final Map<String, TreeMap<String, Long>> shown = new HashMap<>();
        final Map<String, TreeMap<String, Long>> now = new HashMap<>();
        final Map<String, String> boots = new HashMap<>();
        for (final Facts.Row r : f.of("node")) {
            final String n = r.text("node");
            final String name = r.text("name");
            if (name.equals("STARTED")) {
                boots.put(n, r.text("boot"));
                shown.computeIfAbsent(n, k -> new TreeMap<>()).putAll(now.getOrDefault(n, new TreeMap<>()));
                now.put(n, new TreeMap<>());
            } else if (name.equals("LEARNED")) {
                final Long old = now.computeIfAbsent(n, k -> new TreeMap<>()).put(r.text("item"), r.num("ver"));
                if (old != null && old >= r.num("ver")) {
                    v.breach(n + " went from version " + old + " of " + r.text("item") + " to " + r.num("ver") + " at "
                            + r.t());
                }
            } else if (name.equals("FRAME_FRESH")) {
                shown.getOrDefault(n, new TreeMap<>()).forEach((item, ver) -> {
                    if (f.shieldRun() && item.equals("TENURE/tenure")) {
                        return;
                    }
                    v.check();
                    if (now.get(n).getOrDefault(item, 0L) < ver && !f.swept(item, ver, r.t())) {
                        v.breach(n + " was confirmed at " + r.t() + " with version "
                                + now.get(n).getOrDefault(item, 0L) + " of " + item + " after it had shown " + ver);
                    }
                });
            }
        }
    }

    static Verdict lost(final Facts f, final Verdict v) {
        for (final Facts.Row e : f.of("end")) {
            if (!e.yes("fresh") || !(e.map().get("items") instanceof Map<?, ?> items)) {
                continue;
            }
            for (final Facts.Row w : writes(f)) {
                v.check();
                final long held = items.get(w.text("item")) instanceof Number n ? n.longValue() : 0;
                if (held < w.num("version") && !f.swept(w.text("item"), w.num("version"), e.t())) {
                    v.breach(e.text("node") + " ends with version " + held + " of " + w.text("item") + ", version "
                            + w.num("version") + " was accepted at " + w.num("end"));
                }
            }
        }
        for (final Facts.Row r : f.of("rig").stream()
                .filter(x -> x.text("what").equals("returned"))
                .toList()) {
            final long from = r.t() + 15_000;
            final long dark = f.dark(r.t());
            final List<Facts.Row> all = f.of("req").stream()
                    .filter(q -> q.t() >= from && q.t() < from + 5000)
                    .toList();
            final List<Facts.Row> asked = all.stream().filter(q -> q.t() < dark).toList();
            v.excuse(all.size() - asked.size());
            final long done =
                    asked.stream().filter(q -> q.text("fate").equals("done")).count();
            v.check(asked.size());
            if (!asked.isEmpty() && done * 4 < asked.size()) {
                v.breach("machines returned at " + r.t() + ", 15 s later " + done + " of " + asked.size()
                        + " were served");
            }
        }
        return v;
    }
}
