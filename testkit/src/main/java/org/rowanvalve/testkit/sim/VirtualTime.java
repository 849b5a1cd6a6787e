package org.rowanvalve.testkit.sim;

import java.util.PriorityQueue;
import java.util.Random;
import org.rowanvalve.common.runtime.EventLoop;

/** Virtual time: one queue of events, one seed. */
public final class VirtualTime {
    private final PriorityQueue<Due> queue = new PriorityQueue<>();
    private final Random random;
    private long now;
    private long seq;
    private long count;
    private long serial;

    private record Due(long at, long seq, Runnable job) implements Comparable<Due> {
        @Override
        public int compareTo(final Due o) {
            final int c = Long.compare(at, o.at);
            return c != 0 ? c : Long.compare(seq, o.seq);
        }
    }

    public VirtualTime(final long seed) {
        random = new Random(seed);
    }

    public long now() {
        return now;
    }

    /** A loop of this time without a machine around it. */
    public EventLoop loop() {
        return new EventLoop() {
            @Override
            public long now() {
                return now;
            }

            @Override
            public void schedule(final long ms, final Runnable job) {
                in(ms, job);
            }
        };
    }

    public Random dice() {
        return random;
    }

    /** A number never given before in this run. */
    public long serial() {
        return ++serial;
    }

    public long count() {
        return count;
    }

    public void at(final long when, final Runnable job) {
        queue.add(new Due(Math.max(when, now), seq++, job));
    }

    public void in(final long ms, final Runnable job) {
        at(now + ms, job);
    }

    public void run(final long until) {
        while (!queue.isEmpty() && queue.peek().at() <= until) {
            final Due d = queue.poll();
            now = d.at();
            count++;
            d.job().run();
        }
        now = until;
    }
}
