package org.rowanvalve.server.process;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import sun.misc.Signal;

/**
 * Handles SIGHUP, which makes a process reload its options. The JVM terminates on an unhandled SIGHUP, so each program
 * calls {@link #install} before anything else. A signal that arrives while no thread waits for one is remembered.
 */
public final class HangupSignal {
    private static final Semaphore RECEIVED = new Semaphore(0);

    private HangupSignal() {}

    /** Installs the signal handler. */
    public static void install() {
        Signal.handle(new Signal("HUP"), signal -> RECEIVED.release());
    }

    /** Waits for a signal and returns whether one arrived. All signals that have arrived so far count as one. */
    static boolean await(final long timeoutMs) throws InterruptedException {
        if (!RECEIVED.tryAcquire(timeoutMs, TimeUnit.MILLISECONDS)) {
            return false;
        }
        RECEIVED.drainPermits();
        return true;
    }
}
