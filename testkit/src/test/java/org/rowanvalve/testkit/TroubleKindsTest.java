package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.judge.Verdict;
import org.rowanvalve.testkit.scenario.Scenario;
import org.rowanvalve.testkit.sim.ScenarioRunner;

/** Each kind of trouble of places whose shields vote is brought about as the scenario file says. */
class TroubleKindsTest {
    private static final String PLACE = "kilimanjaro-shields";
    private static final long TRAFFIC = 7000;

    private static Scenario script(final long seconds, final String... steps) {
        final List<ValidationError> faults = new ArrayList<>();
        final Scenario scenario = Scenario.read(
                ("{\"name\": \"x\", \"place\": \"" + PLACE + "\", \"seconds\": " + seconds + ", \"steps\": ["
                                + String.join(",", steps) + "]}")
                        .getBytes(StandardCharsets.UTF_8),
                faults);
        assertEquals(List.of(), faults);
        return scenario;
    }

    private static String step(
            final long at, final String trouble, final String who, final long ms, final String how, final double size) {
        return "{\"at\": " + at + ", \"trouble\": \"" + trouble + "\", \"ms\": " + ms
                + (who.isEmpty() ? "" : ", \"who\": \"" + who + "\"")
                + (how.isEmpty() ? "" : ", \"how\": \"" + how + "\"") + ", \"size\": " + size + "}";
    }

    private static List<Map<String, Object>> play(final long seconds, final String... steps) {
        final ScenarioRunner runner = new ScenarioRunner(script(seconds, steps), 3);
        final List<Map<String, Object>> rows = runner.run();
        assertEquals(List.of(), runner.missed());
        return rows;
    }

    private static List<Map<String, Object>> rig(final List<Map<String, Object>> rows, final String what) {
        return rows.stream()
                .filter(r -> "rig".equals(r.get("log")) && what.equals(r.get("what")))
                .toList();
    }

    private static List<Map<String, Object>> tries(final List<Map<String, Object>> rows) {
        return rows.stream().filter(r -> "try".equals(r.get("log"))).toList();
    }

    private static long t(final Map<String, Object> row) {
        return ((Number) row.get("t")).longValue();
    }

    private static String node(final Map<String, Object> row) {
        return String.valueOf(row.get("node"));
    }

    @Test
    void aTroubleThatWouldLoseTooManyWaitsItsTurn() {
        final List<Map<String, Object>> kills =
                rig(play(16, step(500, "kill", "sh1", 2000, "", 0), step(600, "power", "sh2", 1000, "", 0)), "kill");
        assertEquals(
                List.of("sh1", "sh2"),
                kills.stream().map(TroubleKindsTest::node).toList());
        assertTrue(t(kills.get(1)) >= t(kills.get(0)) + 2000 + 4000, kills.toString());
        assertTrue(t(kills.get(1)) <= t(kills.get(0)) + 6200, kills.toString());
    }

    @Test
    void aTroubleWhoseTurnNeverCameIsMissed() {
        final ScenarioRunner runner = new ScenarioRunner(
                script(6, step(500, "kill", "sh1", 4000, "", 0), step(600, "kill", "sh2", 1000, "", 0)), 3);
        runner.run();
        assertEquals(1, runner.missed().size());
    }

    @Test
    void aReplacedShieldIsGoneAndAnEmptyOneComesAtAnotherAddress() {
        final List<Map<String, Object>> rows = play(9, step(500, "replace-core", "sh2", 1000, "", 0));
        assertEquals(TRAFFIC + 500, t(rig(rows, "retired").get(0)));
        assertEquals(TRAFFIC + 1500, t(rig(rows, "added").get(0)));
        assertEquals("sh6", node(rig(rows, "added").get(0)));
        assertEquals(List.of(), rig(rows, "start"));
        final Map<String, Object> turn = rig(rows, "seed-turnover").get(0);
        assertEquals(TRAFFIC + 3500, t(turn));
        assertEquals("sh1,sh3,sh4", node(turn));
    }

    @Test
    void aPlannedReplacementComesFirstAndTheOldOneStopsInOrder() {
        final List<Map<String, Object>> rows = play(14, step(500, "replace-core", "sh2", 1000, "planned", 0));
        assertEquals(TRAFFIC + 500, t(rig(rows, "added").get(0)));
        final long stopping = rows.stream()
                .filter(r -> "STOPPING".equals(r.get("name")) && "sh2".equals(r.get("node")))
                .mapToLong(TroubleKindsTest::t)
                .findFirst()
                .orElseThrow();
        assertEquals(TRAFFIC + 1500, stopping);
        assertTrue(t(rig(rows, "retired").get(0)) > stopping);
    }

