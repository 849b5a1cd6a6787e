package org.rowanvalve.testkit.judge;

import java.util.List;
import java.util.Map;

/** Rules on keyed requests. */
final class KeyedRequestRules {
    private KeyedRequestRules() {}

    private static List<RunFacts.Row> runs(final RunFacts facts) {
        return facts.of("org").stream()
                .filter(row -> row.text("what").equals("run") && row.has("key"))
                .toList();
    }

    static Verdict twice(final RunFacts facts, final Verdict verdict) {
        for (final Map.Entry<String, List<RunFacts.Row>> entry :
                RunFacts.group(runs(facts), "key").entrySet()) {
            final List<RunFacts.Row> list = entry.getValue();
            verdict.check(list.size());
            for (int i = 1; i < list.size(); i++) {
                if (list.get(i).t() - list.get(i - 1).t() < 60_000) {
                    verdict.breach(
                            entry.getKey() + " ran at " + list.get(i - 1).t() + " ("
                                    + list.get(i - 1).text("request") + ") and at "
                                    + list.get(i).t() + " (" + list.get(i).text("request") + ")",
                            entry.getValue().get(0).text("key"));
                }
            }
        }
        return verdict;
    }

    static Verdict refused(final RunFacts facts, final Verdict verdict) {
        final Map<String, List<RunFacts.Row>> asks = RunFacts.group(
                facts.of("req").stream().filter(row -> row.has("key")).toList(), "key");
        for (final Map.Entry<String, List<RunFacts.Row>> entry :
                RunFacts.group(runs(facts), "key").entrySet()) {
            final List<RunFacts.Row> mine = asks.getOrDefault(entry.getKey(), List.of());
            if (entry.getValue().size() > 1) {
                verdict.breach(
                        entry.getKey() + " ran " + entry.getValue().size() + " times, first at "
                                + entry.getValue().get(0).t(),
                        entry.getValue().get(0).text("key"));
            }
            for (final RunFacts.Row run : entry.getValue()) {
                verdict.check();
                final List<RunFacts.Row> begun =
                        mine.stream().filter(row -> row.t() <= run.t()).toList();
                if (!begun.isEmpty()
                        && begun.stream().allMatch(row -> row.text("fate").equals("refused"))) {
                    verdict.breach(
                            entry.getKey() + " ran at " + run.t() + " though all " + begun.size()
                                    + " requests before it were told refused, last at "
                                    + begun.get(begun.size() - 1).num("end"),
                            entry.getValue().get(0).text("key"));
                }
            }
        }
        return verdict;
    }
}
