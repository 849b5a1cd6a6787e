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
    private final OriginLoad load = new OriginLoad("coast/one");

    private static Origin origin(final String location, final int slots, final long warmUpMs) {
        return new Origin("s", "10.0.0.1", 80, "x", ServiceKind.OPEN, 0, 0, false, 1, location, slots, warmUpMs);
    }

    private List<ItemId> preferred(final Map<ItemId, Origin> origins, final long now) {
        return load.preferred(origins, Map.of(), now);
    }

    @Test
    void nearIdleAndWarmOriginsArePreferred() {
        final Map<ItemId, Origin> origins = new HashMap<>(
                Map.of(A, origin("inland/two", 2, 0), B, origin("coast/two", 2, 0), C, origin("coast/one", 2, 0)));
        assertEquals(List.of(C, B, A), preferred(origins, 0));
        load.onSend(C, 0);
        load.onSend(C, 0);
        assertEquals(B, preferred(origins, 0).get(0), "waiting costs more than another zone");
        origins.put(B, origin("coast/two", 2, 5000));
        load.onEnd(C, 0, 60, true, OriginTransport.Load.NONE);
        assertEquals(C, preferred(origins, 60).get(0));
        assertEquals(0, load.distanceMs(origin("", 2, 0)));
    }

    @Test
    void requestsReportedByOtherNodesTakeSlots() {
        final Origin origin = origin("coast/one", 2, 0);
        assertTrue(load.hasFreeSlot(A, origin, 0));
        load.onSend(A, 0);
        load.onReport(NodeId.of("n2"), Map.of("a", 2), 0);
        assertEquals(3, load.inFlight(A, 0));
        assertFalse(load.hasFreeSlot(A, origin, 0));
        load.onReport(NodeId.of("n2"), Map.of(), 10);
        assertTrue(load.hasFreeSlot(A, origin, 10));
        load.onReport(NodeId.of("n2"), Map.of("a", 2), 20);
        assertTrue(load.hasFreeSlot(A, origin, 1600), "the report of a silent node expires");
        assertTrue(load.hasFreeSlot(B, origin("", 0, 0), 0), "an origin without a slot limit always has room");
        assertEquals(Map.of("a", 1), load.ownCounts());
    }

    @Test
    void loadReportedByTheOriginCountsForALimitedTime() {
        final Origin origin = origin("coast/one", 2, 0);
        load.onSend(A, 0);
        load.onEnd(A, 0, 50, true, new OriginTransport.Load(2, 3, 2));
        assertEquals(5, load.inFlight(A, 60));
        assertFalse(load.hasFreeSlot(A, origin, 60));
        assertEquals(0, load.inFlight(A, 460));
    }

    @Test
    void failedOriginIsEjectedLongerEachTimeAndThenProbedByOneRequest() {
        final Map<ItemId, Origin> origins = Map.of(A, origin("coast/one", 2, 0), B, origin("inland/two", 2, 0));
        load.onSend(A, 0);
        load.onEnd(A, 0, 10, false, OriginTransport.Load.NONE);
        load.onFailure(A, 10);
        assertEquals(List.of(B, A), preferred(origins, 11));
        assertTrue(load.isEjected(A, 1009));
        assertFalse(load.isEjected(A, 1010));
        load.onSend(A, 1010);
        assertTrue(load.isEjected(A, 1011), "ejected while one request probes it");
        load.onEnd(A, 1010, 1050, false, OriginTransport.Load.NONE);
        load.onFailure(A, 1050);
        assertTrue(load.isEjected(A, 3049));
        assertFalse(load.isEjected(A, 3050));
        load.onSend(A, 3050);
        load.onEnd(A, 3050, 3100, true, OriginTransport.Load.NONE);
        load.onSend(A, 3100);
        assertFalse(load.isEjected(A, 3101), "not ejected after a response");
    }

    @Test
    void oldestUnansweredRequestRaisesTheResponseTime() {
        load.onSend(A, 0);
        load.onEnd(A, 0, 40, true, OriginTransport.Load.NONE);
        assertEquals(40, load.meanMs(A, 100));
        load.onSend(A, 100);
        load.onSend(A, 100);
        assertEquals(900, load.meanMs(A, 1000));
        load.onEnd(A, 100, 1000, false, OriginTransport.Load.NONE);
        assertEquals(900, load.meanMs(A, 1000), "the other request of the same time is still open");
        load.onEnd(A, 100, 1000, false, OriginTransport.Load.NONE);
        assertEquals(40, load.meanMs(A, 1000));
        assertEquals(
                60, new OriginLoad("x").meanMs(Map.of(A, origin("", 2, 0)), 0), "the default without measurements");
    }

    @Test
    void unknownIdleOriginsAreForgotten() {
        load.onSend(A, 0);
        load.onFailure(B, 0);
        load.retain(Set.of());
        assertEquals(1, load.ownCount(A));
        assertFalse(load.isEjected(B, 1));
    }
}
