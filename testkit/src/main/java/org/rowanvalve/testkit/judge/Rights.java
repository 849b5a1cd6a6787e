package org.rowanvalve.testkit.judge;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.rowanvalve.common.Token;

/** Rules on what went to origins. */
final class Rights {
    private Rights() {}

    static Verdict one(final Facts f, final Verdict v) {
        final Map<String, Facts.Row> sends = new HashMap<>();
        f.nodes("ORIGIN_SEND").forEach(r -> sends.put(r.text("request"), r));
        final Map<String, List<Facts.Row>> own =
                f.shieldRun() ? Facts.group(f.nodes("ORIGIN_SEND"), "request", "node") : Map.of();
        final Map<Long, Token> high = new HashMap<>();
        final Map<Long, Long> since = new HashMap<>();
        for (final Facts.Row r : f.of("org")) {
            final Facts.Row s = !f.shieldRun()
                    ? sends.get(r.text("request"))
                    : own.getOrDefault(r.text("request") + "|" + r.text("from") + "|", List.of()).stream()
                            .filter(x -> x.t() <= r.t())
                            .reduce((a, b) -> b)
                            .orElse(null);
            if (s == null) {
                v.breach(r.text("request") + " reached " + r.text("origin") + " at " + r.t()
                        + " though no shield says it sent it");
                continue;
            }
            if (s.text("token").equals("none")) {
                continue;
            }
            v.check();
            final long shard = s.num("shard");
            final Token t = Token.parse(s.text("token"));
            final Token top = high.getOrDefault(shard, Token.ZERO);
            if (t.below(top)) {
                v.breach("shard " + shard + ": " + s.text("node") + " with token " + t + " reached " + r.text("origin")
                        + " at " + r.t() + ", token " + top + " did since " + since.get(shard));
            } else if (top.below(t)) {
                high.put(shard, t);
                since.put(shard, r.t());
            }
        }
        for (final Facts.Row r : f.nodes("FENCED")) {
            final Token top = high.getOrDefault(r.num("shard"), Token.ZERO);
            v.check();
            if (Token.parse(r.text("token")).below(top)
                    && r.t() > since.get(r.num("shard"))
                    && f.healthy(r.text("node"), r.t() - 1, r.t())) {
                v.breach("shard " + r.num("shard") + ": " + r.text("node") + " fenced token " + r.text("token")
                        + " only at " + r.t() + ", the next holder filled since " + since.get(r.num("shard")));
            }
        }
        return v;
    }

    /** On true time: what was seen of all shields' rights at many moments. */
    static Verdict apart(final Facts f, final Verdict v) {
        f.of("rights").forEach(r -> {
            v.check(r.num("looks"));
            if (r.has("shard")) {
                v.breach("shard " + r.num("shard") + " was held by " + r.text("first") + " and " + r.text("second")
                        + " at " + r.t());
            }
        });
        return v;
    }

    static Verdict left(final Facts f, final Verdict v) {
        final Map<String, Long> gone = new HashMap<>();
        f.accepted("leave").forEach(r -> {
            v.check();
            gone.merge(r.text("origin") + "|" + r.text("stamp"), r.num("end"), Math::min);
        });
        for (final Facts.Row r : f.of("org")) {
            final Long at = gone.get(r.text("origin") + "|" + r.text("stamp"));
            if (at != null
                    && r.t() > at + 2500
                    && f.shieldRun()
                    && (!f.healthy(r.text("from"), r.t() - 500, r.t()) || !f.settled(r.t() - 500, r.t()))) {
                v.excuse();
            } else if (at != null && r.t() > at + 2500) {
                v.breach(r.text("origin") + " left at " + at + " and got " + r.text("request") + " at " + r.t());
            }
        }
        return v;
    }

    static Verdict rate(final Facts f, final Verdict v) {
        final Map<String, Double> rates = new HashMap<>();
        f.of("op").stream().filter(r -> r.real("rate") > 0).forEach(r -> rates.put(r.text("service"), r.real("rate")));
        for (final Map.Entry<String, List<Facts.Row>> e :
                Facts.group(f.of("org"), "service", "origin").entrySet()) {
            final Double rate = rates.get(e.getKey().split("\\|")[0]);
            if (rate == null) {
                continue;
            }
            final ArrayDeque<Long> window = new ArrayDeque<>();
            for (final Facts.Row r : e.getValue()) {
                v.check();
                window.addLast(r.t());
                while (r.t() - window.peekFirst() >= 5000) {
                    window.removeFirst();
                }
                if (window.size() > rate * 5 * 1.1 + 1) {
                    v.breach(e.getKey() + " got " + window.size() + " in 5 s up to " + r.t() + ", its rate allows "
                            + rate * 5);
                }
            }
        }
        return v;
    }

    static Verdict extra(final Facts f, final Verdict v) {
        for (final Map.Entry<String, List<Facts.Row>> e :
                Facts.group(f.nodes("ORIGIN_SEND"), "service").entrySet()) {
            final ArrayDeque<Facts.Row> window = new ArrayDeque<>();
            int extra = 0;
            for (final Facts.Row r : e.getValue()) {
                window.addLast(r);
                extra += r.yes("extra") ? 1 : 0;
                while (r.t() - window.peekFirst().t() >= 10_000) {
                    extra -= window.removeFirst().yes("extra") ? 1 : 0;
                }
                v.check();
                if (r.yes("extra") && extra > 0.2 * (window.size() - extra) + 60) {
                    v.breach(e.getKey() + " got " + extra + " extra tries beside " + (window.size() - extra)
                            + " in 10 s up to " + r.t());
                }
            }
        }
        return v;
    }

    static Verdict strange(final Facts f, final Verdict v) {
        final Set<String> allowed = new HashSet<>();
        final Map<String, Set<String>> ways = new HashMap<>();
        f.of("op").stream()
                .filter(r -> r.text("item").startsWith("SERVICE/"))
                .forEach(r -> allowed.add(r.text("service")));
        f.of("op").stream()
                .filter(r -> r.map().get("services") instanceof List<?>)
                .forEach(r -> ((List<?>) r.map().get("services"))
                        .forEach(s -> ways.computeIfAbsent(r.text("prefix"), k -> new HashSet<>())
                                .add(String.valueOf(s))));
        for (final Facts.Row r : f.of("org")) {
            v.check();
            if (!allowed.contains(r.text("service")) || !r.text("want").equals(r.text("service"))) {
                v.breach(r.text("request") + " for " + r.text("want") + " reached service " + r.text("service") + " at "
                        + r.t());
            }
            if (!ways.isEmpty()
                    && ways.entrySet().stream()
                            .noneMatch(e -> r.text("path").startsWith(e.getKey())
                                    && e.getValue().contains(r.text("service")))) {
                v.breach(r.text("request") + " for " + r.text("path") + " reached service " + r.text("service") + " at "
                        + r.t() + " by no route ever stated");
            }
        }
        return v;
    }
}
