package org.rowanvalve.common.runtime;

/** The one thread of a node's core: time and jobs. {@code now} is monotonic milliseconds. */
public interface EventLoop {
    long now();

    void schedule(long ms, Runnable job);

    default void execute(final Runnable job) {
        schedule(0, job);
    }

    default void scheduleRepeatedly(final long ms, final Runnable job) {
        schedule(ms, () -> {
            job.run();
            scheduleRepeatedly(ms, job);
        });
    }
}
