package org.rowanvalve.server.log;

import java.util.logging.LogManager;

/** Keeps the handlers until the orderly stop has said its last word. */
public final class DeferredLogManager extends LogManager {
    private static volatile boolean over;

    @Override
    public void reset() {
        if (over) {
            super.reset();
        }
    }

    public static void release() {
        over = true;
    }
}
