package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.judge.Verdict;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.scenario.Scenario;
import org.rowanvalve.testkit.scenario.ScenarioGenerator;
import org.rowanvalve.testkit.sim.ScenarioRunner;

/** Whole days of troubles of the places whose shields vote, from fixed seeds. */
class ShieldDayTest {
    private static final int COUNT = 14;
    private static final List<Long> SEEDS = List.of(1L, 2L, 3L);
    /** Rates there hold for all origins of a service together: rule 16 in the place of rule 9. */
    private static final int NO_RULE = 9;

    private static final Map<String, Long> MET = new ConcurrentHashMap<>();

    @ParameterizedTest
    @CsvSource({
        "kilimanjaro-shields,1",
        "kilimanjaro-shields,2",
        "kilimanjaro-shields,3",
        "coastline-shields,1",
        "coastline-shields,2",
        "coastline-shields,3",
        "coastline-six,1",
        "coastline-six,2",
        "coastline-six,3"
    })
    void aDayKeepsEveryRule(final String place, final long seed) {
        final ScenarioRunner play =
                new ScenarioRunner(ScenarioGenerator.day(Deployment.of(place), seed, COUNT, 3000), seed);
        final Judge judge = new Judge(play.run());
        assertTrue(judge.clean(), judge.text(3));
        assertEquals(List.of(), play.missed());
        judge.verdicts().stream()
                .filter(verdict -> verdict.rule() != NO_RULE)
                .forEach(verdict -> MET.merge(place + " rule " + verdict.rule(), verdict.checked(), Long::sum));
        System.out.println(place + " " + seed + "\n"
                + String.join("\n", judge.verdicts().stream().map(Verdict::line).toList()));
    }

    @AfterAll
    static void everyRuleWasMet() {
        assertEquals(
                List.of(),
                MET.entrySet().stream()
                        .filter(entry -> entry.getValue() == 0)
                        .map(Map.Entry::getKey)
                        .toList());
    }

    @Test
    void theseDaysHoldEveryTrouble() {
        for (final Deployment deployment :
                List.of(Deployment.kilimanjaroShields(), Deployment.coastlineShields(), Deployment.coastlineSix())) {
            final Set<String> seen = new TreeSet<>();
            SEEDS.forEach(s ->
                    ScenarioGenerator.day(deployment, s, COUNT, 3000).steps().forEach(x -> seen.add(x.trouble())));
            assertEquals(new TreeSet<>(Scenario.SHIELDS), seen, deployment.name());
        }
    }
}
