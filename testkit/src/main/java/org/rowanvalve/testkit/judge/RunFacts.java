package org.rowanvalve.testkit.judge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The logs of one run, sorted by time and by kind. */
public final class RunFacts {
    /** After which a node counts as healthy again: two rounds of beats and of frames. */
    private static final long REST = 2500;

    private static final Set<String> DOWN = Set.of("kill", "lose-disk", "restart");
    private static final Set<String> APART = Set.of("cut", "core-cut", "freeze", "drift");
    /** A change may have been chosen so long before a node says that it goes by it. */
    private static final long CHANGE_MS = 1000;

    private static final Set<String> CUTS = Set.of("cut", "core-cut");
    /** What troubles shields without taking one away. */
    private static final Set<String> LINKS = Set.of(
            "slow", "loss", "stall", "full", "disk-slow", "clock-step", "reset-conns", "seed-turnover", "replace-core");

    private final Map<String, List<Row>> kinds = new HashMap<>();
    private final Map<String, List<long[]>> bad = new TreeMap<>();
    private final TreeMap<Long, List<String>> votingSets = new TreeMap<>();

    /** One log line. */
    public record Row(Map<String, Object> map) {
        public String text(final String name) {
            return map.get(name) == null ? "" : String.valueOf(map.get(name));
        }

        public long num(final String name) {
            return map.get(name) instanceof Number n ? n.longValue() : 0;
        }

        public double real(final String name) {
            return map.get(name) instanceof Number n ? n.doubleValue() : 0;
        }

        public boolean has(final String name) {
            return map.get(name) != null;
        }

        public boolean yes(final String name) {
            return Boolean.TRUE.equals(map.get(name));
        }

        public long t() {
            return num("t");
        }
    }

    public RunFacts(final List<Map<String, Object>> rows) {
        rows.stream()
                .map(Row::new)
                .sorted(Comparator.comparingLong(Row::t))
                .forEach(row -> kinds.computeIfAbsent(row.text("log"), k -> new ArrayList<>())
                        .add(row));
        readVotingSets();
        for (final Row row : of("rig")) {
            final String what = row.text("what");
            if (what.equals("added")) {
                bad.computeIfAbsent(row.text("node"), k -> new ArrayList<>()).add(new long[] {0, back(row) + REST});
            } else if (what.equals("retired")) {
                bad.computeIfAbsent(row.text("node"), k -> new ArrayList<>()).add(new long[] {row.t(), Long.MAX_VALUE});
            } else if (DOWN.contains(what) || APART.contains(what)) {
                final long until = DOWN.contains(what) ? back(row) : row.t() + row.num("ms");
                bad.computeIfAbsent(row.text("node"), k -> new ArrayList<>()).add(new long[] {row.t(), until + REST});
            }
        }
    }

    /** The process that came after, by its own word, or the machine's removal. */
    private long back(final Row gone) {
        final boolean added = gone.text("what").equals("added");
        return Stream.concat(
                        of("node").stream().filter(row -> row.text("name").equals("STARTED")),
                        of("rig").stream().filter(row -> row.text("what").equals("retired")))
                .filter(row -> row.text("node").equals(gone.text("node")))
                .mapToLong(Row::t)
                .filter(t -> added ? t >= gone.t() : t > gone.t())
                .min()
                .orElse(Long.MAX_VALUE / 4);
    }

    public List<Row> of(final String kind) {
        return kinds.getOrDefault(kind, List.of());
    }

    public List<Row> nodes(final String name) {
        return of("node").stream().filter(row -> row.text("name").equals(name)).toList();
    }

    public List<Row> accepted(final String what) {
        return of("op").stream()
                .filter(row -> row.text("what").equals(what) && row.num("status") == 200)
                .toList();
    }

    public boolean healthy(final String node, final long from, final long to) {
        return bad.getOrDefault(node, List.of()).stream().noneMatch(b -> b[0] <= to && b[1] >= from);
    }

    /** Whether the log is of a place whose shields vote, and whose operators state versions of their own. */
    public boolean shieldRun() {
        return !of("place").isEmpty();
    }

    /** Whether a node was cut off, frozen or off its clock. */
    public boolean apart(final String node, final long t) {
        return in(APART, node, t);
    }

    /** Whether a node's own clock did not keep true time. */
    public boolean drifts(final String node, final long t) {
        return in(Set.of("drift"), node, t);
    }

    private boolean in(final Set<String> troubles, final String node, final long t) {
        return of("rig").stream()
                .anyMatch(row -> troubles.contains(row.text("what"))
                        && row.text("node").equals(node)
                        && t >= row.t()
                        && t <= row.t() + row.num("ms") + REST);
    }

