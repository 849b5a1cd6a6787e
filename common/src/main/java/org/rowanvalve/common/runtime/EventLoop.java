package org.rowanvalve.common.runtime;

/**
 * The single thread of a node's control and data plane, with a monotonic clock and scheduled jobs. No job may block.
 */
public interface EventLoop {
    /** Returns the monotonic time in ms, which is unrelated to the time of day. */
    long now();

    /** Runs {@code job} in this thread after {@code ms} milliseconds. */
    void schedule(long ms, Runnable job);

    default void execute(final Runnable job) {
        schedule(0, job);
    }

    /**
     * Runs {@code job} repeatedly, with {@code ms} milliseconds between the end of one run and the start of the next.
     */
    default void scheduleRepeatedly(final long ms, final Runnable job) {
        schedule(ms, () -> {
            job.run();
            scheduleRepeatedly(ms, job);
        });
    }
}
