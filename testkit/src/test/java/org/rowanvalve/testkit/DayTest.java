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
import org.rowanvalve.common.Hash;
import org.rowanvalve.control.Json;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.judge.Verdict;
import org.rowanvalve.testkit.sim.ScriptRunner;

/** Whole days of troubles in the simulator, from fixed seeds. */
class DayTest {
    private static final int COUNT = 8;
    private static final Map<String, Long> MET = new ConcurrentHashMap<>();

    @ParameterizedTest
    @CsvSource({"kilimanjaro,1", "kilimanjaro,2", "kilimanjaro,3", "coastline,1", "coastline,2", "coastline,3"})
    void aDayKeepsEveryRule(final String place, final long seed) {
        final ScriptRunner play = new ScriptRunner(DayDraw.day(Place.of(place), seed, COUNT, 3500), seed);
        final Judge judge = new Judge(play.run());
        assertTrue(judge.clean(), judge.text(3));
        assertEquals(List.of(), play.missed());
        judge.verdicts().forEach(v -> MET.merge(place + " rule " + v.rule(), v.checked(), Long::sum));
        System.out.println(place + " " + seed + "\n"
                + String.join("\n", judge.verdicts().stream().map(Verdict::line).toList()));
    }

    /** A rule that none of the days above was checked on would be a hole. */
    @AfterAll
    static void everyRuleWasMet() {
        final List<String> holes = MET.entrySet().stream()
                .filter(e -> e.getValue() == 0)
                .map(Map.Entry::getKey)
                .toList();
        assertEquals(List.of(), holes);
    }

    /** Every trouble is met by some day above, in both places. */
    @Test
    void theseDaysHoldEveryTrouble() {
        for (final Place place : List.of(Place.kilimanjaro(), Place.coastline())) {
            final Set<String> seen = new TreeSet<>();
            for (final long seed : List.of(1L, 2L, 3L)) {
                DayDraw.day(place, seed, COUNT, 3500).steps().forEach(s -> seen.add(s.trouble()));
            }
            assertEquals(new TreeSet<>(Script.TROUBLES), seen, place.name());
        }
    }

    private static String digest(final long seed) {
        final StringBuilder all = new StringBuilder();
        for (final Map<String, Object> row :
                new ScriptRunner(DayDraw.day(Place.coastline(), seed, 2, 1500), seed).run()) {
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
