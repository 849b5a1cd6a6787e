package org.rowanvalve.testkit.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** The rule on the age of copies: how long after its replacement a version of an object may be served. */
final class CopyLifetimeRules {
    private static final long STALE_SLACK_MS = 2000;
    /** How long after its acknowledgement a version of a route has to be in force everywhere. */
    private static final long APPLY_MS = 2500;

    private final RunFacts facts;
    /** The statements of each route, in the order of their versions. */
    private final Map<String, List<Statement>> statements = new HashMap<>();

    /** One version of a route: when it was sent, and when it was acknowledged. */
    private record Statement(
            long version, long sentAt, long acknowledgedAt, boolean dropped, String prefix, long lifetimeMs) {
        boolean matches(final String path) {
            return !dropped && path.startsWith(prefix);
        }
    }

    private CopyLifetimeRules(final RunFacts facts) {
        this.facts = facts;
        final Map<String, Long> acknowledged = new HashMap<>();
        routes("put")
                .filter(row -> row.num("status") == 200)
                .forEach(row -> acknowledged.merge(mark(row), row.num("end"), Math::min));
        routes("sent")
                .forEach(row -> statements
                        .computeIfAbsent(row.text("item"), item -> new ArrayList<>())
                        .add(new Statement(
                                row.num("version"),
                                row.t(),
                                acknowledged.getOrDefault(mark(row), Long.MAX_VALUE / 2),
                                row.yes("gone"),
                                row.text("prefix"),
                                row.num("life"))));
    }

    private Stream<RunFacts.Row> routes(final String what) {
        return facts.of("op").stream()
                .filter(row -> row.text("what").equals(what)
                        && row.text("item").startsWith("ROUTE/")
                        && (row.yes("gone") || row.has("life")));
    }

    private static String mark(final RunFacts.Row row) {
        return row.text("item") + "|" + row.num("version") + "|" + row.yes("gone") + "|" + row.text("note");
    }

    /** A version of an object is served for at most the time to live in force, and the slack, after it was replaced. */
    static Verdict aged(final RunFacts facts, final Verdict verdict) {
        final CopyLifetimeRules rules = new CopyLifetimeRules(facts);
        final Map<String, Long> replacedAt = new HashMap<>();
        facts.of("change")
                .forEach(change -> replacedAt.put(change.text("path") + "#" + (change.num("rev") - 1), change.t()));
        final Map<String, RunFacts.Row> fills = new HashMap<>();
        facts.of("org").stream()
                .filter(arrival -> facts.shieldRun())
                .forEach(arrival -> fills.put(arrival.text("request"), arrival));
        for (final RunFacts.Row request : ClientResponseRules.done(facts)) {
            final RunFacts.Row fill = fills.get(request.text("request"));
            if (fill != null && facts.drifts(fill.text("from"), request.t())) {
                verdict.excuse();
            } else if (request.text("mode").equals("cached")) {
                final Long next = replacedAt.get(request.text("path") + "#" + request.num("rev"));
                if (next != null) {
                    rules.check(request, next, verdict);
                }
            }
        }
        return verdict;
    }

    private void check(final RunFacts.Row request, final long replacedAt, final Verdict verdict) {
        verdict.check();
        final long lifetimeMs = longestLifetimeMs(request);
        if (request.t() > replacedAt + lifetimeMs + STALE_SLACK_MS) {
            verdict.breach(request.text("path") + " served at " + request.t() + " by " + request.text("node")
                    + " with revision " + request.num("rev") + ", changed at " + replacedAt + ", lifetime "
                    + lifetimeMs);
        }
    }

    /**
     * The longest time to live that may be in force for a request. An edge in touch goes by the highest version that was
     * acknowledged long enough ago, or by one that was sent since; of any other edge, each version sent so far is allowed.
     */
    private long longestLifetimeMs(final RunFacts.Row request) {
        if (statements.isEmpty()) {
            return request.num("life");
        }
        final boolean inTouch = facts.healthy(request.text("node"), request.t() - APPLY_MS, request.num("end"))
                && facts.settled(request.t() - APPLY_MS, request.num("end"));
        final long appliedBy = inTouch ? request.t() - APPLY_MS : Long.MIN_VALUE;
        final List<Statement> possible = new ArrayList<>();
        int certainLength = 0;
        for (final List<Statement> versions : statements.values()) {
            final long base = versions.stream()
                    .filter(statement -> statement.acknowledgedAt() < appliedBy)
                    .mapToLong(Statement::version)
                    .max()
                    .orElse(Long.MIN_VALUE);
            final List<Statement> states = versions.stream()
                    .filter(statement -> statement.version() >= base && statement.sentAt() <= request.num("end"))
                    .toList();
            states.stream()
                    .filter(statement -> statement.matches(request.text("path")))
                    .forEach(possible::add);
            if (states.size() == 1
                    && states.get(0).acknowledgedAt() < appliedBy
                    && states.get(0).matches(request.text("path"))) {
                certainLength = Math.max(certainLength, states.get(0).prefix().length());
            }
        }
        final int shortest = certainLength;
        return possible.stream()
                .filter(statement -> statement.prefix().length() >= shortest)
                .mapToLong(Statement::lifetimeMs)
                .max()
                .orElse(request.num("life"));
    }
}
