package org.rowanvalve.control.membership;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.rowanvalve.common.model.LeaseTimings;
import org.rowanvalve.common.model.NodeId;

/**
 * Compares the rate of this node's clock with the rates of its peers' clocks over a window of heartbeats. Skew is given
 * as the drift over D + 2M, the time after which a lease may be granted to another holder.
 */
public final class ClockSkewMonitor {
    private static final long WINDOW_MS = 20_000;
    private static final long MIN_SPAN_MS = 8_000;
    private final LeaseTimings timings;
    private final Map<NodeId, ArrayDeque<Sample>> samples = new HashMap<>();

    private record Sample(long ownClock, long peerClock, long uncertainty) {}

    public ClockSkewMonitor(final LeaseTimings timings) {
        this.timings = timings;
    }

    /**
     * Adds a heartbeat and its response.
     *
     * @param sentAt the time of the heartbeat on this node's monotonic clock, in ms
     * @param receivedAt the time of the response on this node's monotonic clock, in ms
     * @param peerClock the peer's monotonic clock when it responded, in ms
     */
    public void addSample(final NodeId peer, final long sentAt, final long receivedAt, final long peerClock) {
        final ArrayDeque<Sample> window = samples.computeIfAbsent(peer, k -> new ArrayDeque<>());
        final Sample last = window.peekLast();
        if (last != null && peerClock < last.peerClock()) {
            window.clear();
        }
        window.addLast(new Sample((sentAt + receivedAt) / 2, peerClock, (receivedAt - sentAt) / 2 + 1));
        while (window.peekLast().ownClock() - window.peekFirst().ownClock() > WINDOW_MS) {
            window.removeFirst();
        }
    }

    /**
     * Returns the drift from one peer that the samples prove, in ms over D + 2M; 0 while the samples span too short a
     * time.
     */
    public long provenSkewMs(final NodeId peer) {
        final ArrayDeque<Sample> window = samples.get(peer);
        if (window == null || window.isEmpty()) {
            return 0;
        }
        final Sample oldest = window.peekFirst();
        final Sample newest = window.peekLast();
        final long span = newest.ownClock() - oldest.ownClock();
        if (span < MIN_SPAN_MS) {
            return 0;
        }
        final long skew = Math.abs((newest.peerClock() - oldest.peerClock()) - span)
                - oldest.uncertainty()
                - newest.uncertainty();
        return Math.max(0, skew) * (timings.leaseMs() + 2 * timings.marginMs()) / span;
    }

    /**
     * Returns the median drift from all peers, so that one peer with a faulty clock does not discredit this node's
     * clock.
     */
    public long medianSkewMs() {
        final long[] skews =
                samples.keySet().stream().mapToLong(this::provenSkewMs).sorted().toArray();
        return skews.length == 0 ? 0 : skews[(skews.length - 1) / 2];
    }

    /** Whether this node's clock drifts by half of M or more from most of its peers. */
    public boolean exceedsBound() {
        return medianSkewMs() >= timings.marginMs() / 2;
    }

    public void clear() {
        samples.clear();
    }
}
