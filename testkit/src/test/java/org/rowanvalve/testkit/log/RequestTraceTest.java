package org.rowanvalve.testkit.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests which events of several logs belong to a key or a request, and their order. */
class RequestTraceTest {
    private static final List<Map<String, Object>> ROWS = List.of(
            RunLog.row("t", 30L, "node", "sh1", "name", "KEYED_ENDED", "key", "h|/p/1|k1", "executed", "NOT_SENT"),
            RunLog.row("t", 10L, "node", "ed1", "name", "CLIENT_LEFT", "request", "r1"),
            RunLog.row("t", 40L, "node", "ed1", "name", "REQUEST_ENDED", "request", "r1", "key", "k1", "status", 503),
            RunLog.row("t", 20L, "node", "sh1", "name", "ORIGIN_SEND", "request", "r1", "key", "k1"),
            RunLog.row("t", 25L, "node", "sh1", "name", "ORIGIN_SEND", "request", "r2", "key", "k10"),
            RunLog.row("t", 50L, "node", "ed1", "name", "LEARNED"));

    private static List<Object> times(final String name) {
        return new RequestTrace(name, ROWS)
                .events().stream().map(event -> event.get("t")).toList();
    }

    @Test
    void traceOfAKeyHasTheEventsOfItsRequestsInOrderOfTime() {
        assertEquals(List.of(10L, 20L, 30L, 40L), times("k1"));
    }

    @Test
    void traceOfARequestHasItsOwnEvents() {
        assertEquals(List.of(10L, 20L, 40L), times("r1"));
        assertEquals(List.of(), times("unknown"));
    }

    @Test
    void textStatesTimesSinceTheFirstEvent() {
        final String text = new RequestTrace("k1", ROWS).text();
        assertEquals(4, text.lines().count());
        assertTrue(text.lines().skip(3).findFirst().orElse("").startsWith("      30 ms node=ed1"), text);
    }
}
