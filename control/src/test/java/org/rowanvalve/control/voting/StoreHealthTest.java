package org.rowanvalve.control.voting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;

/** A write is complete at one store alone only after the other store has been silent for the time-out. */
class StoreHealthTest {
    private static final NodeId A = NodeId.of("st1");
    private static final NodeId B = NodeId.of("st2");
    private final long[] now = {10_000};
    private final EventLoop loop = new EventLoop() {
        @Override
        public long now() {
            return now[0];
        }

        @Override
        public void schedule(final long ms, final Runnable job) {
            throw new IllegalStateException();
        }
    };
    private final StoreHealth storeHealth = new StoreHealth(
            new Quorum(List.of(A, B, NodeId.of("sh1")), Set.of(A, B)), loop, new EventJournal(loop, 10));

    @Test
    void bothStoresMustSyncWhileBothRespond() {
        assertFalse(storeHealth.allReachableSynced(Set.of(A), 399));
        assertTrue(storeHealth.allReachableSynced(Set.of(A, B), 0));
        assertTrue(storeHealth.allReachableSynced(Set.of(A), 400));
        assertEquals(Set.of(B), storeHealth.silentStores());
        assertTrue(storeHealth.allReachableSynced(Set.of(A), 0), "a silent store is not waited for again");
        storeHealth.recordSync(B);
        assertFalse(storeHealth.allReachableSynced(Set.of(A), 0));
    }

    @Test
    void missedHeartbeatsCountUnlessTheStoreRespondedSince() {
        storeHealth.recordMissed(B, 9500);
        assertTrue(storeHealth.allReachableSynced(Set.of(A), 0), "silent since the heartbeat was sent");
        now[0] = 9700;
        storeHealth.recordSync(B);
        now[0] = 10_000;
        storeHealth.recordMissed(B, 9500);
        assertFalse(storeHealth.allReachableSynced(Set.of(A), 0), "the store responded after that heartbeat was sent");
        storeHealth.markSilent(B);
        assertTrue(storeHealth.allReachableSynced(Set.of(A), 0), "the store reported that its disk is unavailable");
    }
}
