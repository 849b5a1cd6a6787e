package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.log.RunLog;

/** The rules for places whose shields vote: for each a clean log and ones with a breach. */
class JudgeShieldsTest {
    private static final Map<String, Object> PLACE =
            RunLog.row("log", "place", "t", 0, "electors", List.of("sh1", "sh2", "sh3"));

    static void rule(final int n, final List<Map<String, Object>> clean, final List<List<Map<String, Object>>> worse) {
        final List<Map<String, Object>> all = new ArrayList<>(List.of(PLACE));
        all.addAll(clean);
        final Judge good = new Judge(all);
        assertTrue(good.rule(n).checked() > 0, "rule " + n + " was checked on nothing");
        assertEquals(List.of(), good.rule(n).breaches());
        for (final List<Map<String, Object>> w : worse) {
            final List<Map<String, Object>> bad = new ArrayList<>(all);
            bad.addAll(w);
            assertFalse(new Judge(bad).rule(n).breaches().isEmpty(), "rule " + n + " saw no breach in " + w);
        }
        assertEquals(12, new Judge(clean).verdicts().size(), "asked of places whose shields vote only");
    }

    private static Map<String, Object> op(
            final String what, final long t, final long ver, final String note, final Object... more) {
        final Map<String, Object> row = RunLog.row(
                "log",
                "op",
                "t",
                t,
                "end",
                t + 5,
                "what",
                what,
                "item",
                "ROUTE/r",
                "version",
                ver,
                "note",
                note,
                "gone",
                note == null,
                "status",
                what.equals("sent") ? 0 : 200);
        row.putAll(RunLog.row(more));
        return row;
    }

    private static Map<String, Object> read(final long t, final String node, final String said) {
        return RunLog.row(
                "log",
                "read",
                "t",
                t,
                "node",
                node,
                "whole",
                true,
                "items",
                said == null ? Map.of() : Map.of("ROUTE/r", said));
    }

    private static Map<String, Object> org(
            final long t, final String what, final String id, final String origin, final String from) {
        return RunLog.row(
                "log", "org", "t", t, "origin", origin, "service", "s", "want", "s", "stamp", "b1", "what", what,
                "request", id, "path", "/s/1", "from", from);
    }

    private static Map<String, Object> req(final long t, final String id, final String fate, final long status) {
        return RunLog.row(
                "log", "req", "t", t, "end", t + 10, "node", "ed1", "path", "/s/1", "status", status, "fate", fate,
                "attempt", id);
    }

    @Test
    void rule13WhatStandsIsTheHighestVersionAsItWasSent() {
        final List<Map<String, Object>> sent = List.of(
                op("sent", 100, 7, "a"),
                op("put", 100, 7, "a"),
                op("sent", 200, 9, "b"),
                op("put", 200, 9, "b"),
                op("sent", 300, 8, "late"),
                op("put", 300, 8, "late"),
                read(900, "sh1", "9 b"));
        rule(
                13,
                sent,
                List.of(
                        List.of(read(901, "sh2", "8 late")),
                        List.of(read(901, "sh2", "9 c")),
                        List.of(read(901, "sh2", null)),
                        List.of(RunLog.row(
                                "log",
                                "read",
                                "t",
                                902,
                                "node",
                                "sh2",
                                "whole",
                                true,
                                "items",
                                Map.of("ROUTE/r", "9 b", "ROUTE/faulty", "9 x")))));
        rule(
                13,
                List.of(
                        op("sent", 100, 7, "a"),
                        op("put", 100, 7, "a"),
                        op("sent", 200, 9, null),
                        op("put", 200, 9, null),
                        read(900, "sh1", null)),
                List.of(List.of(read(901, "sh2", "7 a"))));
    }

