package org.rowanvalve.server.thread;

import org.jboss.logging.Logger;

/**
 * Runs the jobs of a thread that the process cannot do without. Whatever a job throws, also an error such as a stack
 * overflow or a momentary shortage of memory, is logged, and the thread goes on with its next job.
 */
public final class ThreadGuard {
    private static final Logger LOG = Logger.getLogger(ThreadGuard.class);

    private ThreadGuard() {}

    /** Runs the job and logs whatever it throws. */
    public static void run(final Runnable task) {
        try {
            task.run();
        } catch (final RuntimeException | Error e) {
            logFailure(e);
        }
    }

    /** Reports a defect; where even that fails, the thread still goes on. */
    public static void logFailure(final Throwable cause) {
        try {
            LOG.error("RV1199 job failed", cause);
        } catch (final RuntimeException | Error e) {
            return;
        }
    }
}
