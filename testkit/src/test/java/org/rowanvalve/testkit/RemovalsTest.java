package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.rowanvalve.common.model.ValidationError;

/** Each rule has a removal; all fit the source; the quick ones are taken out here, the rest by {@code bin/rwmutations}. */
class RemovalsTest {
    private static final List<String> HERE =
            List.of("digest-not-compared", "pace-doubled", "grants-held-at-once", "old-intents-run");

    @TempDir
    private Path dir;

    @Test
    void everyRuleHasARemovalThatFitsTheSource() throws Exception {
        final List<ValidationError> faults = new ArrayList<>();
        final Map<String, Removals.Removal> all = Removals.all(faults);
        assertEquals(List.of(), faults);
        final Set<String> rules =
                all.values().stream().map(Removals.Removal::rule).collect(Collectors.toCollection(TreeSet::new));
        for (final String rule :
                List.of("1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11", "12", "D1", "D2", "D3", "D4")) {
            assertTrue(rules.contains(rule), "rule " + rule);
        }
    }

    @Test
    void aRuleTakenOutIsCaught() throws Exception {
        final Map<String, Removals.Removal> all = Removals.all(new ArrayList<>());
        final Map<String, String> ends =
                Removals.run(HERE.stream().map(all::get).toList(), dir, 2);
        assertEquals(Set.of("caught"), Set.copyOf(ends.values()), ends.toString());
    }

    /** A change that takes nothing out must not count as caught. */
    @Test
    void nothingTakenOutIsNotCaught() throws Exception {
        final Removals.Removal none = new Removals.Removal(
                "none",
                "1",
                "data/src/main/java/org/rowanvalve/data/limit/RateLimiter.java",
                "1000.0 / (rate * share)",
                "1000.0 / (share * rate)",
                "LeaseHolderTest#fourHoldersSharesAddUpToTheRateInEveryWindow");
        assertEquals("NOT CAUGHT", Removals.caught(none, dir));
        final Removals.Removal nobody =
                new Removals.Removal("nobody", "1", none.file(), none.find(), none.put(), "NoSuchTest#here");
        assertTrue(Removals.caught(nobody, dir).startsWith("NOT RUN"));
    }
}
