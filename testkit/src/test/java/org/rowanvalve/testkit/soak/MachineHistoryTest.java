package org.rowanvalve.testkit.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What was done to which machine, and what that excuses. */
class MachineHistoryTest {
    private final MachineHistory history = new MachineHistory();

    @Test
    void aGracefulShutdownIsNoDisturbance() {
        history.add(DisturbanceKind.TERMINATE, "ed1", 100, 200);
        history.add(DisturbanceKind.RELOAD, "ed1", 100, 200);
        assertFalse(history.isDisturbed("ed1", 150, 160));
        assertEquals(1, history.shutdowns("ed1", 200, 300).size());
        assertTrue(history.shutdowns("ed1", 201, 300).isEmpty());
        assertTrue(history.shutdowns("ed2", 150, 160).isEmpty());
    }

    @Test
    void aKillIsOneForItsMachineAndItsTime() {
        history.add(DisturbanceKind.KILL, "ed1", 100, 200);
        assertTrue(history.isDisturbed("ed1", 50, 100));
        assertFalse(history.isDisturbed("ed1", 201, 300));
        assertFalse(history.isDisturbed("ed2", 150, 160));
        assertTrue(history.shutdowns("ed1", 150, 160).isEmpty());
    }

    @Test
    void aMachineIsExpectedUpUnlessItWasTakenDown() {
        assertTrue(history.isExpectedUp("ed1"));
        history.expectDown("ed1");
        assertFalse(history.isExpectedUp("ed1"));
        history.expectUp("ed1");
        assertTrue(history.isExpectedUp("ed1"));
    }
}
