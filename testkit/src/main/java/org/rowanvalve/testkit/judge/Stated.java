package org.rowanvalve.testkit.judge;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Rules on items under operators' own versions, and on tries that callers name. */
final class Stated {
    private static final Set<Long> PROMISES = Set.of(408L, 421L, 429L, 503L);

    private Stated() {}

    private static List<Facts.Row> reads(final Facts f) {
        return f.of("read").stream()
                .filter(r -> r.yes("whole") && !Boolean.FALSE.equals(r.map().get("last")))
                .toList();
    }

    private static String said(final Facts.Row read, final String item) {
        return read.map().get("items") instanceof Map<?, ?> m && m.get(item) != null ? String.valueOf(m.get(item)) : "";
    }

    /** What was acknowledged stands as it was sent, or something newer that was sent does. */
    static Verdict whole(final Facts f, final Verdict v) {
        final Map<String, List<Facts.Row>> sent = Facts.group(
                f.of("op").stream().filter(r -> r.text("what").equals("sent")).toList(), "item");
        final Map<String, Facts.Row> best = new TreeMap<>();
        f.accepted("put")
                .forEach(r -> best.merge(r.text("item"), r, (a, b) -> b.num("version") > a.num("version") ? b : a));
        for (final Facts.Row read : reads(f)) {
            best.forEach((item, top) -> {
                v.check();
                final String is = said(read, item);
                final List<Facts.Row> mine = sent.getOrDefault(item + "|", List.of());
                final boolean fits = is.isEmpty()
                        ? mine.stream().anyMatch(s -> s.yes("gone") && s.num("version") >= top.num("version"))
                        : mine.stream()
                                .anyMatch(s -> !s.yes("gone")
                                        && s.num("version") >= top.num("version")
                                        && is.equals(s.num("version") + " " + s.text("note")));
                if (!fits) {
                    v.breach(read.text("node") + " reads back '" + is + "' of " + item + ", version "
                            + top.num("version") + (top.yes("gone") ? " (dropped)" : "") + " was accepted at "
                            + top.num("end"));
                }
            });
            if (read.map().get("items") instanceof Map<?, ?> m) {
                m.keySet().stream()
                        .filter(i -> !sent.containsKey(i + "|"))
                        .forEach(i ->
                                v.breach(read.text("node") + " reads back " + i + ", which no valid call ever stated"));
            }
        }
        return v;
    }

    /** Checked on items for which two operators used one version; all nodes must read back the same of every item. */
    static Verdict winner(final Facts f, final Verdict v) {
        final Map<String, Set<String>> rivals = new HashMap<>();
        f.of("op").stream()
                .filter(r -> r.text("what").equals("sent"))
                .forEach(r -> rivals.computeIfAbsent(r.text("item") + "|" + r.num("version"), k -> new HashSet<>())
                        .add(r.text("note")));
        final List<Facts.Row> reads = reads(f);
        final Set<String> items = new HashSet<>();
        f.accepted("put").forEach(r -> items.add(r.text("item")));
        for (final String item : items) {
            final Set<String> all = new HashSet<>();
            reads.forEach(r -> all.add(said(r, item)));
            rivals.entrySet().stream()
                    .filter(e ->
                            e.getKey().startsWith(item + "|") && e.getValue().size() > 1)
                    .forEach(e -> v.check());
            if (all.size() > 1) {
                v.breach(item + " reads back as " + all);
            }
        }
        return v;
    }

    static Verdict refused(final Facts f, final Verdict v) {
        final Map<String, Facts.Row> no = new HashMap<>();
        f.of("req").stream()
                .filter(r -> r.has("attempt") && r.text("fate").equals("refused") && PROMISES.contains(r.num("status")))
                .forEach(r -> no.put(r.text("attempt"), r));
        Facts.group(
                        f.of("org").stream()
                                .filter(r -> r.text("what").equals("run"))
                                .toList(),
                        "request")
                .forEach((id, runs) -> {
                    v.check();
                    final Facts.Row told = no.get(runs.get(0).text("request"));
                    if (runs.size() > 1) {
                        v.breach(runs.get(0).text("request") + " ran " + runs.size() + " times, at "
                                + runs.stream().map(Facts.Row::t).toList());
                    }
                    if (told != null) {
                        v.breach(runs.get(0).text("request") + " ran at "
                                + runs.get(0).t() + " and was refused at " + told.num("end"));
                    }
                });
        return v;
    }
}
