package org.rowanvalve.testkit.judge;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Rules on a run from its logs alone: the brief's twelve, and ten more where shields vote and operators state versions. */
public final class Judge {
    private final List<Verdict> verdicts = new ArrayList<>();

    public Judge(final List<Map<String, Object>> rows) {
        final Facts f = new Facts(rows);
        verdicts.add(Runs.twice(f, new Verdict(1, "same key runs once within a minute")));
        verdicts.add(Runs.refused(f, new Verdict(2, "once-only, and never after a refusal")));
        verdicts.add(Served.whole(f, new Verdict(3, "success has stamp, whole body, its own request")));
        verdicts.add(Rights.apart(f, Rights.one(f, new Verdict(4, "one shield fills a shard at a time"))));
        verdicts.add(Spread.force(f, new Verdict(5, "configuration in force in 2.5 s, never back")));
        verdicts.add(Served.purged(f, new Verdict(6, "purged objects gone after 2 s")));
        verdicts.add(Served.aged(f, new Verdict(7, "copies end at lifetime plus 2 s")));
        verdicts.add(Rights.left(f, new Verdict(8, "a leaving origin rests after 2.5 s")));
        verdicts.add(Rights.rate(f, new Verdict(9, "a content store's rate in any 5 s")));
        verdicts.add(Rights.extra(f, new Verdict(10, "extra tries in any 10 s")));
        verdicts.add(Spread.lost(f, new Verdict(11, "accepted kept; a quarter served after 15 s")));
        verdicts.add(Rights.strange(f, new Verdict(12, "only services that were allowed")));
        if (f.shieldRun()) {
            verdicts.add(Stated.whole(f, new Verdict(13, "highest version stands, read back whole")));
            verdicts.add(Stated.winner(f, new Verdict(14, "of one version one winner everywhere")));
            verdicts.add(Stated.refused(f, new Verdict(15, "a refused try never runs, none runs twice")));
            verdicts.add(Totals.ceiling(f, new Verdict(16, "a service's ceiling over all origins, 5 s")));
            verdicts.add(Totals.budget(f, new Verdict(17, "arrivals beyond the first of each try, 10 s")));
            verdicts.add(ControlAnswers.contact(f, new Verdict(18, "control answers rest on a majority")));
            verdicts.add(
                    ControlAnswers.oneBody(f, new Verdict(19, "one version, one body; nothing of a refused order")));
            verdicts.add(ControlAnswers.repeated(f, new Verdict(20, "an order that was taken is never refused")));
            verdicts.add(ControlAnswers.acknowledged(f, new Verdict(21, "orders acknowledged, read back at the end")));
            verdicts.add(Totals.attempts(f, new Verdict(22, "a try reaches as many origins as it may")));
        }
    }

    public List<Verdict> verdicts() {
        return verdicts;
    }

    public Verdict rule(final int n) {
        return verdicts.get(n - 1);
    }

    public boolean clean() {
        return verdicts.stream().allMatch(v -> v.breaches().isEmpty());
    }

    public String text(final int most) {
        final StringBuilder s = new StringBuilder();
        for (final Verdict v : verdicts) {
            s.append(v.line()).append('\n');
            v.breaches().stream()
                    .limit(most)
                    .forEach(b -> s.append("    ").append(b).append('\n'));
        }
        return s.toString();
    }
}
