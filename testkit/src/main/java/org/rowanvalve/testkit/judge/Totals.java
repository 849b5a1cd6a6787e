package org.rowanvalve.testkit.judge;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Rules on sums over all machines, counted at the origins. */
final class Totals {
    private static final long SPAN = 10_000;
    /** So many requests of a run may reach more origins than they should. */
    private static final int FEW = 3;
    /** An origin that crashes within so long of an arrival may have taken it along. */
    private static final long CRASH_MS = 3000;

    private Totals() {}

    static Verdict ceiling(final Facts f, final Verdict v) {
        final Map<String, Double> rates = new HashMap<>();
        f.of("op").stream()
                .filter(r -> r.real("ceiling") > 0)
                .forEach(r -> rates.put(r.text("service"), r.real("ceiling")));
        for (final Map.Entry<String, List<Facts.Row>> e :
                Facts.group(f.of("org"), "service").entrySet()) {
            final Double rate = rates.get(e.getKey().split("\\|")[0]);
            if (rate == null) {
                continue;
            }
            final ArrayDeque<Long> window = new ArrayDeque<>();
            for (final Facts.Row r : e.getValue()) {
                if (f.apart(r.text("from"), r.t())) {
                    v.excuse();
                    continue;
                }
                v.check();
                window.addLast(r.t());
                while (r.t() - window.peekFirst() >= 5000) {
                    window.removeFirst();
                }
                if (window.size() > rate * 5 * 1.1 + 5) {
                    v.breach(e.getKey() + " got " + window.size() + " in 5 s up to " + r.t() + ", its ceiling allows "
                            + rate * 5);
                }
            }
        }
        return v;
    }

    static Verdict budget(final Facts f, final Verdict v) {
        final Map<String, Set<String>> ways = new TreeMap<>();
        f.of("op").stream()
                .filter(r -> r.map().get("services") instanceof List<?>)
                .forEach(r -> ((List<?>) r.map().get("services"))
                        .forEach(s -> ways.computeIfAbsent(String.valueOf(s), k -> new HashSet<>())
                                .add(r.text("prefix"))));
        for (final Map.Entry<String, List<Facts.Row>> e :
                Facts.group(f.of("org"), "service").entrySet()) {
            final Set<String> mine = ways.getOrDefault(e.getKey().split("\\|")[0], Set.of());
            final long[] asked = f.of("req").stream()
                    .filter(q -> mine.stream().anyMatch(q.text("path")::startsWith))
                    .mapToLong(Facts.Row::t)
                    .sorted()
                    .toArray();
            final Set<String> seen = new HashSet<>();
            final List<Long> extra = new ArrayList<>();
            int from = 0;
            for (final Facts.Row r : e.getValue()) {
                v.check();
                if (seen.add(r.text("request"))) {
                    continue;
                }
                extra.add(r.t());
                while (r.t() - extra.get(from) >= SPAN) {
                    from++;
                }
                final long most = Math.max(
                        count(asked, r.t() - SPAN, r.t()),
                        Math.max(
                                count(asked, r.t() - 2 * SPAN, r.t() - SPAN),
                                count(asked, r.t() - SPAN * 3 / 2, r.t() - SPAN / 2)));
                if (extra.size() - from > 0.2 * most + 62) {
                    v.breach(e.getKey() + " got " + (extra.size() - from) + " arrivals beyond the first in 10 s up to "
                            + r.t() + ", for " + most + " requests");
                }
            }
        }
        return v;
    }

    /** One try of a caller reaches no more origins than its route's number of attempts, but for a few in a run. */
    static Verdict attempts(final Facts f, final Verdict v) {
        final List<Long> ends = new ArrayList<>();
        final Map<String, List<Long>> crashes = new HashMap<>();
        f.of("rig").stream()
                .filter(r -> r.text("what").equals("origin-crash"))
                .forEach(r -> crashes.computeIfAbsent(r.text("node"), k -> new ArrayList<>())
                        .add(r.t()));
        Facts.group(f.of("org"), "request").forEach((request, arrivals) -> {
            v.check();
            final Set<String> reached = new HashSet<>();
            arrivals.stream()
                    .filter(r -> crashes.getOrDefault(r.text("origin"), List.of()).stream()
                            .noneMatch(t -> t >= arrivals.get(0).t() && t <= r.t() + CRASH_MS))
                    .forEach(r -> reached.add(r.text("origin")));
            if (reached.size() > attemptsOf(f, arrivals.get(0))) {
                ends.add(arrivals.get(arrivals.size() - 1).t());
                if (ends.size() > FEW) {
                    v.breach(request + " reached the origins " + reached + ", the " + ends.size()
                            + "th such request, at "
                            + arrivals.get(arrivals.size() - 1).t());
                }
            }
        });
        return v;
    }

    private static long attemptsOf(final Facts f, final Facts.Row arrival) {
        return f.of("op").stream()
                .filter(r -> r.has("attempts") && arrival.text("path").startsWith(r.text("prefix")))
                .mapToLong(r -> r.num("attempts"))
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
