package org.rowanvalve.common.message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.model.FencingToken;

/** What one replica holds of a key once several records have come to it, in every order. */
class KeyedRecordTest {
    private static final FencingToken TOKEN = new FencingToken(3, 1);

    private static KeyedRecord record(final long attempt, final boolean notSent, final boolean hasOutcome) {
        return new KeyedRecord(
                "key",
                1,
                TOKEN,
                "digest",
                KeyedRecord.attemptId("process", attempt),
                notSent,
                hasOutcome ? new KeyedOutcome(200, Map.of(), new byte[0], true) : null);
    }

    private static void permute(
            final List<KeyedRecord> rest, final List<KeyedRecord> order, final List<List<KeyedRecord>> all) {
        if (rest.isEmpty()) {
            all.add(List.copyOf(order));
            return;
        }
        for (final KeyedRecord next : rest) {
            final List<KeyedRecord> left = new ArrayList<>(rest);
            left.remove(next);
            order.add(next);
            permute(left, order, all);
            order.remove(order.size() - 1);
        }
    }

    private static KeyedRecord held(final List<KeyedRecord> arrivals) {
        KeyedRecord stored = null;
        for (final KeyedRecord next : arrivals) {
            stored = next.mergedOver(stored);
        }
        return stored;
    }

    /** Guards against a late record of a refused attempt that hides the later attempt, which is in flight. */
    @Test
    void aLateRecordOfAnEarlierAttemptNeverHidesALaterOne() {
        final List<List<KeyedRecord>> orders = new ArrayList<>();
        permute(
                List.of(record(1, false, false), record(1, true, false), record(2, false, false)),
                new ArrayList<>(),
                orders);
        assertEquals(6, orders.size());
        orders.forEach(order -> assertSame(order.get(order.indexOf(record(2, false, false))), held(order)));
    }

    @Test
    void anOutcomeStandsWhateverComesLater() {
        final List<List<KeyedRecord>> orders = new ArrayList<>();
        permute(
                List.of(
                        record(1, false, false),
                        record(1, true, false),
                        record(2, false, false),
                        record(2, false, true)),
                new ArrayList<>(),
                orders);
        orders.forEach(order -> assertTrue(held(order).outcome() != null, order.toString()));
    }

    @Test
    void attemptsOfOneProcessAreKnownAsSuch() {
        final long id = KeyedRecord.attemptId("process", 7);
        assertTrue(KeyedRecord.isSameProcess(id, KeyedRecord.attemptId("process", 8)));
        assertFalse(KeyedRecord.isSameProcess(id, KeyedRecord.attemptId("other", 7)));
    }
}
