package org.rowanvalve.server;

import org.jboss.logging.Logger;

/**
 * Runs the jobs of a thread that the process cannot do without. Whatever a job throws, also an error such as a stack
 * that is too deep or memory that is short for a moment, is logged, and the thread goes on with its next job.
 */
final class Guard {
    private static final Logger LOG = Logger.getLogger(Guard.class);

    private Guard() {}

    static void run(final Runnable job) {
        try {
            job.run();
        } catch (final RuntimeException | Error e) {
            failed(e);
        }
    }

    /** Tells of a defect; where even that fails, the thread still goes on. */
    static void failed(final Throwable cause) {
        try {
            LOG.error("RV1199 job failed", cause);
        } catch (final RuntimeException | Error e) {
            return;
        }
    }
}
