package org.rowanvalve.data;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.control.Origin;

/**
 * What is known of each origin's load: this node's own requests there, other nodes' as they tell them, the load that the
 * origin told, how long it takes, and whether it has failed of late. Times are milliseconds of this node's clock.
 */
final class OriginLoad {
    private static final long STALE = 1500;
    private static final long GHOST = 400;
    private static final long SOUR = 1000;
    private static final long SOUREST = 8000;
    private static final double GUESS = 60;
    private final String cell;
    private final Map<ItemId, Stat> stats = new HashMap<>();
    private final Map<NodeId, Told> others = new HashMap<>();
    private final java.util.Set<String> gone = new java.util.HashSet<>();

    private record Told(Map<String, Integer> counts, long at) {}

    private static final class Stat {
        private int mine;
        private double mean;
        private int fails;
        private long sour = Long.MIN_VALUE / 2;
        private int ghosts;
        private long ghostAt = Long.MIN_VALUE / 2;
        private final TreeMap<Long, Integer> begun = new TreeMap<>();
    }

    OriginLoad(final String cell) {
        this.cell = cell;
    }

    private Stat stat(final ItemId id) {
        return stats.computeIfAbsent(id, k -> new Stat());
    }

    void begin(final ItemId id, final long now) {
        final Stat s = stat(id);
        s.mine++;
        s.begun.merge(now, 1, Integer::sum);
    }

    /** {@code good}: the origin answered, whatever it said. */
    void end(final ItemId id, final long begun, final long now, final boolean good, final Port.Load load) {
        final Stat s = stat(id);
        s.mine--;
        s.begun.merge(begun, -1, (a, b) -> a + b <= 0 ? null : a + b);
        if (good) {
            s.fails = 0;
            s.sour = Long.MIN_VALUE / 2;
            final double took = Math.max(1, now - begun);
            s.mean = s.mean == 0 ? took : s.mean * 0.8 + took * 0.2;
            if (load.slots() > 0) {
                s.ghosts = Math.max(0, load.running() + load.waiting() - busy(id, now, false));
                s.ghostAt = now;
            }
        }
    }

    /** It failed or does not answer: asked last for a while, longer each time. */
    void fail(final ItemId id, final long now) {
        final Stat s = stat(id);
        if (s.sour <= now) {
            s.fails++;
            s.sour = now + Math.min(SOUREST, SOUR << Math.min(4, s.fails - 1));
        }
    }

    /** Another process answers at its address: this start of it is over for good. */
    void over(final ItemId id, final Origin o) {
        gone.add(id.name() + "|" + o.stamp());
    }

    boolean gone(final ItemId id, final Origin o) {
        return !gone.isEmpty() && gone.contains(id.name() + "|" + o.stamp());
    }

    /** After a failure it is tried by one request at a time until one is answered. */
    boolean sour(final ItemId id, final long now) {
        final Stat s = stats.get(id);
        return s != null && (s.sour > now || s.fails > 0 && s.mine > 0);
    }

    void told(final NodeId from, final Map<String, Integer> counts, final long now) {
        others.put(from, new Told(Map.copyOf(counts), now));
    }

    Map<String, Integer> mine() {
        final Map<String, Integer> map = new TreeMap<>();
        stats.forEach((id, s) -> {
            if (s.mine > 0) {
                map.put(id.name(), s.mine);
            }
        });
        return map;
    }

    int own(final ItemId id) {
        final Stat s = stats.get(id);
        return s == null ? 0 : s.mine;
    }

    int busy(final ItemId id, final long now) {
        return busy(id, now, true);
    }

    private int busy(final ItemId id, final long now, final boolean ghosts) {
        final Stat s = stat(id);
        int sum = s.mine + (ghosts && now - s.ghostAt < GHOST ? s.ghosts : 0);
        for (final Told t : others.values()) {
            sum += now - t.at() < STALE ? t.counts().getOrDefault(id.name(), 0) : 0;
        }
        return sum;
    }

    /** How long one request takes there, by those answered and by the oldest that is not. */
    double mean(final ItemId id, final long now) {
        final Stat s = stats.get(id);
        if (s == null) {
            return 0;
        }
        final double old = s.begun.isEmpty() ? 0 : now - s.begun.firstKey();
        return Math.max(s.mean, old);
    }

    /** Over origins of one service. */
    double mean(final Map<ItemId, Origin> all, final long now) {
        double sum = 0;
        int n = 0;
        for (final ItemId id : all.keySet()) {
            final Stat s = stats.get(id);
            if (s != null && s.mean > 0) {
                sum += s.mean;
                n++;
            }
        }
        return n == 0 ? GUESS : sum / n;
    }

    boolean room(final ItemId id, final Origin o, final long now) {
        return o.slots() <= 0 || busy(id, now) < o.slots() + Math.max(1, o.slots() / 8);
    }

    /** Whether any of them has a free slot and has not failed of late. */
    boolean open(final Map<ItemId, Origin> all, final long now) {
        return all.entrySet().stream().anyMatch(e -> room(e.getKey(), e.getValue(), now) && !sour(e.getKey(), now));
    }

    double far(final Origin o) {
        if (o.cell().isEmpty() || cell.equals(o.cell())) {
            return 0;
        }
        final int cut = cell.lastIndexOf('/');
        return cut >= 0 && o.cell().startsWith(cell.substring(0, cut + 1)) ? 3 : 90;
    }

    /** Expected time until an answer; those that failed of late come after all others. */
    private double cost(final ItemId id, final Origin o, final long cold, final double mean, final long now) {
        final double one = mean(id, now) > 0 ? mean(id, now) : mean;
        final int busy = busy(id, now);
        final double wait = o.slots() > 0 ? Math.max(0, busy + 1 - o.slots()) * one / o.slots() : busy + o.load();
        final double near = o.slots() > 0 ? busy * one / o.slots() * 0.25 : 0;
        return (sour(id, now) ? 1e9 : 0) + (o.slots() > 0 ? one * (cold > 0 ? 2 : 1) + near + far(o) : 0) + wait;
    }

    /** The best first. {@code ages}: how long ago each was learned of. */
    List<ItemId> order(final Map<ItemId, Origin> all, final Map<ItemId, Long> ages, final long now) {
        final double mean = mean(all, now);
        final Map<ItemId, Double> costs = new HashMap<>();
        all.forEach((id, o) -> costs.put(id, cost(id, o, o.coldMs() - ages.getOrDefault(id, 0L), mean, now)));
        return all.keySet().stream()
                .sorted(Comparator.comparingDouble((ItemId id) -> costs.get(id))
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    void keep(final java.util.Set<ItemId> known) {
        stats.entrySet().removeIf(e -> e.getValue().mine == 0 && !known.contains(e.getKey()));
    }
}
