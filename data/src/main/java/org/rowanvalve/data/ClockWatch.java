package org.rowanvalve.data;

import java.util.function.LongSupplier;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Timing;
import org.rowanvalve.control.Drift;

/** Ends a node's rights after a freeze, and while its clock's pace is beyond the margin. */
final class ClockWatch {
    private static final long EACH = 100;
    private final Loop loop;
    private final LongSupplier wall;
    private final Timing timing;
    private final Drift drift;
    private final Journal journal;
    private final Runnable woke;
    private final Runnable dropRights;
    private long last;
    private long lag;

    /** {@code woke}: run after a freeze, before the rights are dropped. */
    ClockWatch(
            final Loop loop,
            final LongSupplier wall,
            final Timing timing,
            final Drift drift,
            final Journal journal,
            final Runnable woke,
            final Runnable dropRights) {
        this.loop = loop;
        this.wall = wall;
        this.timing = timing;
        this.drift = drift;
        this.journal = journal;
        this.woke = woke;
        this.dropRights = dropRights;
    }

    void start() {
        last = loop.now();
        lag = wall.getAsLong() - last;
        loop.every(EACH, this::look);
    }

    /** A gap in this loop's own time, or a wall clock that ran on without it, is a freeze. */
    private void look() {
        final long now = loop.now();
        final long gone = now - last - EACH;
        final long shift = Math.abs(wall.getAsLong() - now - lag);
        if (gone >= timing.m() || shift >= timing.m()) {
            journal.add(Event.of(Code.WOKE, "gap", gone, "shift", shift));
            woke.run();
            drift.clear();
            dropRights.run();
        }
        if (drift.beyond()) {
            journal.add(Event.of(Code.DRIFT_HIGH, "bound", drift.worst()));
            dropRights.run();
        }
        last = now;
        lag = wall.getAsLong() - now;
    }
}
