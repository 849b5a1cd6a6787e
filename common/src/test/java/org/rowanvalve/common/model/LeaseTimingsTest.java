package org.rowanvalve.common.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class LeaseTimingsTest {
    @Test
    void theMaximumViewAgeIsTheGivenOneOr1500Milliseconds() {
        assertEquals(1500, LeaseTimings.DEFAULT.maxViewAgeMs());
        assertEquals(1500, new LeaseTimings(6000, 1200).maxViewAgeMs());
        assertEquals(200, new LeaseTimings(3000, 1000, 200).maxViewAgeMs());
        assertThrows(IllegalArgumentException.class, () -> new LeaseTimings(3000, 1000, 199));
    }

    @Test
    void durationAndMarginHaveMinimums() {
        assertThrows(IllegalArgumentException.class, () -> new LeaseTimings(2999, 1000));
        assertThrows(IllegalArgumentException.class, () -> new LeaseTimings(3000, 999));
        assertThrows(IllegalArgumentException.class, () -> new LeaseTimings(12_000, 1100));
        assertThrows(IllegalArgumentException.class, () -> new LeaseTimings(3000, 1001));
        assertEquals(2000 + 7, LeaseTimings.DEFAULT.validUntil(7));
        assertEquals(5000 + 7, LeaseTimings.DEFAULT.regrantTime(7));
    }
}
