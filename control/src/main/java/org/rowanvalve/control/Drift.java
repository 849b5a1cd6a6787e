package org.rowanvalve.control;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Timing;

/** Compares this clock's pace with its peers' over a window of beats; the bound is over D+2M. */
public final class Drift {
    private static final long WINDOW = 20_000;
    private static final long LEAST = 8_000;
    private final Timing timing;
    private final Map<NodeId, ArrayDeque<Point>> points = new HashMap<>();

    private record Point(long own, long peer, long blur) {}

    public Drift(final Timing timing) {
        this.timing = timing;
    }

    public void sample(final NodeId peer, final long sent, final long got, final long tick) {
        final ArrayDeque<Point> q = points.computeIfAbsent(peer, k -> new ArrayDeque<>());
        final Point last = q.peekLast();
        if (last != null && tick < last.peer()) {
            q.clear();
        }
        q.addLast(new Point((sent + got) / 2, tick, (got - sent) / 2 + 1));
        while (q.peekLast().own() - q.peekFirst().own() > WINDOW) {
            q.removeFirst();
        }
    }

    /** The drift from one peer that the samples prove, in ms over D+2M; zero while too little is known. */
    public long proved(final NodeId peer) {
        final ArrayDeque<Point> q = points.get(peer);
        if (q == null || q.isEmpty()) {
            return 0;
        }
        final Point a = q.peekFirst();
        final Point b = q.peekLast();
        final long span = b.own() - a.own();
        if (span < LEAST) {
            return 0;
        }
        final long skew = Math.abs((b.peer() - a.peer()) - span) - a.blur() - b.blur();
        return Math.max(0, skew) * (timing.d() + 2 * timing.m()) / span;
    }

    /** Against most peers: one peer with a bad clock does not condemn this one. */
    public long worst() {
        final long[] all =
                points.keySet().stream().mapToLong(this::proved).sorted().toArray();
        return all.length == 0 ? 0 : all[(all.length - 1) / 2];
    }

    public boolean beyond() {
        return worst() >= timing.m() / 2;
    }

    public void clear() {
        points.clear();
    }
}
