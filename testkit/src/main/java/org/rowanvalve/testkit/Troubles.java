package org.rowanvalve.testkit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.testkit.judge.Facts;

/** What each trouble did to those served and to the shards' fillers. */
final class Troubles {
    private static final long AFTER = 5000;
    private final Facts facts;
    private final List<long[]> gaps = new ArrayList<>();

    Troubles(final Facts facts) {
        this.facts = facts;
        fold();
    }

    /** Intervals in which no living shield held a shard. */
    private void fold() {
        final Map<Long, String> holder = new HashMap<>();
        final Map<Long, Long> since = new HashMap<>();
        final List<Facts.Row> all = new ArrayList<>(facts.of("node"));
        facts.of("rig").stream()
                .filter(r -> List.of("kill", "lose-disk", "freeze").contains(r.text("what")))
                .forEach(all::add);
        all.sort(java.util.Comparator.comparingLong(Facts.Row::t));
        for (final Facts.Row r : all) {
            final long shard = r.num("shard");
            switch (r.text("name").isEmpty() ? "GONE" : r.text("name")) {
                case "HELD" -> {
                    holder.put(shard, r.text("node"));
                    final Long from = since.remove(shard);
                    if (from != null) {
                        gaps.add(new long[] {from, r.t(), shard});
                    }
                }
                case "UNSURE", "FENCED" -> {
                    if (r.text("node").equals(holder.get(shard))) {
                        holder.remove(shard);
                        since.put(shard, r.t());
                    }
                }
                case "GONE" ->
                    holder.entrySet().removeIf(e -> {
                        if (e.getValue().equals(r.text("node"))) {
                            since.put(e.getKey(), r.t());
                            return true;
                        }
                        return false;
                    });
                default -> {}
            }
        }
    }

    String text() {
        final StringBuilder s = new StringBuilder();
        final Map<String, String> seen = new TreeMap<>();
        for (final Facts.Row r : facts.of("rig")) {
            final String what = r.text("what");
            if (what.equals("start") || what.equals("returned") || seen.put(what + r.t(), "") != null) {
                continue;
            }
            final List<String> who = facts.of("rig").stream()
                    .filter(o -> o.t() == r.t() && o.text("what").equals(what))
                    .map(o -> o.text("node"))
                    .toList();
            s.append(String.format(
                    Locale.ROOT,
                    "  %7d %-13s %-24s %s%n",
                    r.t(),
                    what,
                    who.size() > 4 ? who.size() + " machines" : String.join(",", who),
                    line(r.t(), r.t() + Math.min(r.num("ms"), 20_000) + AFTER)));
        }
        return s.toString();
    }

    private String line(final long from, final long to) {
        final Map<String, int[]> kinds = new TreeMap<>();
        final Map<Long, int[]> seconds = new TreeMap<>();
        for (final Facts.Row q : facts.of("req")) {
            if (q.t() >= from && q.t() < to) {
                final int done = q.text("fate").equals("done") ? 1 : 0;
                for (final int[] c : List.of(
                        kinds.computeIfAbsent(q.text("mode"), k -> new int[2]),
                        seconds.computeIfAbsent(q.t() / 1000, k -> new int[2]))) {
                    c[0]++;
                    c[1] += done;
                }
            }
        }
        final StringBuilder s = new StringBuilder();
        kinds.forEach((k, c) -> s.append(String.format(Locale.ROOT, "%s %5.1f%%  ", k, 100.0 * c[1] / c[0])));
        final int worst =
                seconds.values().stream().mapToInt(c -> 100 * c[1] / c[0]).min().orElse(100);
        final long gap = gaps.stream()
                .filter(g -> g[0] >= from && g[0] < to)
                .mapToLong(g -> g[1] - g[0])
                .max()
                .orElse(0);
        return s + "worst " + worst + "%  gap " + gap + " ms";
    }
}
