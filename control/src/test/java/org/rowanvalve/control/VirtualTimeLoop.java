package org.rowanvalve.control;

import java.util.PriorityQueue;
import org.rowanvalve.common.runtime.EventLoop;

/** An event loop on virtual time, which advances only in {@link #run}. */
public final class VirtualTimeLoop implements EventLoop {
    private final PriorityQueue<ScheduledJob> queue = new PriorityQueue<>();
    private long now = 10_000;
    private long sequence;

    private record ScheduledJob(long dueAt, long sequence, Runnable job) implements Comparable<ScheduledJob> {
        @Override
        public int compareTo(final ScheduledJob other) {
            return dueAt != other.dueAt ? Long.compare(dueAt, other.dueAt) : Long.compare(sequence, other.sequence);
        }
    }

    @Override
    public long now() {
        return now;
    }

    @Override
    public void schedule(final long ms, final Runnable job) {
        queue.add(new ScheduledJob(now + Math.max(0, ms), sequence++, job));
    }

    public void run(final long ms) {
        final long end = now + ms;
        while (!queue.isEmpty() && queue.peek().dueAt() <= end) {
            now = queue.peek().dueAt();
            queue.poll().job().run();
        }
        now = end;
    }
}
