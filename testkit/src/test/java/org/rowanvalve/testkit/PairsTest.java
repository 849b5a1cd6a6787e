package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.scenario.ScenarioGenerator;
import org.rowanvalve.testkit.sim.ScenarioRunner;

/** Troubles on top of each other; {@code rwtestkit pairs} plays all of them. */
class PairsTest {
    @ParameterizedTest
    @CsvSource({
        "blackout,full",
        "ack-lose,stall",
        "freeze,lose-disk",
        "kill,origin-lose",
        "cut,origin-leave",
        "drift,restart",
        "power,surge",
        "purges,slow"
    })
    void everyRuleIsKeptThroughBoth(final String first, final String second) {
        for (final Deployment deployment : List.of(Deployment.kilimanjaro(), Deployment.coastline())) {
            final List<String> two = List.of(first, second);
            assertTrue(ScenarioGenerator.pairs(deployment).contains(two));
            final ScenarioRunner play = new ScenarioRunner(ScenarioGenerator.pair(deployment, two, 1), 1);
            final Judge judge = new Judge(play.run());
            assertTrue(judge.clean(), deployment.name() + " " + judge.text(3));
            assertEquals(List.of(), play.missed());
        }
    }
}
