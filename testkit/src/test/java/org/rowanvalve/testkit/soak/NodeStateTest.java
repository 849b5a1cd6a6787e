package org.rowanvalve.testkit.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What a node says of itself. */
class NodeStateTest {
    @Test
    void theReportOfAVoterIsRead() {
        final NodeState state = NodeState.parse(
                "{\"boot\":\"b7\",\"frameAgeMs\":120,\"elector\":\"voting\",\"items\":{\"route/a\":3,\"purge/x\":1}}");
        assertEquals("b7", state.incarnation());
        assertTrue(state.confirmed());
        assertTrue(state.isVoterSettled());
        assertEquals(3, state.version("route/a"));
        assertEquals(0, state.version("route/b"));
    }

    @Test
    void oneThatRebuildsItsStateOrHasNoConfirmedViewIsTold() {
        final NodeState state =
                NodeState.parse("{\"boot\":\"b\",\"frameAgeMs\":-1,\"elector\":\"without memory\",\"items\":{}}");
        assertFalse(state.confirmed());
        assertFalse(state.isVoterSettled());
        assertTrue(NodeState.parse("{\"boot\":\"b\",\"frameAgeMs\":0,\"items\":{}}")
                .isVoterSettled());
    }
}
