package org.rowanvalve.server.log;

import java.util.logging.LogManager;

/** Keeps the log handlers open until a graceful shutdown has logged its last entry. */
public final class DeferredLogManager extends LogManager {
    private static volatile boolean released;

    @Override
    public void reset() {
        if (released) {
            super.reset();
        }
    }

    public static void release() {
        released = true;
    }
}
