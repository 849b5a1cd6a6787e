package org.rowanvalve.server.process;

import java.util.LinkedHashMap;
import java.util.Map;

/** How long each part of a start took, in ms, as a fact of the event that ends it. */
public final class StartupTimer {
    private final Map<String, Long> done = new LinkedHashMap<>();
    private final long from = System.nanoTime();
    private long last = from;

    public synchronized void end(final String part) {
        final long now = System.nanoTime();
        done.put(part, (now - last) / 1_000_000);
        last = now;
    }

    public synchronized long whole() {
        return (System.nanoTime() - from) / 1_000_000;
    }

    @Override
    public synchronized String toString() {
        return done.toString();
    }
}
