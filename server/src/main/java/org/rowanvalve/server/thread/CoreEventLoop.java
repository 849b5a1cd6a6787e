package org.rowanvalve.server.thread;

import java.util.PriorityQueue;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.rowanvalve.common.runtime.EventLoop;

/** The event loop of a node: one thread, its timers, and one bounded queue through which everything else arrives. */
public final class CoreEventLoop implements EventLoop {
    private final ArrayBlockingQueue<Runnable> taskQueue = new ArrayBlockingQueue<>(8192);
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final long startedAtNanos = System.nanoTime();
    private final Thread thread = new Thread(this::run, "core");
    private volatile boolean running = true;
    private volatile long lastShedReportMs = Long.MIN_VALUE / 2;
    private volatile Runnable shedListener = () -> {};
    private long timerSequence;
    private volatile boolean skipsIdleTime;
    private volatile long skippedMs;
    private long maxSkippedMs;
    private Runnable onSkipLimit = () -> {};

    private record Timer(long dueAt, long sequence, Runnable task) implements Comparable<Timer> {
        @Override
        public int compareTo(final Timer o) {
            final int c = Long.compare(dueAt, o.dueAt);
            return c != 0 ? c : Long.compare(sequence, o.sequence);
        }
    }

    /**
     * One whose clock jumps to the next timer whenever nothing else is to be done, by {@code maxSkippedMs} ms in all: as long
     * as it jumps it never rests, so a wait for what never comes must not go on for ever. Then {@code spent} is run.
     */
    public static CoreEventLoop skippingIdleTime(final long maxSkippedMs, final Runnable spent) {
        final CoreEventLoop loop = new CoreEventLoop();
        loop.skipsIdleTime = true;
        loop.maxSkippedMs = maxSkippedMs;
        loop.onSkipLimit = spent;
        return loop;
    }

    /** From now on its clock runs as all do. */
    public void runInRealTime() {
        skipsIdleTime = false;
    }

    public void start() {
        thread.start();
    }

    /** Ends the thread after the job that it is running. */
    public void stop() {
        running = false;
        taskQueue.offer(() -> {});
    }

    @Override
    public long now() {
        return (System.nanoTime() - startedAtNanos) / 1_000_000 + skippedMs;
    }

    @Override
    public void schedule(final long ms, final Runnable task) {
        if (Thread.currentThread() == thread || !thread.isAlive()) {
            timers.add(new Timer(now() + ms, timerSequence++, task));
        } else {
            enqueue(() -> timers.add(new Timer(now() + ms, timerSequence++, task)));
        }
    }

    @Override
    public void execute(final Runnable task) {
        if (Thread.currentThread() == thread) {
            schedule(0, task);
        } else {
            enqueue(task);
        }
    }

    private void enqueue(final Runnable task) {
        try {
            taskQueue.put(task);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** For jobs that may be shed: false when the ring is full. */
    public boolean offer(final Runnable task) {
        if (taskQueue.remainingCapacity() > 1024 && taskQueue.offer(task)) {
            return true;
        }
        final long now = now();
        if (now - lastShedReportMs > 1000) {
            lastShedReportMs = now;
            shedListener.run();
        }
        return false;
    }

    /** Called, at most once a second, when jobs are being shed. */
    public void onShed(final Runnable task) {
        shedListener = task;
    }

    private void run() {
        while (running) {
            try {
                final Timer nextTimer = timers.peek();
                final long delayMs = nextTimer == null ? 1000 : nextTimer.dueAt() - now();
                final boolean skipping = skipsIdleTime && nextTimer != null && delayMs > 0 && taskQueue.isEmpty();
                if (skipping) {
                    skip(delayMs);
                }
                final long waitMs = skipping ? 0 : delayMs;
                final Runnable task = waitMs > 0 ? taskQueue.poll(waitMs, TimeUnit.MILLISECONDS) : taskQueue.poll();
                if (task != null) {
                    ThreadGuard.run(task);
                }
                for (Timer now = timers.peek(); now != null && now.dueAt() <= now(); now = timers.peek()) {
                    timers.poll();
                    ThreadGuard.run(now.task());
                    if (!taskQueue.isEmpty()) {
                        break;
                    }
                }
            } catch (final InterruptedException e) {
                return;
            }
        }
    }

    private void skip(final long ms) {
        skippedMs += ms;
        if (skippedMs >= maxSkippedMs) {
            skipsIdleTime = false;
            ThreadGuard.run(onSkipLimit);
        }
    }
}
