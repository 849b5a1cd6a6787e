package org.rowanvalve.testkit.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Rules on the answers that operators got, try by try. */
final class ControlAnswers {
    /** How long an order may go without an acknowledgement while nothing troubles the shields. */
    private static final long ACK_MS = 4000;

    private static final long CALM_AFTER_MS = 3000;
    private static final int TAKEN = 200;

    private ControlAnswers() {}

    private static boolean refused(final long status) {
        return status / 100 == 4;
    }

    /** A shield that has no contact with a majority of voters answers 503; a read shows what was acknowledged before it. */
    static Verdict contact(final Facts f, final Verdict v) {
        for (final Facts.Row r : f.of("try")) {
            cutOff(f, r, r.text("kind"), r.num("status") / 100 != 5, v);
        }
        for (final Facts.Row r : f.of("read")) {
            if (r.has("end")) {
                cutOff(f, r, "read", r.yes("whole"), v);
            }
        }
        f.of("op").stream()
                .filter(r -> r.text("what").equals("leave") && r.has("at"))
                .forEach(r -> cutOff(f, r, "leave", r.num("status") / 100 != 5, v));
        f.of("read").stream().filter(r -> r.yes("whole") && r.has("end")).forEach(r -> recent(f, r, v));
        return v;
    }

    private static void cutOff(
            final Facts f, final Facts.Row r, final String kind, final boolean answered, final Verdict v) {
        final String node = r.has("node") ? r.text("node") : r.text("at");
        if (f.withoutMajority(node, r.t(), r.num("end"))) {
            v.check();
            if (answered) {
                v.breach(node + " answered a " + kind + " sent at " + r.t() + " with "
                        + (r.has("status") ? r.text("status") : "the whole") + " at " + r.num("end")
                        + " though it was cut off from a majority");
            }
        }
    }

    private static void recent(final Facts f, final Facts.Row read, final Verdict v) {
        if (!(read.map().get("items") instanceof Map<?, ?> items)) {
            return;
        }
        final Map<String, Long> least = new TreeMap<>();
        f.accepted("put").stream()
                .filter(p -> p.num("end") < read.t() && !p.yes("gone"))
                .forEach(p -> least.merge(p.text("item"), p.num("version"), Math::max));
        final Set<String> dropped = new HashSet<>();
        f.of("op").stream()
                .filter(p -> p.text("what").equals("sent") && p.yes("gone"))
                .forEach(p -> dropped.add(p.text("item")));
        least.forEach((item, version) -> {
            final String is = items.get(item) == null ? "" : String.valueOf(items.get(item));
            if (is.isEmpty() && dropped.contains(item)) {
                return;
            }
            v.check();
            if (is.isEmpty() || Long.parseLong(is.split(" ")[0]) < version) {
                v.breach(read.text("node") + " read at " + read.t() + " shows '" + is + "' of " + item + ", version "
                        + version + " was acknowledged before");
            }
        });
    }

    /** Tries of each order. */
    private static Map<String, List<Facts.Row>> tries(final Facts f) {
        return Facts.group(f.of("try").stream().filter(r -> r.has("order")).toList(), "order");
    }

    private static List<String> marks(final Facts.Row order) {
        final List<String> all = new ArrayList<>();
        if (order.map().get("items") instanceof List<?> list) {
            list.forEach(m -> all.add(String.valueOf(m)));
        }
        return all;
    }

    /** Of two bodies under one version at most one is ever confirmed, and nothing of a refused order is in force. */
    static Verdict oneBody(final Facts f, final Verdict v) {
        final Map<String, List<Facts.Row>> tries = tries(f);
        final Map<String, Set<String>> confirmed = new HashMap<>();
        final Set<String> sentBodies = new HashSet<>();
        final Set<String> refusedBodies = new HashSet<>();
        final Set<String> otherBodies = new HashSet<>();
        for (final Facts.Row order : f.of("order")) {
            final List<Facts.Row> mine = tries.getOrDefault(order.text("id") + "|", List.of());
            final boolean taken = mine.stream().anyMatch(r -> r.num("status") == TAKEN);
            final boolean no = !taken && mine.stream().anyMatch(r -> refused(r.num("status")));
            for (final String mark : marks(order)) {
                final String number = mark.substring(0, mark.lastIndexOf('|'));
                final String body = mark.substring(mark.lastIndexOf('|') + 1);
                sentBodies.add(mark);
                (no ? refusedBodies : otherBodies).add(mark);
                if (taken) {
                    confirmed.computeIfAbsent(number, k -> new HashSet<>()).add(body);
                }
            }
        }
        confirmed.forEach((number, bodies) -> {
            v.check();
            if (bodies.size() > 1) {
                v.breach(number + " was confirmed with the bodies " + bodies);
            }
        });
        refusedBodies.removeAll(otherBodies);
        for (final Facts.Row read : f.of("read")) {
            if (read.map().get("items") instanceof Map<?, ?> items) {
                items.forEach((item, is) -> {
                    final String mark = item + "|" + String.valueOf(is).replace(' ', '|');
                    v.check();
                    if (refusedBodies.contains(mark)) {
                        v.breach(read.text("node") + " reads back " + mark + " at " + read.num("end")
                                + ", of an order that was refused");
                    }
                });
            }
        }
        return v;
    }

    /** An order that was taken once is acknowledged again or left without a clear answer, wherever it is sent. */
    static Verdict repeated(final Facts f, final Verdict v) {
        tries(f).forEach((order, all) -> {
            if (all.stream().noneMatch(r -> r.num("status") == TAKEN)) {
                return;
            }
            v.check(all.size() - 1);
            all.stream()
                    .filter(r -> refused(r.num("status")))
                    .forEach(r -> v.breach("order " + order + " was taken, and refused with " + r.num("status") + " by "
                            + r.text("node") + " at " + r.num("end")));
        });
        return v;
    }

    /** After the closing fault every shield reads the whole back; an order in calm times is acknowledged in time. */
    static Verdict acknowledged(final Facts f, final Verdict v) {
        for (final Facts.Row read : f.of("read")) {
            if (read.yes("last")) {
                v.check();
                if (!read.yes("whole")) {
                    v.breach(read.text("node") + " cannot read the whole back at the end");
                }
            }
        }
        final long end =
                f.of("cost").isEmpty() ? Long.MAX_VALUE : f.of("cost").get(0).t();
        final List<long[]> troubled = f.coreTroubles(CALM_AFTER_MS);
        final Map<String, List<Facts.Row>> tries = tries(f);
        for (final Facts.Row order : f.of("order")) {
            final long done = tries.getOrDefault(order.text("id") + "|", List.of()).stream()
                    .filter(r -> r.num("status") / 100 != 5 && r.num("end") >= order.t())
                    .mapToLong(r -> r.num("end"))
                    .min()
                    .orElse(end);
            v.check();
            final long calm = calm(troubled, order.t(), Math.min(done, end));
            if (calm > ACK_MS) {
                v.breach("order " + order.text("id") + " sent at " + order.t() + " had no clear answer in " + calm
                        + " calm ms, first at " + done);
            }
        }
        return v;
    }

    /** The longest stretch without a trouble. */
    private static long calm(final List<long[]> troubled, final long from, final long to) {
        long at = from;
        long longest = 0;
        for (final long[] t : troubled) {
            if (t[1] > at && t[0] < to) {
                longest = Math.max(longest, t[0] - at);
                at = Math.max(at, t[1]);
            }
        }
        return Math.max(longest, to - at);
    }
}
