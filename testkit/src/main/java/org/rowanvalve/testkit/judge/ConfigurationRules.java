package org.rowanvalve.testkit.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Rules on configuration: in force in time, never rolled back, never lost. */
final class ConfigurationRules {
    /** The longest time that a client waits for an answer. */
    private static final long LONGEST_WAIT_MS = 3000;

    private ConfigurationRules() {}

    private static List<RunFacts.Row> writes(final RunFacts facts) {
        final List<RunFacts.Row> list = new ArrayList<>(facts.accepted("put"));
        list.addAll(facts.accepted("purge"));
        return list;
    }

    static Verdict force(final RunFacts facts, final Verdict verdict) {
        final List<RunFacts.Row> learned = facts.nodes("LEARNED");
        final Set<String> nodes = new TreeSet<>();
        facts.nodes("STARTED").forEach(row -> nodes.add(row.text("node")));
        final Map<String, List<RunFacts.Row>> by = RunFacts.group(learned, "node", "item");
        final long last = facts.of("end").isEmpty()
                ? Long.MAX_VALUE
                : facts.of("end").get(0).t();
        for (final RunFacts.Row w : writes(facts)) {
            final long due = w.num("end") + 2500;
            for (final String n : nodes) {
                if (due > last) {
                    continue;
                }
                if (!facts.healthy(n, w.t(), due) || !facts.settled(w.t(), due)) {
                    verdict.excuse();
                    continue;
                }
                verdict.check();
                final long at = by.getOrDefault(n + "|" + w.text("item") + "|", List.of()).stream()
                        .filter(row -> row.num("ver") >= w.num("version"))
                        .mapToLong(RunFacts.Row::t)
                        .min()
                        .orElse(Long.MAX_VALUE);
                if (at > due) {
                    verdict.breach(w.text("item") + " version " + w.num("version") + " accepted at " + w.num("end")
                            + ", in force on " + n + " " + (at == Long.MAX_VALUE ? "never" : "at " + at));
                }
            }
        }
        back(facts, verdict);
        probed(facts, verdict);
        return verdict;
    }

    /** A route that comes and goes, asked for at every edge: what callers see, whatever nodes say. */
    private static void probed(final RunFacts facts, final Verdict verdict) {
        final List<RunFacts.Row> ops =
                facts.of("op").stream().filter(row -> row.has("shown")).toList();
        for (final RunFacts.Row p : facts.of("probe")) {
            final RunFacts.Row last = ops.stream()
                    .filter(o -> o.num("status") == 200 && o.num("end") + 2500 <= p.t())
                    .reduce((a, b) -> facts.shieldRun()
                            ? b.num("version") > a.num("version") ? b : a
                            : b.num("end") >= a.num("end") ? b : a)
                    .orElse(null);
            if (last == null
                    || ops.stream()
                            .anyMatch(o -> o != last
                                    && o.t() <= p.num("end")
                                    && (facts.shieldRun()
                                            ? o.num("version") > last.num("version")
                                            : o.t() >= last.t()))) {
                continue;
            }
            if (!facts.healthy(p.text("node"), last.t(), p.num("end")) || !facts.settled(last.t(), p.num("end"))) {
                verdict.excuse();
                continue;
            }
            verdict.check();
            final boolean there = p.num("status") != 404;
            if (p.num("status") != 503 && there != last.yes("shown")) {
                verdict.breach(
                        p.text("node") + " answered " + p.num("status") + " at " + p.t() + ", though the route was "
                                + (last.yes("shown") ? "stated" : "deleted") + " and accepted at " + last.num("end"));
            }
        }
    }

    /**
     * Within a process versions rise; a restarted one is not confirmed before it holds what it showed before. Tenure
     * holds no frame back: where all its electors restart at once, a frame may be confirmed before it is known again.
     */
    private static void back(final RunFacts facts, final Verdict verdict) {
        final Map<String, TreeMap<String, Long>> shown = new HashMap<>();
        final Map<String, TreeMap<String, Long>> now = new HashMap<>();
        final Map<String, String> boots = new HashMap<>();
        for (final RunFacts.Row row : facts.of("node")) {
            final String n = row.text("node");
            final String name = row.text("name");
            if (name.equals("STARTED")) {
                boots.put(n, row.text("boot"));
                shown.computeIfAbsent(n, k -> new TreeMap<>()).putAll(now.getOrDefault(n, new TreeMap<>()));
                now.put(n, new TreeMap<>());
            } else if (name.equals("LEARNED")) {
                final Long old = now.computeIfAbsent(n, k -> new TreeMap<>()).put(row.text("item"), row.num("ver"));
                if (old != null && old >= row.num("ver")) {
                    verdict.breach(n + " went from version " + old + " of " + row.text("item") + " to " + row.num("ver")
                            + " at " + row.t());
                }
            } else if (name.equals("FRAME_FRESH")) {
                shown.getOrDefault(n, new TreeMap<>()).forEach((item, ver) -> {
                    if (facts.shieldRun() && item.equals("TENURE/tenure")) {
                        return;
                    }
                    verdict.check();
                    if (now.get(n).getOrDefault(item, 0L) < ver && !facts.swept(item, ver, row.t())) {
                        verdict.breach(n + " was confirmed at " + row.t() + " with version "
                                + now.get(n).getOrDefault(item, 0L) + " of " + item + " after it had shown " + ver);
                    }
                });
            }
        }
    }

    /** Whether a request ended, or its client had waited as long as any does, before no machine was up any more. */
    private static boolean couldBeAnswered(final RunFacts.Row request, final long dark) {
        return request.t() < dark && (request.num("end") < dark || request.t() + LONGEST_WAIT_MS < dark);
    }

    static Verdict lost(final RunFacts facts, final Verdict verdict) {
        for (final RunFacts.Row e : facts.of("end")) {
            if (!e.yes("fresh") || !(e.map().get("items") instanceof Map<?, ?> items)) {
                continue;
            }
            for (final RunFacts.Row w : writes(facts)) {
                verdict.check();
                final long held = items.get(w.text("item")) instanceof Number n ? n.longValue() : 0;
                if (held < w.num("version") && !facts.swept(w.text("item"), w.num("version"), e.t())) {
                    verdict.breach(e.text("node") + " ends with version " + held + " of " + w.text("item")
                            + ", version " + w.num("version") + " was accepted at " + w.num("end"));
                }
            }
        }
        for (final RunFacts.Row row : facts.of("rig").stream()
                .filter(x -> x.text("what").equals("returned"))
                .toList()) {
            final long from = row.t() + 15_000;
            final long dark = facts.dark(row.t());
            final List<RunFacts.Row> all = facts.of("req").stream()
                    .filter(q -> q.t() >= from && q.t() < from + 5000)
                    .toList();
            final List<RunFacts.Row> asked =
                    all.stream().filter(q -> couldBeAnswered(q, dark)).toList();
            verdict.excuse(all.size() - asked.size());
            final long done =
                    asked.stream().filter(q -> q.text("fate").equals("done")).count();
            verdict.check(asked.size());
            if (!asked.isEmpty() && done * 4 < asked.size()) {
                verdict.breach("machines returned at " + row.t() + ", 15 s later " + done + " of " + asked.size()
                        + " were served");
            }
        }
        return verdict;
    }
}
