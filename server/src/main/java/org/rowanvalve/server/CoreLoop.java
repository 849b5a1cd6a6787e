package org.rowanvalve.server;

import java.util.PriorityQueue;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.rowanvalve.common.Loop;

/** The core duty: one thread, timers of its own, and one bounded ring through which all else comes in. */
public final class CoreLoop implements Loop {
    private final ArrayBlockingQueue<Runnable> ring = new ArrayBlockingQueue<>(8192);
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final long zero = System.nanoTime();
    private final Thread thread = new Thread(this::run, "core");
    private volatile boolean on = true;
    private volatile long told = Long.MIN_VALUE / 2;
    private volatile Runnable shed = () -> {};
    private long seq;
    private volatile boolean leaps;
    private volatile long leapt;
    private long mostLeapt;
    private Runnable spent = () -> {};

    private record Timer(long due, long seq, Runnable job) implements Comparable<Timer> {
        @Override
        public int compareTo(final Timer o) {
            final int c = Long.compare(due, o.due);
            return c != 0 ? c : Long.compare(seq, o.seq);
        }
    }

    /**
     * One whose clock jumps to the next timer whenever nothing else is to be done, by {@code most} ms in all: as long
     * as it jumps it never rests, so a wait for what never comes must not go on for ever. Then {@code spent} is run.
     */
    static CoreLoop leaping(final long most, final Runnable spent) {
        final CoreLoop loop = new CoreLoop();
        loop.leaps = true;
        loop.mostLeapt = most;
        loop.spent = spent;
        return loop;
    }

    /** From now on its clock runs as all do. */
    void still() {
        leaps = false;
    }

    public void start() {
        thread.start();
    }

    public void stop() {
        on = false;
        ring.offer(() -> {});
    }

    @Override
    public long now() {
        return (System.nanoTime() - zero) / 1_000_000 + leapt;
    }

    @Override
    public void after(final long ms, final Runnable job) {
        if (Thread.currentThread() == thread || !thread.isAlive()) {
            timers.add(new Timer(now() + ms, seq++, job));
        } else {
            put(() -> timers.add(new Timer(now() + ms, seq++, job)));
        }
    }

    @Override
    public void post(final Runnable job) {
        if (Thread.currentThread() == thread) {
            after(0, job);
        } else {
            put(job);
        }
    }

    private void put(final Runnable job) {
        try {
            ring.put(job);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** For jobs that may be shed: false when the ring is full. */
    public boolean offer(final Runnable job) {
        if (ring.remainingCapacity() > 1024 && ring.offer(job)) {
            return true;
        }
        final long t = now();
        if (t - told > 1000) {
            told = t;
            shed.run();
        }
        return false;
    }

    /** Hears, at most once a second, that jobs are being shed. */
    public void onShed(final Runnable job) {
        shed = job;
    }

    private void run() {
        while (on) {
            try {
                final Timer top = timers.peek();
                final long due = top == null ? 1000 : top.due() - now();
                final boolean leap = leaps && top != null && due > 0 && ring.isEmpty();
                if (leap) {
                    leap(due);
                }
                final long rest = leap ? 0 : due;
                final Runnable job = rest > 0 ? ring.poll(rest, TimeUnit.MILLISECONDS) : ring.poll();
                if (job != null) {
                    Guard.run(job);
                }
                for (Timer t = timers.peek(); t != null && t.due() <= now(); t = timers.peek()) {
                    timers.poll();
                    Guard.run(t.job());
                    if (!ring.isEmpty()) {
                        break;
                    }
                }
            } catch (final InterruptedException e) {
                return;
            }
        }
    }

    private void leap(final long ms) {
        leapt += ms;
        if (leapt >= mostLeapt) {
            leaps = false;
            Guard.run(spent);
        }
    }
}
