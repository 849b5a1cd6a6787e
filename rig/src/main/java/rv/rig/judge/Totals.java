package rv.rig.judge;

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
