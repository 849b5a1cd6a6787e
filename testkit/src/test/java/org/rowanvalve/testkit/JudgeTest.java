package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.log.RunLog;

/** For each rule a clean log and one with a breach. */
class JudgeTest {
    private static final Map<String, Object> PUT =
            op("put", 100, 110, "item", "SERVICE/s", "service", "s", "rate", 10.0, "version", 1);

    @SafeVarargs
    @SuppressWarnings("varargs") // The array is only read.
    private static void rule(final int n, final List<Map<String, Object>> clean, final Map<String, Object>... worse) {
        final Judge good = new Judge(clean);
        assertTrue(good.rule(n).checked() > 0, "rule " + n + " was checked on nothing");
        assertEquals(List.of(), good.rule(n).breaches());
        final List<Map<String, Object>> bad = new ArrayList<>(clean);
        bad.addAll(List.of(worse));
        assertFalse(new Judge(bad).rule(n).breaches().isEmpty(), "rule " + n + " saw no breach");
        assertEquals("not checked", new Judge(List.of()).rule(n).line().substring(57));
    }

    private static Map<String, Object> op(final String what, final long t, final long end, final Object... more) {
        final Map<String, Object> row = RunLog.row("log", "op", "t", t, "end", end, "what", what, "status", 200);
        row.putAll(RunLog.row(more));
        return row;
    }

    private static Map<String, Object> org(final long t, final String what, final String id, final String key) {
        return RunLog.row(
                "log", "org", "t", t, "origin", "s1", "service", "s", "want", "s", "stamp", "b1", "what", what,
                "request", id, "path", "/s/1", "key", key);
    }

    private static Map<String, Object> req(final long t, final String fate, final Object... more) {
        final Map<String, Object> row = RunLog.row(
                "log",
                "req",
                "t",
                t,
                "end",
                t + 10,
                "id",
                t,
                "node",
                "ed1",
                "mode",
                "cached",
                "life",
                1000,
                "path",
                "/s/1",
                "status",
                fate.equals("done") ? 200 : 503,
                "fate",
                fate,
                "stamp",
                "b1",
                "request",
                "r1",
                "whole",
                true,
                "said",
                "/s/1",
                "rev",
                1);
        row.putAll(RunLog.row(more));
        return row;
    }

    private static Map<String, Object> node(final long t, final String node, final String name, final Object... more) {
        final Map<String, Object> row = RunLog.row("log", "node", "t", t, "node", node, "boot", "b", "name", name);
        row.putAll(RunLog.row(more));
        return row;
    }

    private static Map<String, Object> send(
            final long t, final String node, final String id, final String token, final boolean extra) {
        return node(t, node, "ORIGIN_SEND", "shard", 3, "token", token, "service", "s", "request", id, "extra", extra);
    }

    @Test
    void rule1SameKeyTwiceWithinAMinute() {
        rule(1, List.of(org(1000, "run", "r1", "k"), org(61_500, "run", "r2", "k")), org(2000, "run", "r3", "k"));
    }

    @Test
    void rule2RunsAgainOrAfterARefusal() {
        rule(
                2,
                List.of(req(900, "refused", "key", "k"), req(990, "unknown", "key", "k"), org(1000, "run", "r1", "k")),
                req(4000, "refused", "key", "z"),
                org(5000, "run", "r2", "z"));
        rule(2, List.of(org(1000, "run", "r1", "k")), org(100_000, "run", "r2", "k"));
    }

    @Test
    void rule3ASuccessOfAnotherRequestOrWithoutItsStamp() {
        final List<Map<String, Object>> clean = List.of(org(990, "get", "r1", null), req(1000, "done"));
        rule(3, clean, req(1200, "done", "whole", false));
        rule(3, clean, req(1200, "done", "said", "/s/2"));
        rule(3, clean, req(1200, "done", "stamp", ""));
        rule(3, clean, req(1200, "done", "request", "r9"));
    }

    @Test
    void rule4TwoHoldersOfAShard() {
        final List<Map<String, Object>> clean = List.of(
                send(10, "sh1", "r1", "1.1", false),
                org(11, "get", "r1", null),
                node(20, "sh1", "FENCED", "shard", 3, "token", "1.1"),
                send(30, "sh2", "r2", "1.2", false),
                org(31, "get", "r2", null));
        rule(4, clean, send(32, "sh1", "r3", "1.1", false), org(33, "get", "r3", null));
        rule(4, clean, node(40, "sh1", "FENCED", "shard", 3, "token", "1.1"));
        rule(4, clean, org(50, "get", "r7", null));
    }

    @Test
    void rule5LateOrBack() {
        final List<Map<String, Object>> clean = List.of(
                node(1, "ed1", "STARTED"),
                PUT,
                node(900, "ed1", "LEARNED", "item", "SERVICE/s", "ver", 1),
                node(950, "ed1", "FRAME_FRESH"));
        rule(5, clean, node(1, "ed2", "STARTED"), node(2700, "ed2", "LEARNED", "item", "SERVICE/s", "ver", 1));
        rule(5, clean, node(1000, "ed1", "LEARNED", "item", "SERVICE/s", "ver", 1));
        rule(
                5,
                clean,
                RunLog.row("log", "rig", "t", 1000, "what", "kill", "node", "ed1", "ms", 10),
                RunLog.row("log", "rig", "t", 1010, "what", "start", "node", "ed1", "ms", 0),
                node(1010, "ed1", "STARTED"),
                node(1500, "ed1", "FRAME_FRESH"));
    }

