package org.rowanvalve.control.membership;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.rowanvalve.common.model.LeaseTimings;
import org.rowanvalve.common.model.NodeId;

/**
 * Other nodes' clocks, judged by one-way heartbeats. A heartbeat may come late but never early, so only the promptest
 * of the older and of the newer half of the window are compared: heartbeats that a partition delayed prove nothing.
 */
public final class HeartbeatClockMonitor {
    private static final long WINDOW_MS = 20_000;
    private static final long MIN_SPAN_MS = 4_000;
    private static final long TOLERANCE_MS = 200;
    private final LeaseTimings timings;
    private final Map<NodeId, ArrayDeque<Sample>> samples = new HashMap<>();

    private record Sample(long ownClock, long peerClock) {
        long delay() {
            return ownClock - peerClock;
        }
    }

    public HeartbeatClockMonitor(final LeaseTimings timings) {
        this.timings = timings;
    }

    /** One heartbeat: {@code now} on this node's clock, {@code peerClock} on the sender's, both in ms. */
    public void addSample(final NodeId peer, final long now, final long peerClock) {
        final ArrayDeque<Sample> window = samples.computeIfAbsent(peer, k -> new ArrayDeque<>());
        if (!window.isEmpty() && peerClock < window.peekLast().peerClock()) {
            window.clear();
        }
        window.addLast(new Sample(now, peerClock));
        while (now - window.peekFirst().ownClock() > WINDOW_MS) {
            window.removeFirst();
        }
    }

    private static Sample promptest(final ArrayDeque<Sample> window, final long from, final long to) {
        return window.stream()
                .filter(sample -> sample.ownClock() >= from && sample.ownClock() < to)
                .min(java.util.Comparator.comparingLong(Sample::delay))
                .orElse(null);
    }

    /** When heartbeats were last received again after a silence; delayed ones arrive then, all at once. */
    private static long resumedAt(final ArrayDeque<Sample> window) {
        long last = window.peekFirst().ownClock();
        long resumedAt = last;
        for (final Sample sample : window) {
            if (sample.ownClock() - last > 1500) {
                resumedAt = sample.ownClock();
            }
            last = sample.ownClock();
        }
        return resumedAt;
    }

    /** The drift that the heartbeats prove, in ms over D + 2M; zero while too little is known. */
    public long provenSkewMs(final NodeId peer) {
        final ArrayDeque<Sample> window = samples.get(peer);
        if (window == null || window.isEmpty()) {
            return 0;
        }
        final long end = window.peekLast().ownClock();
        final long mid = (window.peekFirst().ownClock() + end) / 2;
        final Sample earlier = promptest(window, Long.MIN_VALUE, mid);
        final Sample later = promptest(window, mid, Long.MAX_VALUE);
        if (earlier == null
                || end - resumedAt(window) < MIN_SPAN_MS / 2
                || later.ownClock() - earlier.ownClock() < MIN_SPAN_MS
                || end - window.peekFirst().ownClock() < 2 * MIN_SPAN_MS) {
            return 0;
        }
        final long skew = Math.abs(later.delay() - earlier.delay()) - TOLERANCE_MS;
        return Math.max(0, skew)
                * (timings.leaseMs() + 2 * timings.marginMs())
                / (later.ownClock() - earlier.ownClock());
    }
}
