package rv.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rv.base.Hash;
import rv.control.Json;
import rv.rig.judge.Judge;
import rv.rig.judge.Verdict;
import rv.rig.sim.Play;

/** Whole days of troubles in the simulator, from fixed seeds. */
class DayTest {
    private static final List<Integer> ALWAYS = List.of(1, 2, 3, 4, 5, 6, 7, 9, 10, 11, 12);

    @ParameterizedTest
    @CsvSource({"kilimanjaro,2", "kilimanjaro,3", "kilimanjaro,4", "coastline,2", "coastline,5", "coastline,17"})
    void aDayKeepsEveryRule(final String place, final long seed) {
        final Play play = new Play(Script.day(Place.of(place), seed, 7, 3500), seed);
        final Judge judge = new Judge(play.run());
        assertTrue(judge.clean(), judge.text(3));
        assertEquals(List.of(), play.missed());
        ALWAYS.forEach(n -> assertTrue(judge.rule(n).checked() > 0, judge.rule(n).line()));
        System.out.println(place + " " + seed + "\n" + String.join("\n", judge.verdicts().stream().map(Verdict::line).toList()));
    }

    private static String digest(final long seed) {
        final StringBuilder all = new StringBuilder();
        for (final Map<String, Object> row : new Play(Script.day(Place.coastline(), seed, 2, 1500), seed).run()) {
            all.append(Json.text(row)).append('\n');
        }
        return Hash.digest(all.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }

    @Test
    void aSeedRepeatsToTheByte() {
        assertEquals(digest(11), digest(11));
        assertNotEquals(digest(11), digest(12));
    }
}