    @Test
    void rule14TwoNodesWithOneVersionAndTwoBodies() {
        rule(
                14,
                List.of(
                        op("sent", 100, 7, "a"),
                        op("sent", 100, 7, "b"),
                        op("put", 100, 7, "a"),
                        op("put", 100, 7, "b"),
                        read(900, "sh1", "7 b")),
                List.of(List.of(read(901, "sh2", "7 a"))));
    }

    @Test
    void rule15ARefusedTryThatRanOrOneThatRanTwice() {
        rule(
                15,
                List.of(
                        org(100, "run", "a-1", "s1", "sh1"),
                        req(90, "a-1", "done", 201),
                        req(95, "a-2", "refused", 503),
                        org(105, "get", "a-3", "s1", "sh1"),
                        org(106, "get", "a-3", "s2", "sh1"),
                        org(107, "run", "a-4", "s1", "sh1"),
                        req(107, "a-4", "unknown", 504)),
                List.of(List.of(org(5000, "run", "a-2", "s1", "sh1")), List.of(org(300, "run", "a-1", "s2", "sh2"))));
    }

    @Test
    void rule16TheCeilingIsOneForAllOrigins() {
        final Map<String, Object> rate = RunLog.row(
                "log",
                "op",
                "t",
                1,
                "end",
                2,
                "what",
                "put",
                "item",
                "SERVICE/s",
                "service",
                "s",
                "ceiling",
                10.0,
                "status",
                200);
        final List<Map<String, Object>> some = new ArrayList<>(List.of(rate));
        IntStream.range(0, 60)
                .forEach(i -> some.add(org(1000 + i * 80L, "get", "a-" + i, "s" + i % 4, "sh" + (1 + i % 4))));
        rule(16, some, List.of(List.of(org(5800, "get", "b", "s1", "sh1"))));
    }

    @Test
    void rule17ArrivalsBeyondTheFirstOfEachTry() {
        final List<Map<String, Object>> some = new ArrayList<>(List.of(RunLog.row(
                "log",
                "op",
                "t",
                1,
                "end",
                2,
                "what",
                "put",
                "item",
                "ROUTE/r",
                "prefix",
                "/s/",
                "services",
                List.of("s"),
                "status",
                200)));
        IntStream.range(0, 50).forEach(i -> some.add(req(1000 + i, "a-" + i, "done", 200)));
        IntStream.range(0, 50).forEach(i -> some.add(org(1100 + i, "get", "a-" + i, "s1", "sh1")));
        IntStream.range(0, 72).forEach(i -> some.add(org(1200 + i, "get", "a-" + i % 50, "s2", "sh" + (1 + i % 4))));
        rule(17, some, List.of(List.of(org(1300, "get", "a-1", "s3", "sh2"))));
    }

    @Test
    void rule22ATryReachesMoreOriginsThanItsRouteAllows() {
        final List<Map<String, Object>> some = new ArrayList<>(List.of(RunLog.row(
                "log",
                "op",
                "t",
                1,
                "end",
                2,
                "what",
                "put",
                "item",
                "ROUTE/r",
                "prefix",
                "/s/",
                "attempts",
                2,
                "status",
                200)));
        for (int i = 0; i < 3; i++) {
            for (final String origin : List.of("s1", "s2", "s3")) {
                some.add(org(1000 + i, "get", "a-" + i, origin, "sh1"));
            }
        }
        some.add(org(2000, "get", "b-1", "s1", "sh1"));
        some.add(org(2010, "get", "b-1", "s2", "sh2"));
        some.add(org(2020, "get", "b-1", "s2", "sh2"));
        final Map<String, Object> third = org(2030, "get", "b-1", "s3", "sh3");
        rule(22, some, List.of(List.of(third)));
        some.add(RunLog.row("log", "rig", "t", 2015, "what", "origin-crash", "node", "s2", "ms", 3000));
        some.add(third);
        rule(22, some, List.of());
    }

