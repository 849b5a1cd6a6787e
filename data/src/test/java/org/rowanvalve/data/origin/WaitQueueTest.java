package org.rowanvalve.data.origin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class WaitQueueTest {
    private final WaitQueue queue = new WaitQueue();

    @Test
    void requestsLeaveByPriorityThenByArrival() {
        final List<String> left = new ArrayList<>();
        queue.add("s", 2, () -> true, () -> left.add("late"));
        queue.add("s", 0, () -> true, () -> left.add("first"));
        queue.add("s", 1, () -> true, () -> left.add("then"));
        queue.add("s", 0, () -> true, () -> left.add("second"));
        queue.add("t", 0, () -> true, () -> left.add("other service"));
        assertEquals(2, queue.countAhead("s", 0));
        assertEquals(3, queue.countAhead("s", 1));
        assertEquals(0, queue.countAhead("u", 5));
        for (WaitQueue.Place place = queue.next("s"); place != null; place = queue.next("s")) {
            place.action().run();
        }
        assertEquals(List.of("first", "second", "then", "late"), left);
        assertNull(queue.next("s"));
        assertEquals(1, queue.size());
    }

    @Test
    void requestThatCannotLeaveKeepsItsPlaceAndBlocksNoOther() {
        final boolean[] canLeave = {false};
        final WaitQueue.Place first = queue.add("s", 0, () -> canLeave[0], () -> {});
        final WaitQueue.Place second = queue.add("s", 0, () -> true, () -> {});
        assertEquals(second, queue.next("s"));
        queue.add("s", 0, () -> true, () -> {});
        canLeave[0] = true;
        assertEquals(first, queue.next("s"));
        assertNull(queue.next("t"));
    }

    @Test
    void requestIsRemovedOnceAndTheCapacityIsLimited() {
        final WaitQueue.Place place = queue.add("s", 0, () -> true, () -> {});
        assertTrue(queue.remove("s", place));
        assertFalse(queue.remove("s", place));
        assertFalse(queue.remove("t", place));
        for (int i = 0; i < 256; i++) {
            assertFalse(queue.isFull("s"));
            queue.add("s", 0, () -> true, () -> {});
        }
        assertTrue(queue.isFull("s"));
    }
}
