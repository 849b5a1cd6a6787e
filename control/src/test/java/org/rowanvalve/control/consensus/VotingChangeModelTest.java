package org.rowanvalve.control.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Injects each kind of fault at each message of a change of the voting set, in every scenario. No acknowledged write
 * may be lost.
 */
class VotingChangeModelTest {
    private static final List<String> THREE = List.of("a", "b", "c");
    private static final List<String> FOUR = List.of("a", "b", "c", "d");
    private static final List<String> REPLACED = List.of("a", "b", "d");

    static Stream<VotingChangeModel.Scenario> scenarios() {
        return Stream.of(
                new VotingChangeModel.Scenario(THREE, REPLACED, List.of(), false),
                new VotingChangeModel.Scenario(THREE, REPLACED, List.of("b", "c"), false),
                new VotingChangeModel.Scenario(THREE, REPLACED, List.of("b", "c"), true),
                new VotingChangeModel.Scenario(THREE, FOUR, List.of(), false),
                new VotingChangeModel.Scenario(THREE, FOUR, List.of("a", "c"), true),
                new VotingChangeModel.Scenario(FOUR, THREE, List.of(), false),
                new VotingChangeModel.Scenario(FOUR, THREE, List.of("a", "b", "d"), true),
                new VotingChangeModel.Scenario(List.of("a", "b", "c", "d", "e"), FOUR, List.of("c", "d", "e"), true));
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void noAcknowledgedWriteIsLostWhicheverMessageIsFaulty(final VotingChangeModel.Scenario scenario) {
        final VotingChangeModel faultless = new VotingChangeModel(scenario, 0, VotingChangeModel.Fault.NONE);
        assertEquals(List.of(), faultless.run());
        assertEquals(1, faultless.epoch());
        assertTrue(faultless.acknowledgedWrites() >= 3, "acknowledged writes: " + faultless.acknowledgedWrites());
        int runs = 0;
        for (final VotingChangeModel.Fault fault : VotingChangeModel.Fault.values()) {
            for (int i = 1; i <= faultless.messages() && fault != VotingChangeModel.Fault.NONE; i++) {
                final VotingChangeModel run = new VotingChangeModel(scenario, i, fault);
                assertEquals(List.of(), run.run());
                runs++;
            }
        }
        assertTrue(runs > 900, "runs with a fault: " + runs);
    }
}
