package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rowanvalve.common.model.Hash;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.judge.Verdict;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.scenario.Scenario;
import org.rowanvalve.testkit.scenario.ScenarioGenerator;
import org.rowanvalve.testkit.sim.ScenarioRunner;

/** Whole days of troubles in the simulator, from fixed seeds. */
class DayTest {
    private static final int COUNT = 8;
    private static final Map<String, Long> MET = new ConcurrentHashMap<>();

    @ParameterizedTest
    @CsvSource({"kilimanjaro,1", "kilimanjaro,2", "kilimanjaro,3", "coastline,1", "coastline,2", "coastline,3"})
    void aDayKeepsEveryRule(final String place, final long seed) {
        final ScenarioRunner play =
                new ScenarioRunner(ScenarioGenerator.day(Deployment.of(place), seed, COUNT, 3500), seed);
        final Judge judge = new Judge(play.run());
        assertTrue(judge.clean(), judge.text(3));
        assertEquals(List.of(), play.missed());
        judge.verdicts().forEach(verdict -> MET.merge(place + " rule " + verdict.rule(), verdict.checked(), Long::sum));
        System.out.println(place + " " + seed + "\n"
                + String.join("\n", judge.verdicts().stream().map(Verdict::line).toList()));
    }

    /** A rule that none of the days above was checked on would be a hole. */
    @AfterAll
    static void everyRuleWasMet() {
        final List<String> holes = MET.entrySet().stream()
                .filter(entry -> entry.getValue() == 0)
                .map(Map.Entry::getKey)
                .toList();
        assertEquals(List.of(), holes);
    }

    /** Every trouble is met by some day above, in both places. */
    @Test
    void theseDaysHoldEveryTrouble() {
        for (final Deployment deployment : List.of(Deployment.kilimanjaro(), Deployment.coastline())) {
            final Set<String> seen = new TreeSet<>();
            for (final long seed : List.of(1L, 2L, 3L)) {
                ScenarioGenerator.day(deployment, seed, COUNT, 3500).steps().forEach(step -> seen.add(step.trouble()));
            }
            assertEquals(new TreeSet<>(Scenario.TROUBLES), seen, deployment.name());
        }
    }

    private static String digest(final long seed) {
        final StringBuilder all = new StringBuilder();
        for (final Map<String, Object> row :
                new ScenarioRunner(ScenarioGenerator.day(Deployment.coastline(), seed, 2, 1500), seed).run()) {
            all.append(Json.write(row)).append('\n');
        }
        return Hash.sha256Hex(all.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }

    @Test
    void aSeedRepeatsToTheByte() {
        assertEquals(digest(11), digest(11));
        assertNotEquals(digest(11), digest(12));
    }
}
