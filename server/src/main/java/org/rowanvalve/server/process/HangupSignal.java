package org.rowanvalve.server.process;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import sun.misc.Signal;

/**
 * SIGHUP makes a process read its options again. Without a handler the JVM ends on it, so each program calls {@link
 * #install} before anything else; a signal that arrives before anybody waits for it is kept.
 */
public final class HangupSignal {
    private static final Semaphore RECEIVED = new Semaphore(0);

    private HangupSignal() {}

    /** Handles SIGHUP from now on; without it the JVM would end. */
    public static void install() {
        Signal.handle(new Signal("HUP"), signal -> RECEIVED.release());
    }

    /** Waits for the next one; true when one came, and then all that came so far count as one. */
    static boolean await(final long ms) throws InterruptedException {
        if (!RECEIVED.tryAcquire(ms, TimeUnit.MILLISECONDS)) {
            return false;
        }
        RECEIVED.drainPermits();
        return true;
    }
}
