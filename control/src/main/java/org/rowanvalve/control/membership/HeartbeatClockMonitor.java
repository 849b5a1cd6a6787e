package org.rowanvalve.control.membership;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.rowanvalve.common.model.LeaseTimings;
import org.rowanvalve.common.model.NodeId;

/**
 * Estimates the skew of other nodes' clocks from one-way heartbeats. A heartbeat can be delayed but never arrives
 * early, so only the least delayed heartbeats of the older and of the newer half of the window are compared. Heartbeats
 * that a partition delayed prove nothing.
 */
public final class HeartbeatClockMonitor {
    private static final long WINDOW_MS = 20_000;
    private static final long MIN_SPAN_MS = 4_000;
    private static final long TOLERANCE_MS = 200;
    /** A longer time without heartbeats counts as an interruption. */
    private static final long INTERRUPTION_MS = 1500;

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

    /**
     * Adds a heartbeat received at {@code now} on this node's clock and sent at {@code peerClock} on the sender's, in
     * ms.
     */
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

    private static Sample leastDelayed(final ArrayDeque<Sample> window, final long from, final long to) {
        return window.stream()
                .filter(sample -> sample.ownClock() >= from && sample.ownClock() < to)
                .min(java.util.Comparator.comparingLong(Sample::delay))
                .orElse(null);
    }

    /**
     * Returns the time of the first heartbeat after the last interruption. Heartbeats that the interruption delayed
     * arrive then, all at once.
     */
    private static long resumedAt(final ArrayDeque<Sample> window) {
        long last = window.peekFirst().ownClock();
        long resumedAt = last;
        for (final Sample sample : window) {
            if (sample.ownClock() - last > INTERRUPTION_MS) {
                resumedAt = sample.ownClock();
            }
            last = sample.ownClock();
        }
        return resumedAt;
    }

    /** Returns the drift that the heartbeats prove, in ms over D + 2M; 0 while the samples span too short a time. */
    public long provenSkewMs(final NodeId peer) {
        final ArrayDeque<Sample> window = samples.get(peer);
        if (window == null || window.isEmpty()) {
            return 0;
        }
        final long end = window.peekLast().ownClock();
        final long middle = (window.peekFirst().ownClock() + end) / 2;
        final Sample earlier = leastDelayed(window, Long.MIN_VALUE, middle);
        final Sample later = leastDelayed(window, middle, Long.MAX_VALUE);
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
