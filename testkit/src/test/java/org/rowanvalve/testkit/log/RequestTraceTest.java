package org.rowanvalve.testkit.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

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

    @Test
    void textLogsGiveTheSameTraceAsJsonLogs(@TempDir final Path dir) throws IOException {
        final Path log = dir.resolve("sh1.log");
        Files.writeString(log, """
                2026-12-07T17:00:00.000Z INFO RV1001 process started {boot=ab, node=n10-0-0-1, role=shield}
                2026-12-07T17:00:00.010Z INFO RV1703 request sent to origin {atMostOnce=true, key=k1, request=r1}
                2026-12-07T17:00:00.020Z INFO RV1710 exchange of an at-most-once request ended {key=k1, request=r1, why=status 503, again}
                2026-12-07T17:00:00.025Z INFO RV1711 attempt of a keyed request ended {key=h|/p/1|#k1, executed=NOT_SENT}
                java.lang.IllegalStateException: no event
                """);
        final RequestTrace trace = new RequestTrace("k1", RunLog.readAny(log));
        assertEquals(
                List.of("ORIGIN_SEND", "ORIGIN_ENDED", "KEYED_ENDED"),
                trace.events().stream().map(event -> event.get("name")).toList());
        assertEquals("status 503, again", trace.events().get(1).get("why"));
        assertEquals("n10-0-0-1", trace.events().get(0).get("node"));
        assertTrue(trace.text().startsWith("       0 ms node=n10-0-0-1"), trace.text());
    }
}
