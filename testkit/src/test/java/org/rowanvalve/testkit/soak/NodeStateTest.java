package org.rowanvalve.testkit.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.control.json.Json;

/** What a node says of itself. */
class NodeStateTest {
    private static NodeState state(final String report) {
        return NodeState.of(Json.read(report, Map.class));
    }

    @Test
    void theReportOfAVoterIsRead() {
        final NodeState state = state(
                "{\"boot\":\"b7\",\"frameAgeMs\":120,\"elector\":\"voting\",\"items\":{\"route/a\":3,\"purge/x\":1}}");
        assertEquals("b7", state.incarnation());
        assertTrue(state.confirmed());
        assertTrue(state.isVoterSettled());
        assertEquals(3, state.version("route/a"));
        assertEquals(0, state.version("route/b"));
    }

    @Test
    void oneThatRebuildsItsStateOrHasNoConfirmedViewIsTold() {
        final NodeState state = state("{\"boot\":\"b\",\"frameAgeMs\":-1,\"elector\":\"without memory\",\"items\":{}}");
        assertFalse(state.confirmed());
        assertFalse(state.isVoterSettled());
        assertTrue(state("{\"boot\":\"b\",\"frameAgeMs\":0,\"items\":{}}").isVoterSettled());
    }
}
