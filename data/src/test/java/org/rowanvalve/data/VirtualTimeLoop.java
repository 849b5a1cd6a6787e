package org.rowanvalve.data;

import java.util.PriorityQueue;
import org.rowanvalve.common.runtime.EventLoop;

/** A loop on virtual time. */
public final class VirtualTimeLoop implements EventLoop {
    private final PriorityQueue<Due> queue = new PriorityQueue<>();
    private long now = 10_000;
    private long seq;

    private record Due(long at, long seq, Runnable job) implements Comparable<Due> {
        @Override
        public int compareTo(final Due o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(seq, o.seq);
        }
    }

    @Override
    public long now() {
        return now;
    }

    @Override
    public void schedule(final long ms, final Runnable job) {
        queue.add(new Due(now + Math.max(0, ms), seq++, job));
    }

    /** Time passes, and nothing runs: what was due meanwhile is late. */
    public void pause(final long ms) {
        now += ms;
    }

    public void run(final long ms) {
        final long end = now + ms;
        while (!queue.isEmpty() && queue.peek().at() <= end) {
            now = Math.max(now, queue.peek().at());
            queue.poll().job().run();
        }
        now = end;
    }
}
