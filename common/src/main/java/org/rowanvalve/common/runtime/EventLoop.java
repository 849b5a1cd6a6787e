package org.rowanvalve.common.runtime;

/** The one thread of a node's control and data plane: monotonic time in ms, and jobs. No job may block. */
public interface EventLoop {
    /** Monotonic time in ms, without relation to the time of day. */
    long now();

    /** Runs {@code job} in this thread after {@code ms} milliseconds. */
    void schedule(long ms, Runnable job);

    default void execute(final Runnable job) {
        schedule(0, job);
    }

    /** Runs {@code job} again and again, {@code ms} milliseconds after each end of it. */
    default void scheduleRepeatedly(final long ms, final Runnable job) {
        schedule(ms, () -> {
            job.run();
            scheduleRepeatedly(ms, job);
        });
    }
}