    /** A frame that a majority could not confirm excuses; a settled core and a healthy node do not. */
    @Test
    void rule8ALeavingOriginIsExcusedOnlyWithoutASettledCore() {
        final Map<String, Object> leave = RunLog.row(
                "log", "op", "t", 100, "end", 110, "what", "leave", "origin", "s1", "service", "s", "stamp", "b1",
                "status", 200);
        final Map<String, Object> late = org(3000, "get", "a-1", "s1", "sh4");
        rule(8, List.of(leave, org(2000, "get", "a-1", "s1", "sh4")), List.of(List.of(late)));
        rule(
                8,
                List.of(leave, late, RunLog.row("log", "rig", "t", 900, "what", "cut", "node", "sh4", "ms", 3000)),
                List.of());
        rule(
                8,
                List.of(
                        leave,
                        late,
                        RunLog.row("log", "rig", "t", 900, "what", "cut", "node", "sh1", "ms", 3000),
                        RunLog.row("log", "rig", "t", 900, "what", "freeze", "node", "sh2", "ms", 3000)),
                List.of());
        rule(
                8,
                List.of(
                        leave,
                        org(2000, "get", "a-1", "s1", "sh4"),
                        RunLog.row("log", "rig", "t", 900, "what", "cut", "node", "sh1", "ms", 3000)),
                List.of(List.of(late)));
    }

    private static Map<String, Object> left(final long t, final String id, final String mode, final long leftAt) {
        final Map<String, Object> row = new LinkedHashMap<>(req(t, id, "none", 0));
        row.put("mode", mode);
        row.put("left", leftAt);
        return row;
    }

    private static Map<String, Object> workEnd(final long t, final String id, final long planned) {
        return RunLog.row(
                "log", "orgend", "t", t, "origin", "s1", "request", id, "from", "sh1", "how", "x", "planned", planned);
    }

    @Test
    void rule23RequestsThatReachAnOriginLongAfterTheirClientHasLeft() {
        final List<Map<String, Object>> some = new ArrayList<>(List.of(
                left(100, "a-1", "status", 200),
                left(100, "a-2", "single", 200),
                left(100, "a-3", "status", 200),
                left(100, "a-4", "status", 200),
                left(100, "a-5", "cached", 200),
                left(100, "a-6", "once", 200),
                org(701, "get", "a-1", "s1", "sh1"),
                org(705, "run", "a-2", "s1", "sh1"),
                org(706, "get", "a-3", "s1", "sh1"),
                org(900, "get", "a-5", "s1", "sh1"),
                org(900, "run", "a-6", "s1", "sh1"),
                org(700, "get", "a-4", "s1", "sh1"),
                org(100, "get", "a-7", "s1", "sh1"),
                left(90, "a-7", "status", 120),
                workEnd(300, "a-7", 5000)));
        rule(23, some, List.of(List.of(org(1200, "get", "a-4", "s2", "sh1"))));
    }

    @Test
    void rule23OriginsThatWorkOnForClientsThatHaveLeft() {
        final List<Map<String, Object>> some = new ArrayList<>();
        for (int i = 1; i <= 8; i++) {
            some.add(left(100, "a-" + i, "status", 200));
            some.add(org(150, "get", "a-" + i, "s1", "sh1"));
            some.add(workEnd(i <= 2 ? 5000 : 700, "a-" + i, 5000));
        }
        some.add(left(100, "a-20", "status", 200));
        some.add(workEnd(690, "a-20", 690));
        rule(23, some, List.of(List.of(left(100, "a-9", "status", 200), workEnd(701, "a-9", 5000))));
    }

    private static Map<String, Object> routeTo(
            final String what, final long t, final long version, final String service) {
        return op(what, t, version, "n" + version, "prefix", "/s/", "services", List.of(service));
    }

    private static Map<String, Object> readWith(final long t, final String note, final String... services) {
        final Map<String, Object> items = new TreeMap<>(Map.of("ROUTE/r", note));
        for (final String service : services) {
            items.put("SERVICE/" + service, "1 x");
        }
        return RunLog.row("log", "read", "t", t, "end", t + 5, "node", "sh1", "whole", true, "items", items);
    }

