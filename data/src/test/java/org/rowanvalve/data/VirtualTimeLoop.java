package org.rowanvalve.data;

import java.util.PriorityQueue;
import org.rowanvalve.common.runtime.EventLoop;

/** An event loop on virtual time. */
public final class VirtualTimeLoop implements EventLoop {
    private final PriorityQueue<ScheduledJob> queue = new PriorityQueue<>();
    private long now = 10_000;
    private long sequence;

    private record ScheduledJob(long at, long sequence, Runnable job) implements Comparable<ScheduledJob> {
        @Override
        public int compareTo(final ScheduledJob other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
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

    /** Advances the time without running any job, as a pause of the process does; jobs that become due run late. */
    public void pause(final long ms) {
        now += ms;
    }

    /** Advances the time by {@code ms} and runs the jobs that become due. */
    public void run(final long ms) {
        final long end = now + ms;
        while (!queue.isEmpty() && queue.peek().at() <= end) {
            now = Math.max(now, queue.peek().at());
            queue.poll().job().run();
        }
        now = end;
    }
}
