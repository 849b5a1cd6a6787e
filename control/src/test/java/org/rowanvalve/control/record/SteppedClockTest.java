package org.rowanvalve.control.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against keys that are forgotten within their window because the time of day was stepped. */
class SteppedClockTest extends KeyedRecordFixture {
    private static final long HOUR_MS = 3_600_000;

    @Test
    void recordIsKeptForItsWindowThoughTheTimeOfDayIsSteppedAhead() throws Exception {
        final KeyedRecordStore store = replica(A, new MemoryStorage(), false);
        fill(store, 0, 1, 10);
        loop.run(1000);
        wallClockStepMs = HOUR_MS;
        loop.run(59_000);
        assertEquals(1, store.size());
    }

    @Test
    void recordIsNotKeptLongerThoughTheTimeOfDayIsSteppedBack() throws Exception {
        final KeyedRecordStore store = replica(A, new MemoryStorage(), false);
        fill(store, 0, 1, 10);
        loop.run(1000);
        wallClockStepMs = -HOUR_MS;
        loop.run(retention.retentionMs() + 2000);
        assertEquals(0, store.size());
    }

    /** A replica that lost its records must not count before they are copied or their window has passed. */
    @Test
    void replicaWithoutItsRecordsStaysIncompleteThoughTheTimeOfDayIsSteppedAhead() throws Exception {
        final KeyedRecordStore store = replica(A, new MemoryStorage(), true);
        loop.run(1000);
        wallClockStepMs = HOUR_MS;
        loop.run(1000);
        assertTrue(store.isIncomplete());
    }

    @Test
    void copiedRecordIsKeptForItsWindowThoughTheTimeOfDayOfItsSourceIsStepped() throws Exception {
        final KeyedRecordStore source = replica(B, new MemoryStorage(), false);
        replica(C, new MemoryStorage(), false);
        fill(source, 0, 1, 10);
        wallClockStepMs = HOUR_MS;
        final KeyedRecordStore store = replica(A, new MemoryStorage(), true);
        loop.run(55_000);
        assertEquals(1, store.size());
    }
}
