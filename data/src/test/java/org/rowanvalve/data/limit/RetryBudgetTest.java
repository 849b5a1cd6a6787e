package org.rowanvalve.data.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {

    @Test
    void theStatedRatioAndSlackBoundEachSender() {
        final RetryBudget none = new RetryBudget(0, 0);
        none.recordFirst("s", 0);
        assertFalse(none.trySpend("s", 0, 1));
        final RetryBudget a = new RetryBudget(0.5, 50);
        a.recordFirst("s", 0);
        a.recordFirst("s", 0);
        assertFalse(a.trySpend("s", 0, 1), "0.45 each come to less than one");
        a.recordFirst("s", 0);
        assertFalse(a.trySpend("t", 0, 1), "another service earned nothing");
        assertTrue(a.trySpend("s", 0, 1));
        for (int i = 0; i < 100; i++) {
            a.recordFirst("s", 1);
        }
        int n = 0;
        while (a.trySpend("s", 1, 10)) {
            n++;
        }
        assertEquals(2, n, "what can be saved is a tenth of 0.4 times the slack");
    }

    /** Four senders whose requests stop and start at odd times, every window of 10 s. */
    @Test
    void noWindowOfTenSecondsHoldsMoreThanAFifthPlusSixty() {
        for (int seed = 0; seed < 20; seed++) {
            final Random random = new Random(seed);
            final RetryBudget[] all = {new RetryBudget(), new RetryBudget(), new RetryBudget(), new RetryBudget()};
            final List<Long> first = new ArrayList<>();
            final List<Long> extra = new ArrayList<>();
            for (long t = 0; t < 60_000; t += 5) {
                final boolean busy = (t / 3000 + seed) % 3 != 0;
                for (final RetryBudget a : all) {
                    if (busy && random.nextInt(4) == 0) {
                        a.recordFirst("s", t);
                        first.add(t);
                    }
                    if (a.trySpend("s", t, 4)) {
                        extra.add(t);
                    }
                }
            }
            assertTrue(extra.size() > 300, "tries were allowed at all");
            for (final long end : extra) {
                final long tries =
                        extra.stream().filter(t -> t > end - 10_000 && t <= end).count();
                final long asked =
                        first.stream().filter(t -> t > end - 10_000 && t <= end).count();
                assertTrue(tries <= 0.2 * asked + 60, tries + " extra tries beside " + asked + ", seed " + seed);
            }
        }
    }
}
