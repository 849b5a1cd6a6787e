package org.rowanvalve.data.origin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.config.ServiceKind;

class OriginLoadTest {
    private static final ItemId A = new ItemId(ItemKind.ORIGIN, "a");
    private static final ItemId B = new ItemId(ItemKind.ORIGIN, "b");
    private static final ItemId C = new ItemId(ItemKind.ORIGIN, "c");
    private final OriginLoad pool = new OriginLoad("coast/one");

    private static Origin origin(final String cell, final int slots, final long cold) {
        return new Origin("s", "10.0.0.1", 80, "x", ServiceKind.OPEN, 0, 0, false, 1, cell, slots, cold);
    }

    private List<ItemId> order(final Map<ItemId, Origin> all, final long now) {
        return pool.preferred(all, Map.of(), now);
    }

    @Test
    void theNearerTheLessBusyAndTheWarmerGoFirst() {
        final Map<ItemId, Origin> all = new HashMap<>(
                Map.of(A, origin("inland/two", 2, 0), B, origin("coast/two", 2, 0), C, origin("coast/one", 2, 0)));
        assertEquals(List.of(C, B, A), order(all, 0));
        pool.onSend(C, 0);
        pool.onSend(C, 0);
        assertEquals(B, order(all, 0).get(0), "a wait costs more than the next zone");
        all.put(B, origin("coast/two", 2, 5000));
        pool.onEnd(C, 0, 60, true, OriginTransport.Load.NONE);
        assertEquals(C, order(all, 60).get(0));
        assertEquals(0, pool.distanceMs(origin("", 2, 0)));
    }

    @Test
    void slotsAreSharedWithWhatOtherNodesTell() {
        final Origin origin = origin("coast/one", 2, 0);
        assertTrue(pool.hasRoom(A, origin, 0));
        pool.onSend(A, 0);
        pool.onReport(NodeId.of("n2"), Map.of("a", 2), 0);
        assertEquals(3, pool.inFlight(A, 0));
        assertFalse(pool.hasRoom(A, origin, 0));
        pool.onReport(NodeId.of("n2"), Map.of(), 10);
        assertTrue(pool.hasRoom(A, origin, 10));
        pool.onReport(NodeId.of("n2"), Map.of("a", 2), 20);
        assertTrue(pool.hasRoom(A, origin, 1600), "what a silent node told is forgotten");
        assertTrue(pool.hasRoom(B, origin("", 0, 0), 0), "one that does not tell its slots has room");
        assertEquals(Map.of("a", 1), pool.ownCounts());
    }

    @Test
    void aLoadThatTheOriginTellsCountsForAMoment() {
        final Origin origin = origin("coast/one", 2, 0);
        pool.onSend(A, 0);
        pool.onEnd(A, 0, 50, true, new OriginTransport.Load(2, 3, 2));
        assertEquals(5, pool.inFlight(A, 60));
        assertFalse(pool.hasRoom(A, origin, 60));
        assertEquals(0, pool.inFlight(A, 460));
    }

    @Test
    void oneThatFailedComesLastLongerEachTimeAndIsTriedByOneAtATime() {
        final Map<ItemId, Origin> all = Map.of(A, origin("coast/one", 2, 0), B, origin("inland/two", 2, 0));
        pool.onSend(A, 0);
        pool.onEnd(A, 0, 10, false, OriginTransport.Load.NONE);
        pool.onFailure(A, 10);
        assertEquals(List.of(B, A), order(all, 11));
        assertTrue(pool.isEjected(A, 1009));
        assertFalse(pool.isEjected(A, 1010));
        pool.onSend(A, 1010);
        assertTrue(pool.isEjected(A, 1011), "one request tries it");
        pool.onEnd(A, 1010, 1050, false, OriginTransport.Load.NONE);
        pool.onFailure(A, 1050);
        assertTrue(pool.isEjected(A, 3049));
        assertFalse(pool.isEjected(A, 3050));
        pool.onSend(A, 3050);
        pool.onEnd(A, 3050, 3100, true, OriginTransport.Load.NONE);
        pool.onSend(A, 3100);
        assertFalse(pool.isEjected(A, 3101), "it answered");
    }

    @Test
    void theOldestUnansweredRequestTellsHowSlowAnOriginIs() {
        pool.onSend(A, 0);
        pool.onEnd(A, 0, 40, true, OriginTransport.Load.NONE);
        assertEquals(40, pool.meanMs(A, 100));
        pool.onSend(A, 100);
        pool.onSend(A, 100);
        assertEquals(900, pool.meanMs(A, 1000));
        pool.onEnd(A, 100, 1000, false, OriginTransport.Load.NONE);
        assertEquals(900, pool.meanMs(A, 1000), "the other one of that moment still waits");
        pool.onEnd(A, 100, 1000, false, OriginTransport.Load.NONE);
        assertEquals(40, pool.meanMs(A, 1000));
        assertEquals(60, new OriginLoad("x").meanMs(Map.of(A, origin("", 2, 0)), 0), "a guess where nothing is known");
    }

    @Test
    void whatIsUnknownAndIdleIsForgotten() {
        pool.onSend(A, 0);
        pool.onFailure(B, 0);
        pool.retain(Set.of());
        assertEquals(1, pool.ownCount(A));
        assertFalse(pool.isEjected(B, 1));
    }
}
