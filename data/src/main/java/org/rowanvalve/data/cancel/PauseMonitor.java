package org.rowanvalve.data.cancel;

import org.rowanvalve.common.runtime.EventLoop;

/**
 * Sees that this process has gone on after a pause, during which messages have piled up unread, and those that take requests
 * back may be among them. It is asked before a request is sent, so that no job can run ahead of it.
 */
public final class PauseMonitor {
    /** How long after a pause a message that is read may have been sent before its end. */
    public static final long CATCH_UP_MS = 1000;

    private static final long CHECK_INTERVAL_MS = 100;
    private static final long MIN_PAUSE_MS = 250;
    private static final long NEVER_PAUSED = Long.MIN_VALUE / 2;

    private final EventLoop loop;
    private Runnable resumeListener = () -> {};
    private long lastCheckAt;
    private long resumedAt = NEVER_PAUSED;

    /** Checks from now on, also when nobody asks. */
    public PauseMonitor(final EventLoop loop) {
        this.loop = loop;
        lastCheckAt = loop.now();
        loop.scheduleRepeatedly(CHECK_INTERVAL_MS, this::check);
    }

    /** {@code listener} is run after each pause, before anything is sent. */
    public void onResume(final Runnable listener) {
        resumeListener = listener;
    }

    /** Looks whether the process has paused since the last check. */
    public void check() {
        final long now = loop.now();
        final boolean paused = now - lastCheckAt - CHECK_INTERVAL_MS >= MIN_PAUSE_MS;
        lastCheckAt = now;
        if (paused) {
            resumedAt = now;
            resumeListener.run();
        }
    }

    /** Whether what is read now may have been sent before the end of a pause. */
    public boolean isCatchingUp() {
        check();
        return loop.now() - resumedAt < CATCH_UP_MS;
    }
}
