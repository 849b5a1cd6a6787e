package org.rowanvalve.testkit.report;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.testkit.judge.RunFacts;

/** The effect of each fault on clients and on the lease holders of shards. */
final class FaultImpact {
    private static final long AFTER = 5000;
    private final RunFacts facts;
    private final List<long[]> gaps = new ArrayList<>();

    FaultImpact(final RunFacts facts) {
        this.facts = facts;
        fold();
    }

    /** Intervals in which no living shield held a shard. */
    private void fold() {
        final Map<Long, String> holder = new HashMap<>();
        final Map<Long, Long> since = new HashMap<>();
        final List<RunFacts.Row> all = new ArrayList<>(facts.of("node"));
        facts.of("rig").stream()
                .filter(row -> List.of("kill", "lose-disk", "freeze").contains(row.text("what")))
                .forEach(all::add);
        all.sort(java.util.Comparator.comparingLong(RunFacts.Row::t));
        for (final RunFacts.Row row : all) {
            final long shard = row.num("shard");
            switch (row.text("name").isEmpty() ? "GONE" : row.text("name")) {
                case "HELD" -> {
                    holder.put(shard, row.text("node"));
                    final Long from = since.remove(shard);
                    if (from != null) {
                        gaps.add(new long[] {from, row.t(), shard});
                    }
                }
                case "UNSURE", "FENCED" -> {
                    if (row.text("node").equals(holder.get(shard))) {
                        holder.remove(shard);
                        since.put(shard, row.t());
                    }
                }
                case "GONE" ->
                    holder.entrySet().removeIf(entry -> {
                        if (entry.getValue().equals(row.text("node"))) {
                            since.put(entry.getKey(), row.t());
                            return true;
                        }
                        return false;
                    });
                default -> {}
            }
        }
    }

    String text() {
        final StringBuilder text = new StringBuilder();
        final Map<String, String> seen = new TreeMap<>();
        for (final RunFacts.Row row : facts.of("rig")) {
            final String what = row.text("what");
            if (what.equals("start") || what.equals("returned") || seen.put(what + row.t(), "") != null) {
                continue;
            }
            final List<String> who = facts.of("rig").stream()
                    .filter(o -> o.t() == row.t() && o.text("what").equals(what))
                    .map(o -> o.text("node"))
                    .toList();
            text.append(String.format(
                    Locale.ROOT,
                    "  %7d %-13s %-24s %s%n",
                    row.t(),
                    what,
                    who.size() > 4 ? who.size() + " machines" : String.join(",", who),
                    line(row.t(), row.t() + Math.min(row.num("ms"), 20_000) + AFTER)));
        }
        return text.toString();
    }

    private String line(final long from, final long to) {
        final Map<String, int[]> kinds = new TreeMap<>();
        final Map<Long, int[]> seconds = new TreeMap<>();
        for (final RunFacts.Row q : facts.of("req")) {
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
        final StringBuilder text = new StringBuilder();
        kinds.forEach((k, c) -> text.append(String.format(Locale.ROOT, "%s %5.1f%%  ", k, 100.0 * c[1] / c[0])));
        final int worst =
                seconds.values().stream().mapToInt(c -> 100 * c[1] / c[0]).min().orElse(100);
        final long gap = gaps.stream()
                .filter(g -> g[0] >= from && g[0] < to)
                .mapToLong(g -> g[1] - g[0])
                .max()
                .orElse(0);
        return text + "worst " + worst + "%  gap " + gap + " ms";
    }
}
