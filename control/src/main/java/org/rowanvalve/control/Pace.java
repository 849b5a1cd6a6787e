package org.rowanvalve.control;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Timing;

/**
 * Others' clocks, judged by one-way beats. A beat may come late but never early, so only the promptest of the older
 * and of the newer half of the window are compared: beats that a cut held up prove nothing.
 */
public final class Pace {
    private static final long WINDOW = 20_000;
    private static final long LEAST = 4_000;
    private static final long BLUR = 200;
    private final Timing timing;
    private final Map<NodeId, ArrayDeque<Point>> points = new HashMap<>();

    private record Point(long own, long peer) {
        long late() {
            return own - peer;
        }
    }

    public Pace(final Timing timing) {
        this.timing = timing;
    }

    public void hear(final NodeId peer, final long now, final long tick) {
        final ArrayDeque<Point> q = points.computeIfAbsent(peer, k -> new ArrayDeque<>());
        if (!q.isEmpty() && tick < q.peekLast().peer()) {
            q.clear();
        }
        q.addLast(new Point(now, tick));
        while (now - q.peekFirst().own() > WINDOW) {
            q.removeFirst();
        }
    }

    private static Point prompt(final ArrayDeque<Point> q, final long from, final long to) {
        return q.stream()
                .filter(p -> p.own() >= from && p.own() < to)
                .min(java.util.Comparator.comparingLong(Point::late))
                .orElse(null);
    }

    /** When beats were last heard again after a silence; what was held up arrives then, all at once. */
    private static long resumed(final ArrayDeque<Point> q) {
        long last = q.peekFirst().own();
        long at = last;
        for (final Point p : q) {
            if (p.own() - last > 1500) {
                at = p.own();
            }
            last = p.own();
        }
        return at;
    }

    /** The drift that the beats prove, in ms over D+2M; zero while too little is known. */
    public long proved(final NodeId peer) {
        final ArrayDeque<Point> q = points.get(peer);
        if (q == null || q.isEmpty()) {
            return 0;
        }
        final long end = q.peekLast().own();
        final long mid = (q.peekFirst().own() + end) / 2;
        final Point a = prompt(q, Long.MIN_VALUE, mid);
        final Point b = prompt(q, mid, Long.MAX_VALUE);
        if (a == null
                || end - resumed(q) < LEAST / 2
                || b.own() - a.own() < LEAST
                || end - q.peekFirst().own() < 2 * LEAST) {
            return 0;
        }
        final long skew = Math.abs(b.late() - a.late()) - BLUR;
        return Math.max(0, skew) * (timing.d() + 2 * timing.m()) / (b.own() - a.own());
    }
}
