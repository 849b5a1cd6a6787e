package org.rowanvalve.common;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class TimingTest {
    @Test
    void aFramesGreatestAgeIsStatedOrOneAndAHalfSeconds() {
        assertEquals(1500, Timing.DEFAULT.fresh());
        assertEquals(1500, new Timing(6000, 1200).fresh());
        assertEquals(200, new Timing(3000, 1000, 200).fresh());
        assertThrows(IllegalArgumentException.class, () -> new Timing(3000, 1000, 199));
    }

    @Test
    void durationAndMarginKeepTheirFloors() {
        assertThrows(IllegalArgumentException.class, () -> new Timing(2999, 1000));
        assertThrows(IllegalArgumentException.class, () -> new Timing(3000, 999));
        assertThrows(IllegalArgumentException.class, () -> new Timing(12_000, 1100));
        assertThrows(IllegalArgumentException.class, () -> new Timing(3000, 1001));
        assertEquals(2000 + 7, Timing.DEFAULT.valid(7));
        assertEquals(5000 + 7, Timing.DEFAULT.gate(7));
    }
}
