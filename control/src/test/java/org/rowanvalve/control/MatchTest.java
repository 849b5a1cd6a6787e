package org.rowanvalve.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Hash;

class MatchTest {
    private static Match split(final Match.Part... parts) {
        return new Match("/", "s", Match.STATUS, 0, true, null, null, List.of(parts), true, 0, 0, 0, 0, null);
    }

    @Test
    void everyRollPicksByWeightAndNeverAServiceWithoutOne() {
        final Match m = split(
                new Match.Part("none", 0),
                new Match.Part("most", 90),
                new Match.Part("few", 10),
                new Match.Part("zero", 0));
        final Map<String, Integer> seen = new TreeMap<>();
        for (int i = 0; i < 10_000; i++) {
            seen.merge(m.pick(Hash.mix("request-" + i)), 1, Integer::sum);
        }
        assertEquals(2, seen.size(), seen.toString());
        assertTrue(seen.get("few") > 850 && seen.get("few") < 1150, seen.toString());
        for (final long roll : new long[] {Long.MIN_VALUE, -1, 0, 89, 90, 99, 100, Long.MAX_VALUE}) {
            assertTrue(List.of("most", "few").contains(m.pick(roll)), String.valueOf(roll));
        }
        assertEquals("most", m.pick(89));
        assertEquals("few", m.pick(90));
    }

    @Test
    void allThatItNamesAndAllThatMayGetARequest() {
        final Match m = split(new Match.Part("a", 0), new Match.Part("b", 2));
        assertEquals(List.of("b"), m.services());
        assertTrue(m.named().containsAll(List.of("a", "b")));
        assertEquals("s", split().pick(-7));
        assertEquals(3, m.tries(), "where none is stated");
        assertEquals("n|/x", m.slot("n", "/x"));
    }
}
