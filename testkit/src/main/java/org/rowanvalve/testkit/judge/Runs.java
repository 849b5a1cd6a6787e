package org.rowanvalve.testkit.judge;

import java.util.List;
import java.util.Map;

/** Rules on keyed requests. */
final class Runs {
    private Runs() {}

    private static List<Facts.Row> runs(final Facts f) {
        return f.of("org").stream()
                .filter(r -> r.text("what").equals("run") && r.has("key"))
                .toList();
    }

    static Verdict twice(final Facts f, final Verdict v) {
        for (final Map.Entry<String, List<Facts.Row>> e :
                Facts.group(runs(f), "key").entrySet()) {
            final List<Facts.Row> list = e.getValue();
            v.check(list.size());
            for (int i = 1; i < list.size(); i++) {
                if (list.get(i).t() - list.get(i - 1).t() < 60_000) {
                    v.breach(e.getKey() + " ran at " + list.get(i - 1).t() + " ("
                            + list.get(i - 1).text("request") + ") and at "
                            + list.get(i).t() + " (" + list.get(i).text("request") + ")");
                }
            }
        }
        return v;
    }

    static Verdict refused(final Facts f, final Verdict v) {
        final Map<String, List<Facts.Row>> asks =
                Facts.group(f.of("req").stream().filter(r -> r.has("key")).toList(), "key");
        for (final Map.Entry<String, List<Facts.Row>> e :
                Facts.group(runs(f), "key").entrySet()) {
            final List<Facts.Row> mine = asks.getOrDefault(e.getKey(), List.of());
            if (e.getValue().size() > 1) {
                v.breach(e.getKey() + " ran " + e.getValue().size() + " times, first at "
                        + e.getValue().get(0).t());
            }
            for (final Facts.Row run : e.getValue()) {
                v.check();
                final List<Facts.Row> begun =
                        mine.stream().filter(r -> r.t() <= run.t()).toList();
                if (!begun.isEmpty()
                        && begun.stream().allMatch(r -> r.text("fate").equals("refused"))) {
                    v.breach(e.getKey() + " ran at " + run.t() + " though all " + begun.size()
                            + " requests before it were told refused, last at "
                            + begun.get(begun.size() - 1).num("end"));
                }
            }
        }
        return v;
    }
}