    /** More than half of the voters had no trouble; always so where the log does not name them. */
    public boolean settled(final long from, final long to) {
        return voters(from, to).stream().allMatch(set -> majority(set, v -> healthy(v, from, to)));
    }

    private static boolean majority(final List<String> set, final Predicate<String> good) {
        return set.stream().filter(good).count() * 2 > set.size();
    }

    /** The voting sets that were in force at some time between the two moments. */
    private List<List<String>> voters(final long from, final long to) {
        final Map.Entry<Long, List<String>> first = votingSets.floorEntry(from);
        return List.copyOf(votingSets
                .subMap(first == null ? from : first.getKey(), true, to + CHANGE_MS, true)
                .values());
    }

    /** Each voting set by the time from which some node went by it. */
    private void readVotingSets() {
        of("place").forEach(row -> votingSets.put(row.t(), names(row.map().get("electors"))));
        long epoch = 0;
        for (final Row row : nodes("VOTERS_SET")) {
            if (row.num("epoch") > epoch) {
                epoch = row.num("epoch");
                votingSets.put(row.t(), names(row.map().get("voters")));
            }
        }
    }

    private static List<String> names(final Object list) {
        return list instanceof List<?> l ? l.stream().map(String::valueOf).toList() : List.of();
    }

    /** Whether a shield could reach no majority of the voters from the one moment to the other, by cuts alone. */
    boolean withoutMajority(final String node, final long from, final long to) {
        return of("rig").stream()
                .filter(row -> CUTS.contains(row.text("what"))
                        && row.text("node").equals(node)
                        && row.t() < from
                        && row.t() + row.num("ms") > to)
                .anyMatch(row -> {
                    final Set<String> side = of("rig").stream()
                            .filter(o -> o.t() == row.t() && o.text("what").equals(row.text("what")))
                            .map(o -> o.text("node"))
                            .collect(Collectors.toSet());
                    return !votingSets.isEmpty()
                            && voters(row.t(), to).stream().noneMatch(set -> majority(set, side::contains));
                });
    }

    /** Moments at which shields or links between them are in trouble, or were up to {@code rest} ago, in order. */
    List<long[]> coreTroubles(final long rest) {
        final List<long[]> all = new ArrayList<>();
        for (final Row row : of("rig")) {
            final String what = row.text("what");
            final boolean shield = row.text("node").startsWith("sh");
            if (LINKS.contains(what) || shield && (APART.contains(what) || what.equals("retired"))) {
                all.add(new long[] {row.t(), row.t() + row.num("ms") + rest});
            } else if (shield && (DOWN.contains(what) || what.equals("added"))) {
                all.add(new long[] {row.t(), back(row) + rest});
            }
        }
        all.sort(Comparator.comparingLong(b -> b[0]));
        return all;
    }

    /** The next moment at which no machine is up. */
    long dark(final long from) {
        final List<Row> turns = new ArrayList<>(nodes("STARTED"));
        final Set<String> up = turns.stream().map(row -> row.text("node")).collect(Collectors.toSet());
        final Set<String> ends = Set.of("kill", "retired");
        of("rig").stream().filter(row -> ends.contains(row.text("what"))).forEach(turns::add);
        turns.stream()
                .filter(row -> row.text("what").equals("retired") && row.t() <= from)
                .forEach(row -> up.remove(row.text("node")));
        turns.removeIf(row -> row.t() <= from);
        turns.sort(Comparator.comparingLong(Row::t));
        for (final Row row : turns) {
            if (row.text("name").equals("STARTED")) {
                up.add(row.text("node"));
            } else if (up.remove(row.text("node")) && up.isEmpty()) {
                return row.t();
            }
        }
        return Long.MAX_VALUE;
    }

    /** Whether some node had dropped that version by then: what is dropped is not lost. */
    public boolean swept(final String item, final long ver, final long by) {
        final String kind = item.startsWith("PURGE/") ? "purges" : item.startsWith("ORIGIN/") ? "origins" : "none";
        return nodes("SWEPT").stream().anyMatch(row -> row.t() <= by && row.num(kind) >= ver);
    }

    public static Map<String, List<Row>> group(final List<Row> rows, final String... names) {
        final Map<String, List<Row>> map = new TreeMap<>();
        for (final Row row : rows) {
            final StringBuilder key = new StringBuilder();
            for (final String n : names) {
                key.append(row.text(n)).append('|');
            }
            map.computeIfAbsent(key.toString(), k -> new ArrayList<>()).add(row);
        }
        return map;
    }
}
