package org.rowanvalve.control.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Every single fault at every message of a change of voters, in each scene: nothing acknowledged is lost. */
class VotingChangeModelTest {
    private static final List<String> THREE = List.of("a", "b", "c");
    private static final List<String> FOUR = List.of("a", "b", "c", "d");
    private static final List<String> REPLACED = List.of("a", "b", "d");

    static Stream<VotingChangeModel.Scene> scenes() {
        return Stream.of(
                new VotingChangeModel.Scene(THREE, REPLACED, List.of(), false),
                new VotingChangeModel.Scene(THREE, REPLACED, List.of("b", "c"), false),
                new VotingChangeModel.Scene(THREE, REPLACED, List.of("b", "c"), true),
                new VotingChangeModel.Scene(THREE, FOUR, List.of(), false),
                new VotingChangeModel.Scene(THREE, FOUR, List.of("a", "c"), true),
                new VotingChangeModel.Scene(FOUR, THREE, List.of(), false),
                new VotingChangeModel.Scene(FOUR, THREE, List.of("a", "b", "d"), true),
                new VotingChangeModel.Scene(List.of("a", "b", "c", "d", "e"), FOUR, List.of("c", "d", "e"), true));
    }

    @ParameterizedTest
    @MethodSource("scenes")
    void nothingAcknowledgedIsLostWhateverMessageMeetsAFault(final VotingChangeModel.Scene scene) {
        final VotingChangeModel plain = new VotingChangeModel(scene, 0, VotingChangeModel.Fault.NONE);
        assertEquals(List.of(), plain.run());
        assertEquals(1, plain.epoch());
        assertTrue(plain.marks() >= 3, "writes stood: " + plain.marks());
        int runs = 0;
        for (final VotingChangeModel.Fault fault : VotingChangeModel.Fault.values()) {
            for (int i = 1; i <= plain.messages() && fault != VotingChangeModel.Fault.NONE; i++) {
                final VotingChangeModel run = new VotingChangeModel(scene, i, fault);
                assertEquals(List.of(), run.run());
                runs++;
            }
        }
        assertTrue(runs > 900, "explored " + runs);
    }
}
