package org.rowanvalve.testkit.judge;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.rowanvalve.testkit.log.RequestTrace;

/**
 * Checks the rules on a run from its logs alone: the brief's twelve, and fourteen more where shields vote and operators
 * state versions.
 */
public final class Judge {
    private final List<Verdict> verdicts = new ArrayList<>();

    private final List<Map<String, Object>> rows;

    public Judge(final List<Map<String, Object>> rows) {
        this.rows = List.copyOf(rows);
        final RunFacts facts = new RunFacts(rows);
        verdicts.add(KeyedRequestRules.twice(facts, new Verdict(1, "same key runs once within a minute")));
        verdicts.add(KeyedRequestRules.refused(facts, new Verdict(2, "once-only, and never after a refusal")));
        verdicts.add(
                ClientResponseRules.whole(facts, new Verdict(3, "success has stamp, whole body, its own request")));
        verdicts.add(OriginTrafficRules.apart(
                facts, OriginTrafficRules.one(facts, new Verdict(4, "one shield fills a shard at a time"))));
        verdicts.add(ConfigurationRules.force(facts, new Verdict(5, "configuration in force in 2.5 s, never back")));
        verdicts.add(ClientResponseRules.purged(facts, new Verdict(6, "purged objects gone after 2 s")));
        verdicts.add(CopyLifetimeRules.aged(facts, new Verdict(7, "copies end at lifetime plus 2 s")));
        verdicts.add(OriginTrafficRules.left(facts, new Verdict(8, "a leaving origin rests after 2.5 s")));
        verdicts.add(OriginTrafficRules.rate(facts, new Verdict(9, "a content store's rate in any 5 s")));
        verdicts.add(OriginTrafficRules.extra(facts, new Verdict(10, "extra tries in any 10 s")));
        verdicts.add(ConfigurationRules.lost(facts, new Verdict(11, "accepted kept; a quarter served after 15 s")));
        verdicts.add(OriginTrafficRules.strange(facts, new Verdict(12, "only services that were allowed")));
        if (facts.shieldRun()) {
            verdicts.add(VersionedItemRules.whole(facts, new Verdict(13, "highest version stands, read back whole")));
            verdicts.add(VersionedItemRules.winner(facts, new Verdict(14, "of one version one winner everywhere")));
            verdicts.add(
                    VersionedItemRules.refused(facts, new Verdict(15, "a refused try never runs, none runs twice")));
            verdicts.add(
                    TrafficTotalsRules.ceiling(facts, new Verdict(16, "a service's ceiling over all origins, 5 s")));
            verdicts.add(
                    TrafficTotalsRules.budget(facts, new Verdict(17, "arrivals beyond the first of each try, 10 s")));
            verdicts.add(ControlResponseRules.contact(facts, new Verdict(18, "control answers rest on a majority")));
            verdicts.add(ControlResponseRules.oneBody(
                    facts, new Verdict(19, "one version, one body; nothing of a refused order")));
            verdicts.add(
                    ControlResponseRules.repeated(facts, new Verdict(20, "an order that was taken is never refused")));
            verdicts.add(ControlResponseRules.acknowledged(
                    facts, new Verdict(21, "orders acknowledged, read back at the end")));
            verdicts.add(
                    TrafficTotalsRules.attempts(facts, new Verdict(22, "a try reaches as many origins as it may")));
            verdicts.add(AbandonedWorkRules.abandoned(facts, new Verdict(23, "no work for clients that have left")));
            verdicts.add(
                    RouteVersionRules.references(facts, new Verdict(24, "routes in force name services in force")));
            verdicts.add(
                    RouteVersionRules.requests(facts, new Verdict(25, "requests go by a version that is new enough")));
            verdicts.add(BrokenOffWorkRules.planned(
                    facts, new Verdict(26, "planned moves break off nothing that origins work on")));
        }
    }

    public List<Verdict> verdicts() {
        return verdicts;
    }

    public Verdict rule(final int n) {
        return verdicts.get(n - 1);
    }

    public boolean clean() {
        return verdicts.stream().allMatch(verdict -> verdict.breaches().isEmpty());
    }

    public String text(final int most) {
        final StringBuilder text = new StringBuilder();
        for (final Verdict verdict : verdicts) {
            text.append(verdict.line()).append('\n');
            verdict.breaches().stream().limit(most).forEach(breach -> {
                text.append("    ").append(breach).append('\n');
                verdict.subject(breach).ifPresent(subject -> appendTrace(text, subject));
            });
        }
        return text.toString();
    }

    /** Adds what all logs tell of a key or request, in one line of time. */
    private void appendTrace(final StringBuilder text, final String subject) {
        new RequestTrace(subject, rows)
                .text()
                .lines()
                .forEach(line -> text.append("        ").append(line).append('\n'));
    }
}