    @Test
    void aCutOffShieldIsCalledAllAlongAndAsItReturns() {
        final List<Map<String, Object>> rows = play(14, step(500, "core-cut", "sh1", 4000, "meet,race", 0));
        final List<Map<String, Object>> during = tries(rows).stream()
                .filter(r -> node(r).equals("sh1") && t(r) > TRAFFIC + 500 && t(r) < TRAFFIC + 4500)
                .toList();
        final Set<Object> kinds = new HashSet<>();
        during.forEach(r -> kinds.add(r.get("kind")));
        assertEquals(Set.of("order", "invalid", "purge"), kinds);
        assertTrue(during.stream().anyMatch(r -> t(r) < TRAFFIC + 510), "at the cut");
        assertTrue(during.stream().anyMatch(r -> t(r) > TRAFFIC + 4200), "at its end");
        assertTrue(
                tries(rows).stream()
                        .anyMatch(r -> node(r).equals("sh1") && t(r) > TRAFFIC + 4500 && t(r) < TRAFFIC + 4600),
                "as it returns");
    }

    @Test
    void bothSidesOfACutAreRestartedThoseCutOffFirst() {
        final List<String> restarted = rig(play(24, step(500, "core-cut", "sh3", 9000, "both", 0)), "restart").stream()
                .map(TroubleKindsTest::node)
                .toList();
        assertEquals(List.of("sh3", "sh1", "sh2", "sh4"), restarted);
    }

    @Test
    void newSeedsBeginWithTheOnesThatAreCutOff() {
        final List<Map<String, Object>> rows = play(12, step(500, "core-cut", "sh4", 4000, "seeds", 0));
        final Map<String, Object> turn = rig(rows, "seed-turnover").get(0);
        assertEquals("sh4,sh1,sh2", node(turn));
        assertTrue(t(turn) > TRAFFIC + 500 && t(turn) < TRAFFIC + 4500);
        assertTrue(rig(rows, "kill").stream().allMatch(r -> node(r).startsWith("ed")));
        assertFalse(rig(rows, "kill").isEmpty());
    }

    @Test
    void aLostAnswerIsFollowedByTheSameOrderAtAnotherNode() {
        final List<Map<String, Object>> orders = tries(play(20, step(0, "ack-lost", "", 15_000, "", 0.8))).stream()
                .filter(r -> r.get("order") != null)
                .toList();
        int followed = 0;
        for (int i = 0; i < orders.size(); i++) {
            final Map<String, Object> lost = orders.get(i);
            final List<Map<String, Object>> same = orders.stream()
                    .filter(r -> r.get("order").equals(lost.get("order")))
                    .toList();
            final int at = same.indexOf(lost);
            if (same.subList(0, at + 1).stream().allMatch(r -> Boolean.TRUE.equals(r.get("lost")))
                    && at + 1 < same.size()) {
                followed++;
                assertFalse(node(same.get(at + 1)).equals(node(lost)), same.toString());
            }
        }
        assertTrue(followed >= 5, followed + " lost answers were followed");
    }

    @Test
    void powerIsLostSoonAfterAChangeWasSent() {
        final List<Map<String, Object>> rows = play(14, step(1500, "after-ack-kill", "acker", 1000, "timed", 1));
        final Map<String, Object> kill = rig(rows, "kill").get(0);
        assertTrue(Stream.of(rows)
                .flatMap(List::stream)
                .anyMatch(r -> "order".equals(r.get("log")) && t(kill) >= t(r) + 5 && t(kill) <= t(r) + 401));
        assertEquals(1, rig(rows, "kill").size());
    }

    @Test
    void theDiskIsLostInTheInstantOfTheAnswer() {
        final List<Map<String, Object>> rows = play(14, step(1500, "after-ack-wipe", "acker", 1000, "", 1));
        final Map<String, Object> wiped = rig(rows, "lose-disk").get(0);
        assertTrue(tries(rows).stream()
                .anyMatch(r -> Integer.valueOf(200).equals(r.get("status"))
                        && r.get("end").equals(wiped.get("t"))
                        && node(r).equals(node(wiped))));
    }

