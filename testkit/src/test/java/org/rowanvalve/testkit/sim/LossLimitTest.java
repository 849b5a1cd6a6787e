package org.rowanvalve.testkit.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** How many counted machines are lost, and until when. */
class LossLimitTest {
    private final VirtualTime time = new VirtualTime(1);
    private final LossLimit losses = new LossLimit(time, m -> m.startsWith("sh"), 1, 4000);

    @Test
    void oneThatIsBackCountsUntilItHasCaughtUp() {
        losses.gone("sh1");
        time.run(9000);
        assertFalse(losses.bears(List.of("sh2")));
        losses.back("sh1");
        time.run(12_999);
        assertFalse(losses.bears(List.of("sh2")));
        assertFalse(losses.clear());
        time.run(13_000);
        assertTrue(losses.bears(List.of("sh2")));
        assertTrue(losses.clear());
    }

    @Test
    void theSameOneMayBeStruckAgainAndOthersThatDoNotCountAtAnyTime() {
        losses.lostFor("sh1", 1000);
        assertTrue(losses.bears(List.of("sh1")));
        assertTrue(losses.bears(List.of("ed1", "ed2")));
        assertFalse(losses.bears(List.of("ed1", "sh3")));
        assertFalse(losses.bears(List.of("sh1", "sh3")));
        losses.gone("ed1");
        time.run(5000);
        assertTrue(losses.clear());
        assertFalse(losses.bears(List.of("sh1", "sh2")), "two at once");
    }

    @Test
    void theLongerOfTwoTroublesOfOneMachineCounts() {
        losses.lostFor("sh1", 8000);
        losses.lostFor("sh1", 100);
        time.run(11_000);
        assertEquals(false, losses.clear());
        losses.gone("sh1");
        losses.lostFor("sh1", 10);
        time.run(90_000);
        assertFalse(losses.clear());
    }

    /** While more are lost than a place bears, none of them may be struck again for longer. */
    @Test
    void nothingIsAddedToALossOfAll() {
        List.of("sh1", "sh2", "sh3").forEach(losses::gone);
        assertFalse(losses.bears(List.of("sh1")));
        assertTrue(losses.bears(List.of("ed1")));
    }

    /** It started again while it was still cut off: it stays lost until the cut is over and it has caught up. */
    @Test
    void aStartEndsNoOtherTroubleOfTheSameMachine() {
        losses.gone("sh1");
        losses.lostFor("sh1", 9000);
        time.run(3000);
        losses.back("sh1");
        time.run(12_999);
        assertFalse(losses.bears(List.of("sh2")));
        time.run(13_000);
        assertTrue(losses.clear());
    }
}
