package org.rowanvalve.data.cancel;

import org.rowanvalve.common.runtime.EventLoop;

/**
 * Detects pauses of this process. During a pause messages accumulate unread, and messages that cancel requests may be
 * among them. The monitor is also checked right before each request is sent, so that no job of the event loop can send
 * a request before the pause is detected.
 */
public final class PauseMonitor {
    /** The time after a pause during which messages that are read may have been sent before the end of the pause. */
    public static final long CATCH_UP_MS = 1000;

    private static final long CHECK_INTERVAL_MS = 100;
    private static final long MIN_PAUSE_MS = 250;
    private static final long NEVER_PAUSED = Long.MIN_VALUE / 2;

    private final EventLoop loop;
    private Runnable resumeListener = () -> {};
    private long lastCheckAt;
    private long resumedAt = NEVER_PAUSED;

    /** Starts a periodic check in {@code loop}. */
    public PauseMonitor(final EventLoop loop) {
        this.loop = loop;
        lastCheckAt = loop.now();
        loop.scheduleRepeatedly(CHECK_INTERVAL_MS, this::check);
    }

    /** Runs {@code listener} after each pause, before any request is sent. */
    public void onResume(final Runnable listener) {
        resumeListener = listener;
    }

    /** Checks whether the process has paused since the last check. */
    public void check() {
        final long now = loop.now();
        final boolean paused = now - lastCheckAt - CHECK_INTERVAL_MS >= MIN_PAUSE_MS;
        lastCheckAt = now;
        if (paused) {
            resumedAt = now;
            resumeListener.run();
        }
    }

    /** Whether messages that are read now may have been sent before the end of a pause. */
    public boolean isCatchingUp() {
        check();
        return loop.now() - resumedAt < CATCH_UP_MS;
    }
}
