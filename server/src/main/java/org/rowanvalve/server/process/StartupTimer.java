package org.rowanvalve.server.process;

import java.util.LinkedHashMap;
import java.util.Map;

/** Measures the duration of each startup phase in ms, for the event that reports the end of the startup. */
public final class StartupTimer {
    private final Map<String, Long> durationsMs = new LinkedHashMap<>();
    private final long startNanos = System.nanoTime();
    private long phaseStartNanos = startNanos;

    public synchronized void endPhase(final String phase) {
        final long now = System.nanoTime();
        durationsMs.put(phase, (now - phaseStartNanos) / 1_000_000);
        phaseStartNanos = now;
    }

    public synchronized long totalMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    @Override
    public synchronized String toString() {
        return durationsMs.toString();
    }
}
