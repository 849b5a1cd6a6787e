package org.rowanvalve.testkit.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How busy the machine was. */
class ProcessorTimeTest {
    private static final double EXACT = 1e-9;

    @Test
    void sharesAreOfTheTimeBetweenTwoReadings() {
        final ProcessorTime first = ProcessorTime.parse("cpu  100 0 50 800 0 0 0 50 0 0");
        final ProcessorTime later = ProcessorTime.parse("cpu  400 0 150 1200 0 0 0 250 0 0");
        final ProcessorTime.Shares shares = first.until(later);
        assertEquals(0.4, shares.idle(), EXACT);
        assertEquals(0.2, shares.stolen(), EXACT);
        assertEquals("40 % idle, 20 % withheld by its host", shares.toString());
    }

    @Test
    void thisMachineIsRead() throws Exception {
        final ProcessorTime now = ProcessorTime.now();
        assertTrue(now.total() > 0);
        assertTrue(now.idle() >= 0 && now.stolen() >= 0 && now.idle() + now.stolen() <= now.total());
    }
}