    @Test
    void rule24RoutesThatNameAServiceWhichIsNotThere() {
        final List<Map<String, Object>> some = new ArrayList<>(
                List.of(routeTo("sent", 10, 5, "s"), routeTo("sent", 20, 6, "t"), readWith(50, "5 n5", "s")));
        rule(24, some, List.of(List.of(readWith(60, "6 n6", "s")), List.of(readWith(70, "5 n5"))));
    }

    @Test
    void rule25RequestsThatGoByAVersionThatWasReplacedLongAgo() {
        final List<Map<String, Object>> some = new ArrayList<>(List.of(
                routeTo("sent", 10, 5, "s"),
                routeTo("put", 10, 5, "s"),
                routeTo("sent", 3000, 6, "t"),
                routeTo("put", 3000, 6, "t"),
                req(2900, "a-1", "done", 200),
                org(2950, "get", "a-1", "s1", "sh1"),
                req(5400, "a-2", "done", 200),
                org(5450, "get", "a-2", "s1", "sh1")));
        rule(25, some, List.of(List.of(req(5600, "a-3", "done", 200), org(5650, "get", "a-3", "s1", "sh1"))));
    }

    private static Map<String, Object> brokenOff(final long t, final String cause, final Object graceLeftMs) {
        return RunLog.row(
                "log",
                "node",
                "t",
                t,
                "node",
                "sh1",
                "name",
                "WORK_BROKEN_OFF",
                "request",
                "a-1",
                "kind",
                "keyed",
                "cause",
                cause,
                "origin",
                "s1",
                "workedMs",
                600,
                "deadlineLeftMs",
                3000,
                "graceLeftMs",
                graceLeftMs);
    }

    @Test
    void rule26PlannedMovesThatBreakOffWork() {
        rule(
                26,
                List.of(
                        brokenOff(100, "lease-expired", ""),
                        brokenOff(200, "client-left", 4000),
                        brokenOff(300, "process-end", 0),
                        brokenOff(400, "deadline", "")),
                List.of(
                        List.of(brokenOff(500, "lease-revoked", "")),
                        List.of(brokenOff(500, "lease-revoked", 5400)),
                        List.of(brokenOff(500, "process-end", 1200))));
    }

    private static Map<String, Object> routeFor(
            final String what, final long t, final long version, final long lifetimeMs) {
        return op(what, t, version, "n" + version, "prefix", "/c/", "life", lifetimeMs);
    }

    private static Map<String, Object> cachedRead(final long t, final long revision) {
        return RunLog.row(
                "log", "req", "t", t, "end", t + 5, "node", "ed1", "mode", "cached", "path", "/c/1", "status", 200,
                "fate", "done", "life", 9000, "rev", revision);
    }

    @Test
    void rule7ACopyBeyondTheLifetimeInForce() {
        final List<Map<String, Object>> clean = new ArrayList<>(List.of(
                routeFor("sent", 10, 5, 9000),
                routeFor("put", 10, 5, 9000),
                RunLog.row("log", "change", "t", 5000, "path", "/c/1", "rev", 2),
                cachedRead(15_900, 1),
                routeFor("sent", 16_000, 6, 1000),
                routeFor("put", 16_000, 6, 1000),
                RunLog.row("log", "change", "t", 17_000, "path", "/c/1", "rev", 3),
                cachedRead(18_400, 2),
                cachedRead(20_000, 2),
                routeFor("sent", 30_000, 7, 9000),
                RunLog.row("log", "change", "t", 26_000, "path", "/c/1", "rev", 4),
                cachedRead(30_100, 3)));
        rule(7, clean, List.of(List.of(cachedRead(20_001, 2)), List.of(cachedRead(29_001, 3))));
    }
}
