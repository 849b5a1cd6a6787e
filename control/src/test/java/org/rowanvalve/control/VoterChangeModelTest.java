package org.rowanvalve.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Every single fault at every message of a change of voters, in each scene: nothing acknowledged is lost. */
class VoterChangeModelTest {
    private static final List<String> THREE = List.of("a", "b", "c");
    private static final List<String> FOUR = List.of("a", "b", "c", "d");
    private static final List<String> REPLACED = List.of("a", "b", "d");

    static Stream<VoterChangeModel.Scene> scenes() {
        return Stream.of(
                new VoterChangeModel.Scene(THREE, REPLACED, List.of(), false),
                new VoterChangeModel.Scene(THREE, REPLACED, List.of("b", "c"), false),
                new VoterChangeModel.Scene(THREE, REPLACED, List.of("b", "c"), true),
                new VoterChangeModel.Scene(THREE, FOUR, List.of(), false),
                new VoterChangeModel.Scene(THREE, FOUR, List.of("a", "c"), true),
                new VoterChangeModel.Scene(FOUR, THREE, List.of(), false),
                new VoterChangeModel.Scene(FOUR, THREE, List.of("a", "b", "d"), true),
                new VoterChangeModel.Scene(List.of("a", "b", "c", "d", "e"), FOUR, List.of("c", "d", "e"), true));
    }

    @ParameterizedTest
    @MethodSource("scenes")
    void nothingAcknowledgedIsLostWhateverMessageMeetsAFault(final VoterChangeModel.Scene scene) {
        final VoterChangeModel plain = new VoterChangeModel(scene, 0, VoterChangeModel.Fault.NONE);
        assertEquals(List.of(), plain.run());
        assertEquals(1, plain.epoch());
        assertTrue(plain.marks() >= 3, "writes stood: " + plain.marks());
        int runs = 0;
        for (final VoterChangeModel.Fault fault : VoterChangeModel.Fault.values()) {
            for (int i = 1; i <= plain.messages() && fault != VoterChangeModel.Fault.NONE; i++) {
                final VoterChangeModel run = new VoterChangeModel(scene, i, fault);
                assertEquals(List.of(), run.run());
                runs++;
            }
        }
        assertTrue(runs > 900, "explored " + runs);
    }
}
