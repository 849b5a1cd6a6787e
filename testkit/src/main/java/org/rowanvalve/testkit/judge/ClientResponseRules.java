package org.rowanvalve.testkit.judge;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Rules on responses to clients. */
final class ClientResponseRules {
    private ClientResponseRules() {}

    /** The requests that were answered with success. */
    static List<RunFacts.Row> done(final RunFacts facts) {
        return facts.of("req").stream()
                .filter(row -> row.text("fate").equals("done") && row.num("status") / 100 == 2)
                .toList();
    }

    static Verdict whole(final RunFacts facts, final Verdict verdict) {
        final Map<String, List<RunFacts.Row>> sent = RunFacts.group(facts.of("org"), "request");
        for (final RunFacts.Row row : done(facts)) {
            verdict.check();
            final List<RunFacts.Row> from = sent.getOrDefault(row.text("request") + "|", List.of());
            if (row.text("stamp").isEmpty() || !row.yes("whole")) {
                verdict.breach("request " + row.num("id") + " at " + row.t() + " lacks its stamp or whole body");
            } else if (!row.text("said").equals(row.text("path"))
                    || !row.text("saidKey").equals(row.text("key"))) {
                verdict.breach("request " + row.num("id") + " at " + row.t() + " for " + row.text("path") + " got "
                        + row.text("said"));
            } else if (from.stream()
                    .noneMatch(o -> o.text("path").equals(row.text("path"))
                            && o.text("stamp").equals(row.text("stamp")))) {
                verdict.breach("request " + row.num("id") + " at " + row.t() + " names " + row.text("request")
                        + ", which no origin answered so");
            }
        }
        return verdict;
    }

    static Verdict purged(final RunFacts facts, final Verdict verdict) {
        final Map<String, List<RunFacts.Row>> changes = RunFacts.group(facts.of("change"), "path");
        final Map<String, TreeMap<Long, Long>> floors = new HashMap<>();
        for (final RunFacts.Row p : facts.accepted("purge")) {
            final String path = p.text("path");
            final String wide = p.text("prefix");
            final String tag = p.text("tag");
            changes.keySet().stream()
                    .map(k -> k.substring(0, k.length() - 1))
                    .filter(k -> p.has("path")
                            ? k.equals(path)
                            : p.has("prefix")
                                    ? k.startsWith(wide)
                                    : changes.get(k + "|").get(0).text("tag").equals(tag))
                    .forEach(k -> floors.computeIfAbsent(k, x -> new TreeMap<>())
                            .merge(
                                    p.num("end") + 2000,
                                    changes.get(k + "|").stream()
                                            .filter(c -> c.t() <= p.t())
                                            .mapToLong(c -> c.num("rev"))
                                            .max()
                                            .orElse(1),
                                    Math::max));
        }
        for (final RunFacts.Row row : done(facts)) {
            final TreeMap<Long, Long> floor = floors.get(row.text("path"));
            final long least = floor == null
                    ? 0
                    : floor.headMap(row.t()).values().stream()
                            .mapToLong(Long::longValue)
                            .max()
                            .orElse(0);
            if (least > 0) {
                verdict.check();
                if (row.num("rev") < least) {
                    verdict.breach(row.text("path") + " served at " + row.t() + " by " + row.text("node")
                            + " with revision " + row.num("rev") + ", purged up to " + least);
                }
            }
        }
        return verdict;
    }
}
