package org.rowanvalve.testkit.report;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.testkit.judge.RunFacts;

/** Figures of one run: the share of requests served over time, and how long accepted changes took to be in force. */
public final class RunStatistics {
    private final RunFacts facts;

    public RunStatistics(final List<Map<String, Object>> rows) {
        facts = new RunFacts(rows);
    }

    public String text() {
        final StringBuilder text = new StringBuilder();
        final List<RunFacts.Row> asks = facts.of("req");
        text.append("fates ")
                .append(count(asks.stream().map(RunFacts.Row::map).toList(), "mode", "fate", "status"))
                .append('\n');
        text.append("reasons ")
                .append(count(
                        asks.stream()
                                .filter(row -> row.has("why"))
                                .map(RunFacts.Row::map)
                                .toList(),
                        "why"))
                .append('\n');
        text.append("served by second ").append(seconds(asks, true)).append('\n');
        text.append("useful answers by second ").append(seconds(asks, false)).append('\n');
        for (final String what : List.of("put", "purge")) {
            text.append(what).append(" to in force: ").append(spread(what)).append('\n');
        }
        for (final RunFacts.Row row : facts.of("rig")) {
            if (row.text("what").equals("returned")) {
                text.append("after return: ").append(back(asks, row.t())).append('\n');
            }
        }
        text.append("by trouble (share served, by kind, worst second, longest time a shard had no filler):\n")
                .append(new FaultImpact(facts).text());
        for (final RunFacts.Row row : facts.of("cost")) {
            text.append("between processes: ")
                    .append(row.num("messages") / Math.max(1, row.num("seconds")))
                    .append(" questions and ")
                    .append(row.num("bytes") / Math.max(1, row.num("seconds")))
                    .append(" bytes a second, ")
                    .append(row.num("items"))
                    .append(" items, ")
                    .append(row.num("syncs"))
                    .append(" syncs on st1; share by kind: ")
                    .append(shares(row))
                    .append('\n');
        }
        return text.toString();
    }

    private static String shares(final RunFacts.Row row) {
        final Map<?, ?> kinds = (Map<?, ?>) row.map().get("kinds");
        final long all =
                kinds.values().stream().mapToLong(v -> ((Number) v).longValue()).sum();
        return kinds.entrySet().stream()
                .filter(entry -> ((Number) entry.getValue()).longValue() * 50 >= all)
                .map(entry -> entry.getKey() + " " + ((Number) entry.getValue()).longValue() * 100 / all + "%")
                .toList()
                .toString();
    }

    private static boolean done(final RunFacts.Row row) {
        return row.text("fate").equals("done");
    }

    private static String seconds(final List<RunFacts.Row> asks, final boolean share) {
        final Map<Long, int[]> map = new TreeMap<>();
        final long zero = asks.isEmpty() ? 0 : asks.get(0).t();
        asks.forEach(row -> {
            final int[] c = map.computeIfAbsent((row.t() - zero) / 1000, k -> new int[2]);
            c[0]++;
            c[1] += done(row) ? 1 : 0;
        });
        final StringBuilder text = new StringBuilder();
        map.forEach((k, c) -> text.append(share ? c[1] * 100 / c[0] : c[1]).append(' '));
        return text.toString().trim();
    }

    private String spread(final String what) {
        final Map<String, List<RunFacts.Row>> by = RunFacts.group(facts.nodes("LEARNED"), "item");
        final long[] worst = facts.accepted(what).stream()
                .mapToLong(w -> {
                    final Map<String, Long> first = new TreeMap<>();
                    by.getOrDefault(w.text("item") + "|", List.of()).stream()
                            .filter(row -> row.num("ver") >= w.num("version")
                                    && facts.healthy(row.text("node"), w.t(), w.num("end") + 2500))
                            .forEach(row -> first.merge(row.text("node"), row.t(), Math::min));
                    return first.values().stream()
                            .mapToLong(t -> t - w.num("end"))
                            .max()
                            .orElse(0);
                })
                .sorted()
                .toArray();
        return worst.length == 0
                ? "none"
                : "n " + worst.length + ", median " + worst[worst.length / 2] + ", 99th "
                        + worst[Math.min(worst.length - 1, worst.length * 99 / 100)] + ", worst "
                        + Arrays.stream(worst).max().orElse(0) + " ms";
    }

    private static String back(final List<RunFacts.Row> asks, final long at) {
        final StringBuilder text = new StringBuilder();
        for (final int share : new int[] {25, 50, 90}) {
            long found = -1;
            for (long t = at; t < at + 30_000 && found < 0; t += 250) {
                final long from = t;
                final List<RunFacts.Row> win = asks.stream()
                        .filter(row -> row.t() >= from && row.t() < from + 1000)
                        .toList();
                if (!win.isEmpty()
                        && win.stream().filter(RunStatistics::done).count() * 100 >= (long) share * win.size()) {
                    found = t - at;
                }
            }
            text.append(share)
                    .append("% at ")
                    .append(found < 0 ? "never" : found + " ms")
                    .append("  ");
        }
        return text.toString().trim();
    }

    private static Map<String, Long> count(final List<Map<String, Object>> rows, final String... names) {
        final Map<String, Long> map = new TreeMap<>();
        rows.forEach(r -> {
            final StringBuilder key = new StringBuilder();
            for (final String n : names) {
                key.append(key.isEmpty() ? "" : " ").append(r.get(n));
            }
            map.merge(key.toString(), 1L, Long::sum);
        });
        return map;
    }
}
