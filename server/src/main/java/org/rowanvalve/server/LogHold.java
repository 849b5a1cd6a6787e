package org.rowanvalve.server;

import java.util.logging.LogManager;

/** Keeps the handlers until the orderly stop has said its last word. */
public final class LogHold extends LogManager {
    private static volatile boolean over;

    @Override
    public void reset() {
        if (over) {
            super.reset();
        }
    }

    static void release() {
        over = true;
    }
}
