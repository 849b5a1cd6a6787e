package org.rowanvalve.data.node;

import java.util.function.LongSupplier;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.model.LeaseTimings;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.control.membership.ClockSkewMonitor;

/** Drops a node's leases after a pause of the process, and while its clock skew exceeds the allowed bound. */
final class FreezeDetector {
    private static final long INTERVAL_MS = 100;
    private final EventLoop loop;
    private final LongSupplier wallClock;
    private final LeaseTimings timings;
    private final ClockSkewMonitor clockSkew;
    private final EventJournal journal;
    private final Runnable onFreeze;
    private final Runnable dropLeases;
    private long lastCheckAt;
    private long wallOffset;

    /** {@code onFreeze} runs after a pause, before the leases are dropped. */
    FreezeDetector(
            final EventLoop loop,
            final LongSupplier wallClock,
            final LeaseTimings timings,
            final ClockSkewMonitor clockSkew,
            final EventJournal journal,
            final Runnable onFreeze,
            final Runnable dropLeases) {
        this.loop = loop;
        this.wallClock = wallClock;
        this.timings = timings;
        this.clockSkew = clockSkew;
        this.journal = journal;
        this.onFreeze = onFreeze;
        this.dropLeases = dropLeases;
    }

    void start() {
        lastCheckAt = loop.now();
        wallOffset = wallClock.getAsLong() - lastCheckAt;
        loop.scheduleRepeatedly(INTERVAL_MS, this::check);
    }

    /**
     * Detects a pause of the process: either the loop's clock shows a gap since the last check, or the wall clock and the
     * loop's clock have diverged.
     */
    private void check() {
        final long now = loop.now();
        final long gapMs = now - lastCheckAt - INTERVAL_MS;
        final long wallShiftMs = Math.abs(wallClock.getAsLong() - now - wallOffset);
        if (gapMs >= timings.marginMs() || wallShiftMs >= timings.marginMs()) {
            journal.add(Event.of(EventCode.WOKE, "gap", gapMs, "shift", wallShiftMs));
            onFreeze.run();
            clockSkew.clear();
            dropLeases.run();
        }
        if (clockSkew.exceedsBound()) {
            journal.add(Event.of(EventCode.DRIFT_HIGH, "bound", clockSkew.medianSkewMs()));
            dropLeases.run();
        }
        lastCheckAt = now;
        wallOffset = wallClock.getAsLong() - now;
    }
}
