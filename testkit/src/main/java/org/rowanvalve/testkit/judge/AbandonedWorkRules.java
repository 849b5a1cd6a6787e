package org.rowanvalve.testkit.judge;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Rules on work for clients that have left; cached and keyed requests are none of it. */
final class AbandonedWorkRules {
    /** How long after a close a request may still reach an origin, and an origin may still work. */
    private static final long GRACE_MS = 500;
    /** So many requests of a run may reach an origin later than that. */
    private static final int FEW = 3;
    /** Of the requests that would last longer, origins may still work on one in so many. */
    private static final int STILL_AT_WORK_ONE_IN = 4;

    private static final Set<String> EXEMPT = Set.of("cached", "once");
    private static final String REPEATABLE = "status";

    private AbandonedWorkRules() {}

    static Verdict abandoned(final RunFacts facts, final Verdict verdict) {
        final Map<String, RunFacts.Row> left = new HashMap<>();
        facts.of("req").stream()
                .filter(row -> row.has("left") && !EXEMPT.contains(row.text("mode")))
                .forEach(row -> left.put(row.text("attempt"), row));
        lateArrivals(facts, left, verdict);
        workThatGoesOn(facts, left, verdict);
        return verdict;
    }

    private static void lateArrivals(
            final RunFacts facts, final Map<String, RunFacts.Row> left, final Verdict verdict) {
        verdict.check(left.size());
        int late = 0;
        for (final RunFacts.Row arrival : facts.of("org")) {
            final RunFacts.Row request = left.get(arrival.text("request"));
            if (request == null || arrival.t() <= request.num("left") + GRACE_MS) {
                continue;
            }
            if (!inTouch(facts, request, arrival)) {
                verdict.excuse();
                continue;
            }
            late++;
            if (late > FEW) {
                verdict.breach(request.text("attempt") + " reached " + arrival.text("origin") + " at " + arrival.t()
                        + ", its client had left at " + request.num("left") + ", the " + late + "th such request");
            }
        }
    }

    private static void workThatGoesOn(
            final RunFacts facts, final Map<String, RunFacts.Row> left, final Verdict verdict) {
        int wouldLast = 0;
        int stillAtWork = 0;
        for (final RunFacts.Row end : facts.of("orgend")) {
            final RunFacts.Row request = left.get(end.text("request"));
            final long until = request == null ? 0 : request.num("left") + GRACE_MS;
            if (request == null || !request.text("mode").equals(REPEATABLE) || end.num("planned") <= until) {
                continue;
            }
            if (!inTouch(facts, request, end)) {
                verdict.excuse();
                continue;
            }
            verdict.check();
            wouldLast++;
            stillAtWork += end.t() > until ? 1 : 0;
        }
        if (stillAtWork * STILL_AT_WORK_ONE_IN > wouldLast) {
            verdict.breach("origins were still at work on " + stillAtWork + " of " + wouldLast
                    + " requests half a second after their clients had left");
        }
    }

    /** The edge, the shield and the voters had no trouble from before the close to the event at the origin. */
    private static boolean inTouch(final RunFacts facts, final RunFacts.Row request, final RunFacts.Row event) {
        final long from = request.t();
        return List.of(request.text("node"), event.text("from")).stream()
                        .allMatch(node -> facts.healthy(node, from, event.t()))
                && facts.settled(from, event.t());
    }
}
