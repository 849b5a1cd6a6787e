package org.rowanvalve.testkit;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.testkit.log.RunLog;

/** The rules on operators' answers, try by try: for each a clean log and ones with a breach. */
class JudgeControlTest {
    private static final Map<String, Object> CUT =
            RunLog.row("log", "rig", "t", 1000, "what", "core-cut", "node", "sh1", "ms", 5000);

    private static Map<String, Object> attempt(
            final String kind, final long t, final String node, final long order, final long status) {
        return RunLog.row(
                "log", "try", "kind", kind, "t", t, "end", t + 10, "node", node, "order", order, "status", status);
    }

    private static Map<String, Object> order(final long t, final long id, final String... marks) {
        return RunLog.row("log", "order", "t", t, "id", id, "items", List.of(marks));
    }

    private static Map<String, Object> read(
            final long t, final String node, final boolean last, final boolean whole, final Map<String, Object> items) {
        return RunLog.row(
                "log", "read", "t", t, "end", t + 10, "node", node, "last", last, "whole", whole, "items", items);
    }

    private static Map<String, Object> put(final long t, final long version, final String note) {
        return RunLog.row(
                "log", "op", "what", "put", "t", t, "end", t + 5, "item", "ROUTE/r", "version", version, "note", note,
                "gone", false, "status", 200);
    }

    @Test
    void rule18AShieldThatIsCutOffAnswersNothingButThatItCannot() {
        JudgeShieldsTest.rule(
                18,
                List.of(
                        CUT,
                        attempt("order", 1500, "sh1", 1, 503),
                        attempt("order", 1500, "sh2", 1, 200),
                        attempt("invalid", 900, "sh1", 2, 422),
                        attempt("invalid", 5995, "sh1", 2, 422),
                        read(1600, "sh1", false, false, Map.of())),
                List.of(
                        List.of(attempt("order", 1500, "sh1", 1, 200)),
                        List.of(attempt("order", 1500, "sh1", 1, 409)),
                        List.of(attempt("invalid", 1500, "sh1", 2, 422)),
                        List.of(attempt("purge", 5900, "sh1", 2, 200)),
                        List.of(read(1600, "sh1", false, true, Map.of())),
                        List.of(RunLog.row(
                                "log", "op", "what", "leave", "t", 1500, "end", 1600, "at", "sh1", "status", 200))));
    }

    @Test
    void rule18AReadShowsWhatWasAcknowledgedBeforeIt() {
        JudgeShieldsTest.rule(
                18,
                List.of(
                        put(100, 7, "a"),
                        put(500, 9, "b"),
                        read(300, "sh1", false, true, Map.of("ROUTE/r", "7 a")),
                        read(502, "sh2", false, true, Map.of("ROUTE/r", "7 a")),
                        read(600, "sh2", false, true, Map.of("ROUTE/r", "9 b"))),
                List.of(
                        List.of(read(600, "sh3", false, true, Map.of("ROUTE/r", "7 a"))),
                        List.of(read(600, "sh3", false, true, Map.of()))));
    }

    @Test
    void rule19TwoBodiesConfirmedOrOneOfARefusedOrderInForce() {
        JudgeShieldsTest.rule(
                19,
                List.of(
                        order(100, 1, "ROUTE/r|7|a"),
                        order(100, 2, "ROUTE/r|7|b", "ROUTE/q|3|c"),
                        attempt("order", 100, "sh1", 1, 200),
                        attempt("order", 100, "sh2", 2, 503),
                        attempt("order", 400, "sh3", 2, 409),
                        read(900, "sh1", true, true, Map.of("ROUTE/r", "7 a"))),
                List.of(
                        List.of(attempt("order", 500, "sh3", 2, 200)),
                        List.of(read(901, "sh2", false, true, Map.of("ROUTE/q", "3 c")))));
    }

    @Test
    void rule20AnOrderThatWasTakenIsRefusedLater() {
        JudgeShieldsTest.rule(
                20,
                List.of(
                        order(100, 1, "ROUTE/r|7|a"),
                        order(100, 2, "ROUTE/r|7|b"),
                        attempt("order", 100, "sh1", 1, 200),
                        attempt("order", 600, "sh2", 1, 200),
                        attempt("order", 700, "sh3", 1, 503),
                        attempt("order", 100, "sh2", 2, 409),
                        attempt("order", 600, "sh2", 2, 409)),
                List.of(List.of(attempt("order", 900, "sh4", 1, 409)), List.of(attempt("order", 50, "sh4", 1, 422))));
    }

    @Test
    void rule21NoAcknowledgementInCalmTimesOrNothingReadBack() {
        JudgeShieldsTest.rule(
                21,
                List.of(
                        CUT,
                        order(100, 1, "ROUTE/r|7|a"),
                        attempt("order", 100, "sh1", 1, 503),
                        attempt("order", 9900, "sh1", 1, 200),
                        order(20_000, 3, "ROUTE/r|9|c"),
                        attempt("order", 20_000, "sh2", 3, 200),
                        read(30_000, "sh1", true, true, Map.of("ROUTE/r", "9 c")),
                        read(1500, "sh1", false, false, Map.of()),
                        RunLog.row("log", "cost", "t", 29_000)),
                List.of(
                        List.of(order(20_000, 2, "ROUTE/r|8|b")),
                        List.of(order(1500, 2, "ROUTE/r|8|b"), attempt("order", 14_000, "sh1", 2, 200)),
                        List.of(read(30_000, "sh2", true, false, Map.of()))));
    }

    private static Map<String, Object> rig(final long t, final String what, final String node) {
        return RunLog.row("log", "rig", "t", t, "what", what, "node", node, "ms", 3000);
    }

    private static Map<String, Object> started(final long t, final String node) {
        return RunLog.row("log", "node", "t", t, "name", "STARTED", "node", node, "boot", "b" + t);
    }

    private static Map<String, Object> request(final long t, final String fate) {
        return RunLog.row("log", "req", "t", t, "end", t + 10, "id", t, "node", "ed1", "path", "/s/1", "fate", fate);
    }

    /** A machine that left for good is not up: once all others are down, what the earlier return brought is not asked. */
    @Test
    void rule11AReturnIsAskedUntilAllThatAreLeftAreDown() {
        final List<Map<String, Object>> day = List.of(
                started(10, "sh1"),
                started(10, "sh2"),
                started(10, "sh3"),
                rig(15_000, "retired", "sh3"),
                rig(20_000, "returned", ""),
                rig(25_000, "retired", "sh2"),
                request(35_500, "done"),
                rig(36_000, "kill", "sh1"),
                request(36_500, "none"),
                request(36_600, "none"),
                request(36_700, "none"),
                request(36_800, "none"));
        JudgeShieldsTest.rule(
                11,
                day,
                List.of(List.of(
                        request(35_600, "none"),
                        request(35_700, "none"),
                        request(35_800, "none"),
                        request(35_900, "none"))));
    }
}
