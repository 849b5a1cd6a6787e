package org.rowanvalve.testkit.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Rules on responses to operators, attempt by attempt. */
final class ControlResponseRules {
    /** How long an order may go without an acknowledgement while nothing troubles the shields. */
    private static final long ACK_MS = 4000;

    private static final long CALM_AFTER_MS = 3000;
    private static final int TAKEN = 200;
    private static final int INVALID = 422;

    private ControlResponseRules() {}

    private static boolean refused(final long status) {
        return status / 100 == 4;
    }

    /** A shield that has no contact with a majority of voters answers 503; a read shows what was acknowledged before it. */
    static Verdict contact(final RunFacts facts, final Verdict verdict) {
        for (final RunFacts.Row row : facts.of("try")) {
            cutOff(facts, row, row.text("kind"), row.num("status") / 100 != 5, verdict);
        }
        for (final RunFacts.Row row : facts.of("read")) {
            if (row.has("end")) {
                cutOff(facts, row, "read", row.yes("whole"), verdict);
            }
        }
        facts.of("op").stream()
                .filter(row -> row.text("what").equals("leave") && row.has("at"))
                .forEach(row -> cutOff(facts, row, "leave", row.num("status") / 100 != 5, verdict));
        facts.of("read").stream()
                .filter(row -> row.yes("whole") && row.has("end"))
                .forEach(row -> recent(facts, row, verdict));
        return verdict;
    }

    private static void cutOff(
            final RunFacts facts,
            final RunFacts.Row row,
            final String kind,
            final boolean answered,
            final Verdict verdict) {
        final String node = row.has("node") ? row.text("node") : row.text("at");
        if (facts.withoutMajority(node, row.t(), row.num("end"))) {
            verdict.check();
            if (answered) {
                verdict.breach(node + " answered a " + kind + " sent at " + row.t() + " with "
                        + (row.has("status") ? row.text("status") : "the whole") + " at " + row.num("end")
                        + " though it was cut off from a majority");
            }
        }
    }

    private static void recent(final RunFacts facts, final RunFacts.Row read, final Verdict verdict) {
        if (!(read.map().get("items") instanceof Map<?, ?> items)) {
            return;
        }
        final Map<String, Long> least = new TreeMap<>();
        facts.accepted("put").stream()
                .filter(p -> p.num("end") < read.t() && !p.yes("gone"))
                .forEach(p -> least.merge(p.text("item"), p.num("version"), Math::max));
        final Set<String> dropped = new HashSet<>();
        facts.of("op").stream()
                .filter(p -> p.text("what").equals("sent") && p.yes("gone"))
                .forEach(p -> dropped.add(p.text("item")));
        least.forEach((item, version) -> {
            final String is = items.get(item) == null ? "" : String.valueOf(items.get(item));
            if (is.isEmpty() && dropped.contains(item)) {
                return;
            }
            verdict.check();
            if (is.isEmpty() || Long.parseLong(is.split(" ")[0]) < version) {
                verdict.breach(read.text("node") + " read at " + read.t() + " shows '" + is + "' of " + item
                        + ", version " + version + " was acknowledged before");
            }
        });
    }

    /** Tries of each order. */
    private static Map<String, List<RunFacts.Row>> tries(final RunFacts facts) {
        return RunFacts.group(
                facts.of("try").stream().filter(row -> row.has("order")).toList(), "order");
    }

    private static List<String> marks(final RunFacts.Row order) {
        final List<String> all = new ArrayList<>();
        if (order.map().get("items") instanceof List<?> list) {
            list.forEach(m -> all.add(String.valueOf(m)));
        }
        return all;
    }

    /** Of two bodies under one version at most one is ever confirmed, and nothing of a refused order is in force. */
    static Verdict oneBody(final RunFacts facts, final Verdict verdict) {
        final Map<String, List<RunFacts.Row>> tries = tries(facts);
        final Map<String, Set<String>> confirmed = new HashMap<>();
        final Set<String> sentBodies = new HashSet<>();
        final Set<String> refusedBodies = new HashSet<>();
        final Set<String> otherBodies = new HashSet<>();
        for (final RunFacts.Row order : facts.of("order")) {
            final List<RunFacts.Row> mine = tries.getOrDefault(order.text("id") + "|", List.of());
            final boolean taken = mine.stream().anyMatch(row -> row.num("status") == TAKEN);
            final boolean no = !taken && mine.stream().anyMatch(row -> refused(row.num("status")));
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
            verdict.check();
            if (bodies.size() > 1) {
                verdict.breach(number + " was confirmed with the bodies " + bodies);
            }
        });
        refusedBodies.removeAll(otherBodies);
        for (final RunFacts.Row read : facts.of("read")) {
            if (read.map().get("items") instanceof Map<?, ?> items) {
                items.forEach((item, is) -> {
                    final String mark = item + "|" + String.valueOf(is).replace(' ', '|');
                    verdict.check();
                    if (refusedBodies.contains(mark)) {
                        verdict.breach(read.text("node") + " reads back " + mark + " at " + read.num("end")
                                + ", of an order that was refused");
                    }
                });
            }
        }
        return verdict;
    }

    /**
     * An order that was taken once is acknowledged again or left without a clear answer, wherever it is sent. One that
     * was invalid when it was tried first, of which the operator did not hear, may be valid when it is tried again.
     */
    static Verdict repeated(final RunFacts facts, final Verdict verdict) {
        tries(facts).forEach((order, all) -> {
            final long taken = all.stream()
                    .filter(row -> row.num("status") == TAKEN)
                    .mapToLong(row -> row.num("end"))
                    .min()
                    .orElse(Long.MAX_VALUE);
            if (taken == Long.MAX_VALUE) {
                return;
            }
            verdict.check(all.size() - 1);
            all.stream()
                    .filter(row -> refused(row.num("status")))
                    .filter(row -> row.num("status") != INVALID || !row.yes("lost") || row.num("end") >= taken)
                    .forEach(row -> verdict.breach("order " + order + " was taken, and refused with "
                            + row.num("status") + " by " + row.text("node") + " at " + row.num("end")));
        });
        return verdict;
    }

    /** After the closing fault every shield reads the whole back; an order in calm times is acknowledged in time. */
    static Verdict acknowledged(final RunFacts facts, final Verdict verdict) {
        for (final RunFacts.Row read : facts.of("read")) {
            if (read.yes("last")) {
                verdict.check();
                if (!read.yes("whole")) {
                    verdict.breach(read.text("node") + " cannot read the whole back at the end");
                }
            }
        }
        final long end = facts.of("cost").isEmpty()
                ? Long.MAX_VALUE
                : facts.of("cost").get(0).t();
        final List<long[]> troubled = facts.coreTroubles(CALM_AFTER_MS);
        final Map<String, List<RunFacts.Row>> tries = tries(facts);
        for (final RunFacts.Row order : facts.of("order")) {
            final long done = tries.getOrDefault(order.text("id") + "|", List.of()).stream()
                    .filter(row -> row.num("status") / 100 != 5 && row.num("end") >= order.t())
                    .mapToLong(row -> row.num("end"))
                    .min()
                    .orElse(end);
            verdict.check();
            final long calm = calm(troubled, order.t(), Math.min(done, end));
            if (calm > ACK_MS) {
                verdict.breach("order " + order.text("id") + " sent at " + order.t() + " had no clear answer in " + calm
                        + " calm ms, first at " + done);
            }
        }
        return verdict;
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