    @Test
    void rule6APurgedObjectStillServed() {
        rule(
                6,
                List.of(
                        RunLog.row("log", "change", "t", 50, "path", "/s/1", "rev", 2),
                        op("purge", 100, 110, "path", "/s/1"),
                        req(2000, "done", "rev", 1),
                        req(2200, "done", "rev", 2)),
                req(2111, "done", "rev", 1));
    }

    @Test
    void rule7ACopyBeyondItsLifetime() {
        rule(
                7,
                List.of(RunLog.row("log", "change", "t", 50, "path", "/s/1", "rev", 2), req(3050, "done", "rev", 1)),
                req(3051, "done", "rev", 1));
    }

    @Test
    void rule8ALeavingOriginStillAsked() {
        rule(
                8,
                List.of(op("leave", 100, 110, "origin", "s1", "stamp", "b1"), org(2600, "get", "r1", null)),
                org(2611, "get", "r2", null));
    }

    @Test
    void rule9OverTheRate() {
        final List<Map<String, Object>> clean = new ArrayList<>(List.of(PUT));
        for (int i = 0; i < 55; i++) {
            clean.add(org(1000 + i * 90, "get", "r" + i, null));
        }
        rule(9, clean, org(5990, "get", "x", null), org(5991, "get", "y", null));
    }

    @Test
    void rule10TooManyExtraTries() {
        final List<Map<String, Object>> clean = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            clean.add(send(1000 + i, "sh1", "r" + i, "1.1", true));
        }
        rule(10, clean, send(2000, "sh1", "x", "1.1", true));
        clean.add(send(1500, "sh1", "a", "1.1", false));
        assertTrue(new Judge(clean).rule(10).breaches().isEmpty());
    }

    @Test
    void rule11LostOrUnserved() {
        final Map<String, Object> end =
                RunLog.row("log", "end", "t", 90_000, "node", "st1", "fresh", true, "items", Map.of("SERVICE/s", 1));
        rule(
                11,
                List.of(PUT, end),
                RunLog.row("log", "end", "t", 90_000, "node", "st2", "fresh", true, "items", Map.of()));
        final List<Map<String, Object>> back = List.of(
                RunLog.row("log", "rig", "t", 1000, "what", "returned", "node", "", "ms", 0),
                req(16_100, "done"),
                req(16_200, "refused"),
                req(16_300, "refused"),
                req(16_400, "refused"));
        rule(11, back, req(16_500, "refused"));
    }

    private static Map<String, Object> rig(final long t, final String what, final String node) {
        return RunLog.row("log", "rig", "t", t, "what", what, "node", node, "ms", 3000);
    }

    /** What a return has to bring ends when no machine is up any more, and not before; the next return has to bring it anew. */
    @Test
    void rule11AllPowerGoneAgainEndsAReturn() {
        final List<Map<String, Object>> clean = List.of(
                node(10, "ed1", "STARTED"),
                node(10, "ed2", "STARTED"),
                rig(1000, "returned", ""),
                req(16_100, "done"),
                rig(16_150, "kill", "ed1"),
                rig(16_150, "kill", "ed2"),
                req(16_200, "none"),
                req(16_300, "none"),
                req(16_400, "none"),
                req(16_500, "none"),
                node(19_150, "ed1", "STARTED"),
                node(19_150, "ed2", "STARTED"),
                rig(19_150, "returned", ""),
                req(34_200, "done"));
        rule(
                11,
                clean,
                req(16_130, "none"),
                req(16_131, "none"),
                req(16_132, "none"),
                req(16_140, "none", "end", 16_149));
        rule(11, clean, req(34_300, "none"), req(34_301, "none"), req(34_302, "none"), req(34_303, "none"));
        assertEquals(2, new Judge(clean).rule(11).checked());
        final List<List<Map<String, Object>>> ups = List.of(
                List.of(rig(16_150, "freeze", "ed2")),
                List.of(node(16_160, "ed1", "STARTED"), rig(16_170, "kill", "ed2")));
        for (final List<Map<String, Object>> up : ups) {
            final List<Map<String, Object>> some = new ArrayList<>(clean);
            some.remove(5);
            some.addAll(up);
            assertEquals(1, new Judge(some).rule(11).breaches().size(), "one machine was up");
        }
    }

    /** Requests that were under way when the last machine stopped could not be answered; those sent long before could. */
    @Test
    void rule11RequestsUnderWayWhenAllPowerGoesAreExcused() {
        final List<Map<String, Object>> clean = List.of(
                node(10, "ed1", "STARTED"),
                rig(1000, "returned", ""),
                req(16_001, "done"),
                rig(19_500, "kill", "ed1"),
                req(19_450, "none", "end", 24_450),
                req(19_460, "none", "end", 24_460),
                req(19_470, "none", "end", 24_470),
                req(19_480, "none", "end", 24_480));
        assertEquals(1, new Judge(clean).rule(11).checked());
        rule(
                11,
                clean,
                req(16_450, "none", "end", 21_450),
                req(16_460, "none", "end", 21_460),
                req(16_470, "none", "end", 21_470),
                req(16_480, "refused", "end", 16_490));
    }

    @Test
    void rule12AStrangeService() {
        final Map<String, Object> other = org(200, "get", "r2", null);
        other.put("service", "x");
        rule(12, List.of(PUT, org(150, "get", "r1", null)), other);
        final Map<String, Object> both = org(200, "get", "r2", null);
        both.put("service", "x");
        both.put("want", "x");
        rule(12, List.of(PUT, org(150, "get", "r1", null)), both);
    }
}
