package org.rowanvalve.data.origin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class WaitQueueTest {
    private final WaitQueue line = new WaitQueue();

    @Test
    void theHigherRankThenTheEarlier() {
        final List<String> gone = new ArrayList<>();
        line.add("s", 2, () -> true, () -> gone.add("late"));
        line.add("s", 0, () -> true, () -> gone.add("first"));
        line.add("s", 1, () -> true, () -> gone.add("then"));
        line.add("s", 0, () -> true, () -> gone.add("second"));
        line.add("t", 0, () -> true, () -> gone.add("other service"));
        assertEquals(2, line.countAhead("s", 0));
        assertEquals(3, line.countAhead("s", 1));
        assertEquals(0, line.countAhead("u", 5));
        for (WaitQueue.Place deployment = line.next("s"); deployment != null; deployment = line.next("s")) {
            deployment.action().run();
        }
        assertEquals(List.of("first", "second", "then", "late"), gone);
        assertNull(line.next("s"));
        assertEquals(1, line.size());
    }

    @Test
    void whoCannotGoNowKeepsItsPlaceAndHoldsNobodyUp() {
        final boolean[] room = {false};
        final WaitQueue.Place first = line.add("s", 0, () -> room[0], () -> {});
        final WaitQueue.Place second = line.add("s", 0, () -> true, () -> {});
        assertEquals(second, line.next("s"));
        line.add("s", 0, () -> true, () -> {});
        room[0] = true;
        assertEquals(first, line.next("s"));
        assertNull(line.next("t"));
    }

    @Test
    void whoLeavesIsDroppedOnceAndALineHasAnEnd() {
        final WaitQueue.Place deployment = line.add("s", 0, () -> true, () -> {});
        assertTrue(line.remove("s", deployment));
        assertFalse(line.remove("s", deployment));
        assertFalse(line.remove("t", deployment));
        for (int i = 0; i < 256; i++) {
            assertFalse(line.isFull("s"));
            line.add("s", 0, () -> true, () -> {});
        }
        assertTrue(line.isFull("s"));
    }
}
