package org.rowanvalve.testkit;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.testkit.judge.Facts;

/** Figures of one run: who was served when, and how long accepted changes took to be in force. */
public final class Figures {
    private final Facts facts;

    public Figures(final List<Map<String, Object>> rows) {
        facts = new Facts(rows);
    }

    public String text() {
        final StringBuilder s = new StringBuilder();
        final List<Facts.Row> asks = facts.of("req");
        s.append("fates ")
                .append(count(asks.stream().map(Facts.Row::map).toList(), "mode", "fate", "status"))
                .append('\n');
        s.append("reasons ")
                .append(count(
                        asks.stream()
                                .filter(r -> r.has("why"))
                                .map(Facts.Row::map)
                                .toList(),
                        "why"))
                .append('\n');
        s.append("served by second ").append(seconds(asks, true)).append('\n');
        s.append("useful answers by second ").append(seconds(asks, false)).append('\n');
        for (final String what : List.of("put", "purge")) {
            s.append(what).append(" to in force: ").append(spread(what)).append('\n');
        }
        for (final Facts.Row r : facts.of("rig")) {
            if (r.text("what").equals("returned")) {
                s.append("after return: ").append(back(asks, r.t())).append('\n');
            }
        }
        s.append("by trouble (share served, by kind, worst second, longest time a shard had no filler):\n")
                .append(new Troubles(facts).text());
        for (final Facts.Row r : facts.of("cost")) {
            s.append("between processes: ")
                    .append(r.num("messages") / Math.max(1, r.num("seconds")))
                    .append(" questions and ")
                    .append(r.num("bytes") / Math.max(1, r.num("seconds")))
                    .append(" bytes a second, ")
                    .append(r.num("items"))
                    .append(" items, ")
                    .append(r.num("syncs"))
                    .append(" syncs on st1; share by kind: ")
                    .append(shares(r))
                    .append('\n');
        }
        return s.toString();
    }

    private static String shares(final Facts.Row r) {
        final Map<?, ?> kinds = (Map<?, ?>) r.map().get("kinds");
        final long all =
                kinds.values().stream().mapToLong(v -> ((Number) v).longValue()).sum();
        return kinds.entrySet().stream()
                .filter(e -> ((Number) e.getValue()).longValue() * 50 >= all)
                .map(e -> e.getKey() + " " + ((Number) e.getValue()).longValue() * 100 / all + "%")
                .toList()
                .toString();
    }

    private static boolean done(final Facts.Row r) {
        return r.text("fate").equals("done");
    }

    private static String seconds(final List<Facts.Row> asks, final boolean share) {
        final Map<Long, int[]> map = new TreeMap<>();
        final long zero = asks.isEmpty() ? 0 : asks.get(0).t();
        asks.forEach(r -> {
            final int[] c = map.computeIfAbsent((r.t() - zero) / 1000, k -> new int[2]);
            c[0]++;
            c[1] += done(r) ? 1 : 0;
        });
        final StringBuilder s = new StringBuilder();
        map.forEach((k, c) -> s.append(share ? c[1] * 100 / c[0] : c[1]).append(' '));
        return s.toString().trim();
    }

    private String spread(final String what) {
        final Map<String, List<Facts.Row>> by = Facts.group(facts.nodes("LEARNED"), "item");
        final long[] worst = facts.accepted(what).stream()
                .mapToLong(w -> {
                    final Map<String, Long> first = new TreeMap<>();
                    by.getOrDefault(w.text("item") + "|", List.of()).stream()
                            .filter(r -> r.num("ver") >= w.num("version")
                                    && facts.healthy(r.text("node"), w.t(), w.num("end") + 2500))
                            .forEach(r -> first.merge(r.text("node"), r.t(), Math::min));
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

    private static String back(final List<Facts.Row> asks, final long at) {
        final StringBuilder s = new StringBuilder();
        for (final int share : new int[] {25, 50, 90}) {
            long found = -1;
            for (long t = at; t < at + 30_000 && found < 0; t += 250) {
                final long from = t;
                final List<Facts.Row> win = asks.stream()
                        .filter(r -> r.t() >= from && r.t() < from + 1000)
                        .toList();
                if (!win.isEmpty() && win.stream().filter(Figures::done).count() * 100 >= (long) share * win.size()) {
                    found = t - at;
                }
            }
            s.append(share)
                    .append("% at ")
                    .append(found < 0 ? "never" : found + " ms")
                    .append("  ");
        }
        return s.toString().trim();
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
