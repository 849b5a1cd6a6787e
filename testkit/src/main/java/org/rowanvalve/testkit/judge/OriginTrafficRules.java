package org.rowanvalve.testkit.judge;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.rowanvalve.common.model.FencingToken;

/** Rules on requests to origins. */
final class OriginTrafficRules {
    private OriginTrafficRules() {}

    static Verdict one(final RunFacts facts, final Verdict verdict) {
        final Map<String, RunFacts.Row> sends = new HashMap<>();
        facts.nodes("ORIGIN_SEND").forEach(row -> sends.put(row.text("request"), row));
        final Map<String, List<RunFacts.Row>> own =
                facts.shieldRun() ? RunFacts.group(facts.nodes("ORIGIN_SEND"), "request", "node") : Map.of();
        final Map<Long, FencingToken> high = new HashMap<>();
        final Map<Long, Long> since = new HashMap<>();
        for (final RunFacts.Row row : facts.of("org")) {
            final RunFacts.Row s = !facts.shieldRun()
                    ? sends.get(row.text("request"))
                    : own.getOrDefault(row.text("request") + "|" + row.text("from") + "|", List.of()).stream()
                            .filter(x -> x.t() <= row.t())
                            .reduce((a, b) -> b)
                            .orElse(null);
            if (s == null) {
                verdict.breach(row.text("request") + " reached " + row.text("origin") + " at " + row.t()
                        + " though no shield says it sent it");
                continue;
            }
            if (s.text("token").equals("none")) {
                continue;
            }
            verdict.check();
            final long shard = s.num("shard");
            final FencingToken token = FencingToken.parse(s.text("token"));
            final FencingToken top = high.getOrDefault(shard, FencingToken.ZERO);
            if (token.isBelow(top)) {
                verdict.breach("shard " + shard + ": " + s.text("node") + " with token " + token + " reached "
                        + row.text("origin") + " at " + row.t() + ", token " + top + " did since " + since.get(shard));
            } else if (top.isBelow(token)) {
                high.put(shard, token);
                since.put(shard, row.t());
            }
        }
        for (final RunFacts.Row row : facts.nodes("FENCED")) {
            final FencingToken top = high.getOrDefault(row.num("shard"), FencingToken.ZERO);
            verdict.check();
            if (FencingToken.parse(row.text("token")).isBelow(top)
                    && row.t() > since.get(row.num("shard"))
                    && facts.healthy(row.text("node"), row.t() - 1, row.t())) {
                verdict.breach("shard " + row.num("shard") + ": " + row.text("node") + " fenced token "
                        + row.text("token") + " only at " + row.t() + ", the next holder filled since "
                        + since.get(row.num("shard")));
            }
        }
        return verdict;
    }

    /** On true time: what was seen of all shields' rights at many moments. */
    static Verdict apart(final RunFacts facts, final Verdict verdict) {
        facts.of("rights").forEach(row -> {
            verdict.check(row.num("looks"));
            if (row.has("shard")) {
                verdict.breach("shard " + row.num("shard") + " was held by " + row.text("first") + " and "
                        + row.text("second") + " at " + row.t());
            }
        });
        return verdict;
    }

    static Verdict left(final RunFacts facts, final Verdict verdict) {
        final Map<String, Long> gone = new HashMap<>();
        facts.accepted("leave").forEach(row -> {
            verdict.check();
            gone.merge(row.text("origin") + "|" + row.text("stamp"), row.num("end"), Math::min);
        });
        for (final RunFacts.Row row : facts.of("org")) {
            final Long at = gone.get(row.text("origin") + "|" + row.text("stamp"));
            if (at != null
                    && row.t() > at + 2500
                    && facts.shieldRun()
                    && (!facts.healthy(row.text("from"), row.t() - 500, row.t())
                            || !facts.settled(row.t() - 500, row.t()))) {
                verdict.excuse();
            } else if (at != null && row.t() > at + 2500) {
                verdict.breach(
                        row.text("origin") + " left at " + at + " and got " + row.text("request") + " at " + row.t());
            }
        }
        return verdict;
    }

    static Verdict rate(final RunFacts facts, final Verdict verdict) {
        final Map<String, Double> rates = new HashMap<>();
        facts.of("op").stream()
                .filter(row -> row.real("rate") > 0)
                .forEach(row -> rates.put(row.text("service"), row.real("rate")));
        for (final Map.Entry<String, List<RunFacts.Row>> entry :
                RunFacts.group(facts.of("org"), "service", "origin").entrySet()) {
            final Double rate = rates.get(entry.getKey().split("\\|")[0]);
            if (rate == null) {
                continue;
            }
            final ArrayDeque<Long> window = new ArrayDeque<>();
            for (final RunFacts.Row row : entry.getValue()) {
                verdict.check();
                window.addLast(row.t());
                while (row.t() - window.peekFirst() >= 5000) {
                    window.removeFirst();
                }
                if (window.size() > rate * 5 * 1.1 + 1) {
                    verdict.breach(entry.getKey() + " got " + window.size() + " in 5 s up to " + row.t()
                            + ", its rate allows " + rate * 5);
                }
            }
        }
        return verdict;
    }

    static Verdict extra(final RunFacts facts, final Verdict verdict) {
        for (final Map.Entry<String, List<RunFacts.Row>> entry :
                RunFacts.group(facts.nodes("ORIGIN_SEND"), "service").entrySet()) {
            final ArrayDeque<RunFacts.Row> window = new ArrayDeque<>();
            int extra = 0;
            for (final RunFacts.Row row : entry.getValue()) {
                window.addLast(row);
                extra += row.yes("extra") ? 1 : 0;
                while (row.t() - window.peekFirst().t() >= 10_000) {
                    extra -= window.removeFirst().yes("extra") ? 1 : 0;
                }
                verdict.check();
                if (row.yes("extra") && extra > 0.2 * (window.size() - extra) + 60) {
                    verdict.breach(entry.getKey() + " got " + extra + " extra tries beside " + (window.size() - extra)
                            + " in 10 s up to " + row.t());
                }
            }
        }
        return verdict;
    }

    static Verdict strange(final RunFacts facts, final Verdict verdict) {
        final Set<String> allowed = new HashSet<>();
        final Map<String, Set<String>> ways = new HashMap<>();
        facts.of("op").stream()
                .filter(row -> row.text("item").startsWith("SERVICE/"))
                .forEach(row -> allowed.add(row.text("service")));
        facts.of("op").stream()
                .filter(row -> row.map().get("services") instanceof List<?>)
                .forEach(row -> ((List<?>) row.map().get("services"))
                        .forEach(s -> ways.computeIfAbsent(row.text("prefix"), k -> new HashSet<>())
                                .add(String.valueOf(s))));
        for (final RunFacts.Row row : facts.of("org")) {
            verdict.check();
            if (!allowed.contains(row.text("service")) || !row.text("want").equals(row.text("service"))) {
                verdict.breach(row.text("request") + " for " + row.text("want") + " reached service "
                        + row.text("service") + " at " + row.t());
            }
            if (!ways.isEmpty()
                    && ways.entrySet().stream()
                            .noneMatch(entry -> row.text("path").startsWith(entry.getKey())
                                    && entry.getValue().contains(row.text("service")))) {
                verdict.breach(row.text("request") + " for " + row.text("path") + " reached service "
                        + row.text("service") + " at " + row.t() + " by no route ever stated");
            }
        }
        return verdict;
    }
}
