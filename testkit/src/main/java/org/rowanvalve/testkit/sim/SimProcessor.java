package org.rowanvalve.testkit.sim;

/**
 * A machine's processor: each message takes time, and messages wait for those before them. Without a cost, a message is
 * handled at once.
 */
final class SimProcessor {
    private static final long MICROS_PER_MS = 1000;
    private static final int BYTES_PER_KILOBYTE = 1024;
    private final VirtualTime time;
    private long microsPerMessage;
    private long microsPerKilobyte;
    private long busyUntilMicros;

    SimProcessor(final VirtualTime time) {
        this.time = time;
    }

    /** From now on a message takes this long, in microseconds, and as much again for each kilobyte of its frame. */
    void cost(final long perMessageMicros, final long perKilobyteMicros) {
        microsPerMessage = perMessageMicros;
        microsPerKilobyte = perKilobyteMicros;
    }

    /** Nothing waits any more, as after an end of the process. */
    void clear() {
        busyUntilMicros = 0;
    }

    /** Takes a message in; the time until it has been handled, in ms. */
    long delayMs(final int frameBytes) {
        final long nowMicros = time.now() * MICROS_PER_MS;
        final long cost = microsPerMessage + microsPerKilobyte * frameBytes / BYTES_PER_KILOBYTE;
        busyUntilMicros = Math.max(nowMicros, busyUntilMicros) + cost;
        return (busyUntilMicros - nowMicros) / MICROS_PER_MS;
    }
}
