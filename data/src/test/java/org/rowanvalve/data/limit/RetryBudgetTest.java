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
    void ratioAndSlackBoundTheRetriesOfEachSender() {
        final RetryBudget empty = new RetryBudget(0, 0);
        empty.recordFirstAttempt("s", 0);
        assertFalse(empty.trySpend("s", 0, 1));
        final RetryBudget budget = new RetryBudget(0.5, 50);
        budget.recordFirstAttempt("s", 0);
        budget.recordFirstAttempt("s", 0);
        assertFalse(budget.trySpend("s", 0, 1), "two requests earn 0.45 retries each, together less than one");
        budget.recordFirstAttempt("s", 0);
        assertFalse(budget.trySpend("t", 0, 1), "another service has earned no retry");
        assertTrue(budget.trySpend("s", 0, 1));
        for (int i = 0; i < 100; i++) {
            budget.recordFirstAttempt("s", 1);
        }
        int spent = 0;
        while (budget.trySpend("s", 1, 10)) {
            spent++;
        }
        assertEquals(2, spent, "one of ten senders can save a tenth of 0.4 times the slack");
    }

    /** Checks every window of 10 s with four senders whose requests stop and start at different times. */
    @Test
    void retriesInAnyTenSecondsAreAtMostAFifthOfTheRequestsPlusSixty() {
        for (int seed = 0; seed < 20; seed++) {
            final Random random = new Random(seed);
            final RetryBudget[] budgets = {new RetryBudget(), new RetryBudget(), new RetryBudget(), new RetryBudget()};
            final List<Long> firstAttempts = new ArrayList<>();
            final List<Long> retries = new ArrayList<>();
            for (long time = 0; time < 60_000; time += 5) {
                final boolean busy = (time / 3000 + seed) % 3 != 0;
                for (final RetryBudget budget : budgets) {
                    if (busy && random.nextInt(4) == 0) {
                        budget.recordFirstAttempt("s", time);
                        firstAttempts.add(time);
                    }
                    if (budget.trySpend("s", time, 4)) {
                        retries.add(time);
                    }
                }
            }
            assertTrue(retries.size() > 300, "retries were allowed");
            for (final long end : retries) {
                final long retryCount = retries.stream()
                        .filter(time -> time > end - 10_000 && time <= end)
                        .count();
                final long requestCount = firstAttempts.stream()
                        .filter(time -> time > end - 10_000 && time <= end)
                        .count();
                assertTrue(
                        retryCount <= 0.2 * requestCount + 60,
                        retryCount + " retries for " + requestCount + " requests, seed " + seed);
            }
        }
    }
}
