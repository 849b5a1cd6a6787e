package org.rowanvalve.testkit.judge;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Rules on items under operators' own versions, and on attempts that clients name. */
final class VersionedItemRules {
    private static final Set<Long> PROMISES = Set.of(408L, 421L, 429L, 503L);

    private VersionedItemRules() {}

    private static List<RunFacts.Row> reads(final RunFacts facts) {
        return facts.of("read").stream()
                .filter(row ->
                        row.yes("whole") && !Boolean.FALSE.equals(row.map().get("last")))
                .toList();
    }

    private static String said(final RunFacts.Row read, final String item) {
        return read.map().get("items") instanceof Map<?, ?> m && m.get(item) != null ? String.valueOf(m.get(item)) : "";
    }

    /** What was acknowledged stands as it was sent, or something newer that was sent does. */
    static Verdict whole(final RunFacts facts, final Verdict verdict) {
        final Map<String, List<RunFacts.Row>> sent = RunFacts.group(
                facts.of("op").stream()
                        .filter(row -> row.text("what").equals("sent"))
                        .toList(),
                "item");
        final Map<String, RunFacts.Row> best = new TreeMap<>();
        facts.accepted("put")
                .forEach(row ->
                        best.merge(row.text("item"), row, (a, b) -> b.num("version") > a.num("version") ? b : a));
        for (final RunFacts.Row read : reads(facts)) {
            best.forEach((item, top) -> {
                verdict.check();
                final String is = said(read, item);
                final List<RunFacts.Row> mine = sent.getOrDefault(item + "|", List.of());
                final boolean fits = is.isEmpty()
                        ? mine.stream().anyMatch(s -> s.yes("gone") && s.num("version") >= top.num("version"))
                        : mine.stream()
                                .anyMatch(s -> !s.yes("gone")
                                        && s.num("version") >= top.num("version")
                                        && is.equals(s.num("version") + " " + s.text("note")));
                if (!fits) {
                    verdict.breach(read.text("node") + " reads back '" + is + "' of " + item + ", version "
                            + top.num("version") + (top.yes("gone") ? " (dropped)" : "") + " was accepted at "
                            + top.num("end"));
                }
            });
            if (read.map().get("items") instanceof Map<?, ?> m) {
                m.keySet().stream()
                        .filter(i -> !sent.containsKey(i + "|"))
                        .forEach(i -> verdict.breach(
                                read.text("node") + " reads back " + i + ", which no valid call ever stated"));
            }
        }
        return verdict;
    }

    /** Checked on items for which two operators used one version; all nodes must read back the same of every item. */
    static Verdict winner(final RunFacts facts, final Verdict verdict) {
        final Map<String, Set<String>> rivals = new HashMap<>();
        facts.of("op").stream()
                .filter(row -> row.text("what").equals("sent"))
                .forEach(
                        row -> rivals.computeIfAbsent(row.text("item") + "|" + row.num("version"), k -> new HashSet<>())
                                .add(row.text("note")));
        final List<RunFacts.Row> reads = reads(facts);
        final Set<String> items = new HashSet<>();
        facts.accepted("put").forEach(row -> items.add(row.text("item")));
        for (final String item : items) {
            final Set<String> all = new HashSet<>();
            reads.forEach(row -> all.add(said(row, item)));
            rivals.entrySet().stream()
                    .filter(entry -> entry.getKey().startsWith(item + "|")
                            && entry.getValue().size() > 1)
                    .forEach(entry -> verdict.check());
            if (all.size() > 1) {
                verdict.breach(item + " reads back as " + all);
            }
        }
        return verdict;
    }

    static Verdict refused(final RunFacts facts, final Verdict verdict) {
        final Map<String, RunFacts.Row> no = new HashMap<>();
        facts.of("req").stream()
                .filter(row -> row.has("attempt")
                        && row.text("fate").equals("refused")
                        && PROMISES.contains(row.num("status")))
                .forEach(row -> no.put(row.text("attempt"), row));
        RunFacts.group(
                        facts.of("org").stream()
                                .filter(row -> row.text("what").equals("run"))
                                .toList(),
                        "request")
                .forEach((id, runs) -> {
                    verdict.check();
                    final RunFacts.Row told = no.get(runs.get(0).text("request"));
                    if (runs.size() > 1) {
                        verdict.breach(
                                runs.get(0).text("request") + " ran " + runs.size() + " times, at "
                                        + runs.stream().map(RunFacts.Row::t).toList(),
                                runs.get(0).text("request"));
                    }
                    if (told != null) {
                        verdict.breach(
                                runs.get(0).text("request") + " ran at "
                                        + runs.get(0).t() + " and was refused at " + told.num("end"),
                                runs.get(0).text("request"));
                    }
                });
        return verdict;
    }
}
