package org.rowanvalve.common;

/** The one thread of a node's core: time and jobs. {@code now} is monotonic milliseconds. */
public interface Loop {
    long now();

    void after(long ms, Runnable job);

    default void post(final Runnable job) {
        after(0, job);
    }

    default void every(final long ms, final Runnable job) {
        after(ms, () -> {
            job.run();
            every(ms, job);
        });
    }
}
