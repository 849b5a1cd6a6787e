package org.rowanvalve.testkit.fleet;

import java.util.concurrent.ThreadFactory;

/** Threads that do not keep the test kit's process alive. */
public final class DaemonThreads {
    private DaemonThreads() {}

    /** All of its threads have one name. */
    public static ThreadFactory named(final String name) {
        return task -> {
            final Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }
}