    @Test
    void powerIsLostRightAfterAKeyedRequestWasAccepted() {
        final List<Map<String, Object>> rows = play(14, step(1500, "after-ack-kill", "acker", 1000, "taken", 1));
        final Map<String, Object> kill = rig(rows, "kill").get(0);
        final Map<String, Object> accepted = rows.stream()
                .filter(r -> "req".equals(r.get("log"))
                        && r.get("key") != null
                        && "done".equals(r.get("fate"))
                        && r.get("end").equals(kill.get("t")))
                .findFirst()
                .orElseThrow();
        assertTrue(rows.stream()
                .anyMatch(r -> "org".equals(r.get("log"))
                        && r.get("request").equals(accepted.get("request"))
                        && r.get("from").equals(kill.get("node"))));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "busy"})
    void allShieldsAreRestartedInTurn(final String how) {
        final List<Map<String, Object>> rows = play(45, step(500, "roll", "shields", 1000, how, 1));
        assertEquals(
                List.of("sh1", "sh2", "sh3", "sh4"),
                rig(rows, "restart").stream().map(TroubleKindsTest::node).toList());
        assertEquals(4, rig(rows, "start").size());
    }

    /** Guards against planned moves, in series and in both directions, that break off what slow origins work on. */
    @ParameterizedTest
    @ValueSource(doubles = {1000, 2300})
    void shieldsRestartedInTurnBreakOffNothingThatOriginsWorkOn(final double workMs) {
        final Stream<String> slow = Stream.of(
                        "till1", "till2", "till3", "till4", "till5", "till6", "desk1", "desk2", "desk3")
                .map(origin -> step(200, "origin-slow", origin, 50_000, "", workMs));
        final List<Map<String, Object>> rows = play(
                55,
                Stream.concat(slow, Stream.of(step(1500, "roll", "shields", 1000, "busy", 1)))
                        .toArray(String[]::new));
        assertEquals(4, rig(rows, "start").size());
        final Judge judge = new Judge(rows);
        assertEquals(List.of(), judge.rule(26).breaches(), judge.text(2));
        assertEquals(List.of(), judge.rule(1).breaches());
        assertEquals(List.of(), judge.rule(2).breaches());
        assertEquals(List.of(), judge.rule(4).breaches());
    }

    /** Guards against origins that are used again after their end, since their first heartbeat came later than it. */
    @Test
    void originsThatEndBeforeTheirFirstHeartbeatGetNoRequests() {
        final List<Map<String, Object>> rows = play(
                25,
                step(1000, "origin-replace", "till1", 6000, "", 0),
                step(1500, "origin-replace", "shelf2", 6000, "", 0));
        final Judge judge = new Judge(rows);
        assertEquals(List.of(), judge.rule(8).breaches(), judge.text(2));
        assertTrue(
                rows.stream()
                                .filter(row -> "leave".equals(row.get("what"))
                                        && Integer.valueOf(200).equals(row.get("status")))
                                .map(row -> row.get("origin"))
                                .distinct()
                                .count()
                        >= 4,
                "two that were replaced, and two that were there briefly");
    }

    @Test
    void oneThatIsRemovedLeavesForGoodAndAPlaceKeepsEnoughToVote() {
        final List<Map<String, Object>> rows = play(40, step(500, "roll", "sh1,sh2", 1000, "remove", 1));
        assertEquals(
                List.of("sh1"),
                rig(rows, "retired").stream().map(TroubleKindsTest::node).toList());
        assertEquals(
                List.of("sh2"),
                rig(rows, "start").stream().map(TroubleKindsTest::node).toList());
    }

    @Test
    void circuitsAreResetAndClocksStepped() {
        final List<Map<String, Object>> rows = play(
                12,
                step(500, "reset-conns", "ed1,sh2", 0, "", 0.5),
                step(1500, "clock-step", "sh1,ed2", 2000, "back", 3000),
                step(6000, "disk-slow", "sh3", 2000, "", 30));
        assertEquals(2, rig(rows, "reset-conns").size());
        final Set<String> woke = new HashSet<>();
        rows.stream().filter(r -> "WOKE".equals(r.get("name"))).forEach(r -> woke.add(node(r)));
        assertEquals(Set.of("sh1", "ed2"), woke);
        assertEquals("sh3", node(rig(rows, "disk-slow").get(0)));
    }

    @Test
    void faultsOfAScenarioAreToldBeforeAnythingStarts() {
        final List<ValidationError> faults = new ArrayList<>();
        Scenario.read(
                ("{\"name\": \"x\", \"place\": \"" + PLACE + "\", \"seconds\": 9, \"steps\": ["
                                + step(0, "core-cut", "ed1", 5, "one-way,loud", 0) + ","
                                + step(0, "replace-core", "sh9", 5, "", 0) + ","
                                + step(0, "kill", "acker", 5, "planned", 0) + "]}")
                        .getBytes(StandardCharsets.UTF_8),
                faults);
        assertEquals(4, faults.size(), faults.toString());
        final List<ValidationError> others = new ArrayList<>();
        Scenario.read(
                "{\"name\": \"x\", \"place\": \"kilimanjaro\", \"seconds\": 9, \"steps\": [{\"at\": 0, \"ms\": 5, \"trouble\": \"core-cut\", \"who\": \"sh1\"}]}"
                        .getBytes(StandardCharsets.UTF_8),
                others);
        assertFalse(others.isEmpty());
    }

    @Test
    void clientsThatGiveUpLeaveNoWorkBehind() {
        final List<Map<String, Object>> rows = play(
                20,
                step(500, "give-up", "", 16_000, "", 0.5),
                step(1000, "origin-slow", "till1,till2,till3,till4,till5,till6", 12_000, "", 1500),
                step(4000, "freeze", "sh2", 700, "", 0),
                step(7000, "reset-conns", "all", 0, "", 0.5),
                step(10_000, "kill", "ed1", 1500, "", 0));
        final List<Map<String, Object>> left =
                rows.stream().filter(r -> r.get("left") != null).toList();
        assertTrue(left.size() > 200, left.size() + " clients left");
        final Verdict verdict = new Judge(rows).rule(23);
        assertEquals(List.of(), verdict.breaches());
        assertTrue(verdict.checked() > left.size() / 4, verdict.line());
        assertTrue(
                rows.stream().anyMatch(r -> "orgend".equals(r.get("log")) && "dropped".equals(r.get("how"))),
                "some work was dropped");
    }
}
