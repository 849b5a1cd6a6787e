package org.rowanvalve.data;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.control.Origin;

class PoolTest {
    private static final ItemId A = new ItemId(Kind.ORIGIN, "a");
    private static final ItemId B = new ItemId(Kind.ORIGIN, "b");
    private static final ItemId C = new ItemId(Kind.ORIGIN, "c");
    private final OriginLoad pool = new OriginLoad("coast/one");

    private static Origin origin(final String cell, final int slots, final long cold) {
        return new Origin("s", "10.0.0.1", 80, "x", "open", 0, 0, false, 1, cell, slots, cold);
    }

    private List<ItemId> order(final Map<ItemId, Origin> all, final long now) {
        return pool.order(all, Map.of(), now);
    }

    @Test
    void theNearerTheLessBusyAndTheWarmerGoFirst() {
        final Map<ItemId, Origin> all = new HashMap<>(
                Map.of(A, origin("inland/two", 2, 0), B, origin("coast/two", 2, 0), C, origin("coast/one", 2, 0)));
        assertEquals(List.of(C, B, A), order(all, 0));
        pool.begin(C, 0);
        pool.begin(C, 0);
        assertEquals(B, order(all, 0).get(0), "a wait costs more than the next zone");
        all.put(B, origin("coast/two", 2, 5000));
        pool.end(C, 0, 60, true, Port.Load.NONE);
        assertEquals(C, order(all, 60).get(0));
        assertEquals(0, pool.far(origin("", 2, 0)));
    }

    @Test
    void slotsAreSharedWithWhatOtherNodesTell() {
        final Origin o = origin("coast/one", 2, 0);
        assertTrue(pool.room(A, o, 0));
        pool.begin(A, 0);
        pool.told(NodeId.of("n2"), Map.of("a", 2), 0);
        assertEquals(3, pool.busy(A, 0));
        assertFalse(pool.room(A, o, 0));
        pool.told(NodeId.of("n2"), Map.of(), 10);
        assertTrue(pool.room(A, o, 10));
        pool.told(NodeId.of("n2"), Map.of("a", 2), 20);
        assertTrue(pool.room(A, o, 1600), "what a silent node told is forgotten");
        assertTrue(pool.room(B, origin("", 0, 0), 0), "one that does not tell its slots has room");
        assertEquals(Map.of("a", 1), pool.mine());
    }

    @Test
    void aLoadThatTheOriginTellsCountsForAMoment() {
        final Origin o = origin("coast/one", 2, 0);
        pool.begin(A, 0);
        pool.end(A, 0, 50, true, new Port.Load(2, 3, 2));
        assertEquals(5, pool.busy(A, 60));
        assertFalse(pool.room(A, o, 60));
        assertEquals(0, pool.busy(A, 460));
    }

    @Test
    void oneThatFailedComesLastLongerEachTimeAndIsTriedByOneAtATime() {
        final Map<ItemId, Origin> all = Map.of(A, origin("coast/one", 2, 0), B, origin("inland/two", 2, 0));
        pool.begin(A, 0);
        pool.end(A, 0, 10, false, Port.Load.NONE);
        pool.fail(A, 10);
        assertEquals(List.of(B, A), order(all, 11));
        assertTrue(pool.sour(A, 1009));
        assertFalse(pool.sour(A, 1010));
        pool.begin(A, 1010);
        assertTrue(pool.sour(A, 1011), "one request tries it");
        pool.end(A, 1010, 1050, false, Port.Load.NONE);
        pool.fail(A, 1050);
        assertTrue(pool.sour(A, 3049));
        assertFalse(pool.sour(A, 3050));
        pool.begin(A, 3050);
        pool.end(A, 3050, 3100, true, Port.Load.NONE);
        pool.begin(A, 3100);
        assertFalse(pool.sour(A, 3101), "it answered");
    }

    @Test
    void theOldestUnansweredRequestTellsHowSlowAnOriginIs() {
        pool.begin(A, 0);
        pool.end(A, 0, 40, true, Port.Load.NONE);
        assertEquals(40, pool.mean(A, 100));
        pool.begin(A, 100);
        pool.begin(A, 100);
        assertEquals(900, pool.mean(A, 1000));
        pool.end(A, 100, 1000, false, Port.Load.NONE);
        assertEquals(900, pool.mean(A, 1000), "the other one of that moment still waits");
        pool.end(A, 100, 1000, false, Port.Load.NONE);
        assertEquals(40, pool.mean(A, 1000));
        assertEquals(60, new OriginLoad("x").mean(Map.of(A, origin("", 2, 0)), 0), "a guess where nothing is known");
    }

    @Test
    void whatIsUnknownAndIdleIsForgotten() {
        pool.begin(A, 0);
        pool.fail(B, 0);
        pool.keep(Set.of());
        assertEquals(1, pool.own(A));
        assertFalse(pool.sour(B, 1));
    }
}
