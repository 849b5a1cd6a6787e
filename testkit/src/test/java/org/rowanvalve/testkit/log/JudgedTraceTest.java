package org.rowanvalve.testkit.log;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.testkit.judge.Judge;

/** Guards against reports of keys that ran twice which do not tell what each node did. */
class JudgedTraceTest {
    private static Map<String, Object> execution(final long time, final String request) {
        return RunLog.row(
                "log", "org", "t", time, "what", "run", "service", "s", "origin", "o1", "key", "k1", "request",
                request);
    }

    @Test
    void reportOfAKeyThatRanTwiceHasEveryNodesPart() {
        final List<Map<String, Object>> rows = List.of(
                execution(10, "r1"),
                RunLog.row("t", 5L, "node", "sh1", "name", "ORIGIN_SEND", "key", "k1", "request", "r1"),
                RunLog.row("t", 8L, "node", "ed1", "name", "REQUEST_ENDED", "request", "r1", "status", 503),
                execution(30, "r2"));
        final String text = new Judge(rows).text(5);
        assertTrue(text.contains(" ran at 10 (r1) and at 30 (r2)"), text);
        assertTrue(text.contains("node=sh1 name=ORIGIN_SEND"), text);
        assertTrue(text.contains("node=ed1 name=REQUEST_ENDED"), text);
    }
}
