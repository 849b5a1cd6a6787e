package org.rowanvalve.server.log;

import java.util.logging.LogManager;

/** Keeps the log handlers open until a graceful shutdown has logged its last entry. */
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
