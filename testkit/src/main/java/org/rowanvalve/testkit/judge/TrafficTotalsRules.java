package org.rowanvalve.testkit.judge;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Rules on totals over all machines, counted at the origins. */
final class TrafficTotalsRules {
    private static final long SPAN = 10_000;
    /** So many requests of a run may reach more origins than they should. */
    private static final int FEW = 3;
    /** An origin that crashes within so long of an arrival may have taken it along. */
    private static final long CRASH_MS = 3000;

    private TrafficTotalsRules() {}

    static Verdict ceiling(final RunFacts facts, final Verdict verdict) {
        final Map<String, Double> rates = new HashMap<>();
        facts.of("op").stream()
                .filter(row -> row.real("ceiling") > 0)
                .forEach(row -> rates.put(row.text("service"), row.real("ceiling")));
        for (final Map.Entry<String, List<RunFacts.Row>> entry :
                RunFacts.group(facts.of("org"), "service").entrySet()) {
            final Double rate = rates.get(entry.getKey().split("\\|")[0]);
            if (rate == null) {
                continue;
            }
            final ArrayDeque<Long> window = new ArrayDeque<>();
            for (final RunFacts.Row row : entry.getValue()) {
                if (facts.apart(row.text("from"), row.t())) {
                    verdict.excuse();
                    continue;
                }
                verdict.check();
                window.addLast(row.t());
                while (row.t() - window.peekFirst() >= 5000) {
                    window.removeFirst();
                }
                if (window.size() > rate * 5 * 1.1 + 5) {
                    verdict.breach(entry.getKey() + " got " + window.size() + " in 5 s up to " + row.t()
                            + ", its ceiling allows " + rate * 5);
                }
            }
        }
        return verdict;
    }

    static Verdict budget(final RunFacts facts, final Verdict verdict) {
        final Map<String, Set<String>> ways = new TreeMap<>();
        facts.of("op").stream()
                .filter(row -> row.map().get("services") instanceof List<?>)
                .forEach(row -> ((List<?>) row.map().get("services"))
                        .forEach(s -> ways.computeIfAbsent(String.valueOf(s), k -> new HashSet<>())
                                .add(row.text("prefix"))));
        for (final Map.Entry<String, List<RunFacts.Row>> entry :
                RunFacts.group(facts.of("org"), "service").entrySet()) {
            final Set<String> mine = ways.getOrDefault(entry.getKey().split("\\|")[0], Set.of());
            final long[] asked = facts.of("req").stream()
                    .filter(q -> mine.stream().anyMatch(q.text("path")::startsWith))
                    .mapToLong(RunFacts.Row::t)
                    .sorted()
                    .toArray();
            final Set<String> seen = new HashSet<>();
            final List<Long> extra = new ArrayList<>();
            int from = 0;
            for (final RunFacts.Row row : entry.getValue()) {
                verdict.check();
                if (seen.add(row.text("request"))) {
                    continue;
                }
                extra.add(row.t());
                while (row.t() - extra.get(from) >= SPAN) {
                    from++;
                }
                final long most = Math.max(
                        count(asked, row.t() - SPAN, row.t()),
                        Math.max(
                                count(asked, row.t() - 2 * SPAN, row.t() - SPAN),
                                count(asked, row.t() - SPAN * 3 / 2, row.t() - SPAN / 2)));
                if (extra.size() - from > 0.2 * most + 62) {
                    verdict.breach(entry.getKey() + " got " + (extra.size() - from)
                            + " arrivals beyond the first in 10 s up to " + row.t() + ", for " + most + " requests");
                }
            }
        }
        return verdict;
    }

    /** One try of a caller reaches no more origins than its route's number of attempts, but for a few in a run. */
    static Verdict attempts(final RunFacts facts, final Verdict verdict) {
        final List<Long> ends = new ArrayList<>();
        final Map<String, List<Long>> crashes = new HashMap<>();
        facts.of("rig").stream()
                .filter(row -> row.text("what").equals("origin-crash"))
                .forEach(row -> crashes.computeIfAbsent(row.text("node"), k -> new ArrayList<>())
                        .add(row.t()));
        RunFacts.group(facts.of("org"), "request").forEach((request, arrivals) -> {
            verdict.check();
            final Set<String> reached = new HashSet<>();
            arrivals.stream()
                    .filter(row -> crashes.getOrDefault(row.text("origin"), List.of()).stream()
                            .noneMatch(t -> t >= arrivals.get(0).t() && t <= row.t() + CRASH_MS))
                    .forEach(row -> reached.add(row.text("origin")));
            if (reached.size() > attemptsOf(facts, arrivals.get(0))) {
                ends.add(arrivals.get(arrivals.size() - 1).t());
                if (ends.size() > FEW) {
                    verdict.breach(request + " reached the origins " + reached + ", the " + ends.size()
                            + "th such request, at "
                            + arrivals.get(arrivals.size() - 1).t());
                }
            }
        });
        return verdict;
    }

    private static long attemptsOf(final RunFacts facts, final RunFacts.Row arrival) {
        return facts.of("op").stream()
                .filter(row -> row.has("attempts") && arrival.text("path").startsWith(row.text("prefix")))
                .mapToLong(row -> row.num("attempts"))
                .max()
                .orElse(Long.MAX_VALUE);
    }

    private static long count(final long[] sorted, final long from, final long to) {
        return at(sorted, to) - at(sorted, from);
    }

    private static int at(final long[] sorted, final long t) {
        int low = 0;
        int high = sorted.length;
        while (low < high) {
            final int mid = (low + high) >>> 1;
            if (sorted[mid] <= t) {
                low = mid + 1;
            } else {
                high = mid;
            }
        }
        return low;
    }
}
