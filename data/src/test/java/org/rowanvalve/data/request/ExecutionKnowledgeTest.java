package org.rowanvalve.data.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.rowanvalve.common.model.RequestOutcome;

/** Tests that what is known of a request's execution only rises, and that no response promises more than is known. */
class ExecutionKnowledgeTest {
    private static final RequestFailure REFUSAL = new RequestFailure(503, "no origin", 500);
    private final ExecutionKnowledge knowledge = new ExecutionKnowledge();

    private RequestOutcome refusal(final boolean atMostOnce) {
        return REFUSAL.toResponse(knowledge, atMostOnce).fate();
    }

    @Test
    void requestWithoutASendIsRefused() {
        assertFalse(knowledge.mayHaveRun());
        assertEquals(RequestOutcome.REFUSED, refusal(true));
    }

    @Test
    void openSendCountsAsExecutedUntilItsResultIsKnown() {
        knowledge.beginSend();
        assertTrue(knowledge.mayHaveRun());
        assertEquals(RequestOutcome.UNKNOWN, refusal(true));
        assertEquals(RequestOutcome.REFUSED, refusal(false), "a repeatable request may be refused");
        knowledge.endSend(ExecutionKnowledge.Level.NOT_SENT);
        assertEquals(RequestOutcome.REFUSED, refusal(true));
    }

    @Test
    void endWithoutASendIsAnError() {
        assertThrows(IllegalStateException.class, () -> knowledge.endSend(ExecutionKnowledge.Level.DONE));
    }

    @Test
    void levelNeverFallsOnceASendHasEndedWithIt() {
        for (final ExecutionKnowledge.Level first : ExecutionKnowledge.Level.values()) {
            for (final ExecutionKnowledge.Level second : ExecutionKnowledge.Level.values()) {
                final ExecutionKnowledge drawn = new ExecutionKnowledge();
                drawn.beginSend();
                drawn.beginSend();
                drawn.endSend(first);
                drawn.endSend(second);
                assertEquals(first.compareTo(second) > 0 ? first : second, drawn.level());
            }
        }
    }
}
