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

/** Tests which record of a key a replica stores after several records arrived, in every order. */
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
            final List<KeyedRecord> remaining, final List<KeyedRecord> order, final List<List<KeyedRecord>> orders) {
        if (remaining.isEmpty()) {
            orders.add(List.copyOf(order));
            return;
        }
        for (final KeyedRecord next : remaining) {
            final List<KeyedRecord> others = new ArrayList<>(remaining);
            others.remove(next);
            order.add(next);
            permute(others, order, orders);
            order.remove(order.size() - 1);
        }
    }

    private static KeyedRecord storedAfter(final List<KeyedRecord> arrivals) {
        KeyedRecord stored = null;
        for (final KeyedRecord next : arrivals) {
            stored = next.mergedOver(stored);
        }
        return stored;
    }

    /** Guards against ends of earlier attempts that are taken, below the token floor, as the end of a later one. */
    @Test
    void onlyTheAttemptWhoseIntentIsStoredIsConcluded() {
        final KeyedRecord intent = record(1, false, false);
        assertTrue(record(1, false, true).concludes(intent), "its outcome");
        assertTrue(record(1, true, false).concludes(intent), "nothing of it was sent");
        assertFalse(record(1, false, false).concludes(intent), "the intent again");
        assertFalse(record(2, false, true).concludes(intent));
        assertFalse(record(2, true, false).concludes(intent));
        assertFalse(record(1, false, true).concludes(record(1, true, false)), "it is known how it ended");
        assertFalse(record(1, true, false).concludes(record(1, false, true)));
        assertFalse(record(1, false, true).concludes(null));
    }

    /** Guards against a late record of a rejected attempt that replaces the record of a later attempt in flight. */
    @Test
    void lateRecordOfAnEarlierAttemptNeverReplacesALaterOne() {
        final List<List<KeyedRecord>> orders = new ArrayList<>();
        permute(
                List.of(record(1, false, false), record(1, true, false), record(2, false, false)),
                new ArrayList<>(),
                orders);
        assertEquals(6, orders.size());
        orders.forEach(order -> assertSame(order.get(order.indexOf(record(2, false, false))), storedAfter(order)));
    }

    @Test
    void storedOutcomeIsNeverReplacedByALaterIntent() {
        final List<List<KeyedRecord>> orders = new ArrayList<>();
        permute(
                List.of(
                        record(1, false, false),
                        record(1, true, false),
                        record(2, false, false),
                        record(2, false, true)),
                new ArrayList<>(),
                orders);
        orders.forEach(order -> assertTrue(storedAfter(order).outcome() != null, order.toString()));
    }

    /** Guards against a copying replica that keeps a rejected attempt in place of the later attempt in flight. */
    @Test
    void laterAttemptOfAProcessIsResolvedInWhateverOrderReplicasAreRead() {
        final KeyedRecord later = record(2, false, false);
        final List<List<KeyedRecord>> orders = new ArrayList<>();
        permute(List.of(record(1, false, false), record(1, true, false), later), new ArrayList<>(), orders);
        permute(List.of(record(1, false, false), later), new ArrayList<>(), orders);
        permute(List.of(record(1, true, false), later), new ArrayList<>(), orders);
        orders.forEach(order -> assertEquals(later, KeyedRecord.resolve(order), order.toString()));
    }

    /** The copy of an earlier attempt, followed by its late mark, must not erase the later attempt at a replica. */
    @Test
    void copiedRecordsAndALateMarkKeepTheAttemptInFlight() {
        final KeyedRecord inFlight = record(2, false, false);
        final KeyedRecord copied = KeyedRecord.resolve(List.of(record(1, false, false), inFlight));
        assertEquals(inFlight, record(1, true, false).mergedOver(copied));
    }

    @Test
    void attemptsOfOneProcessAreRecognized() {
        final long id = KeyedRecord.attemptId("process", 7);
        assertTrue(KeyedRecord.isSameProcess(id, KeyedRecord.attemptId("process", 8)));
        assertFalse(KeyedRecord.isSameProcess(id, KeyedRecord.attemptId("other", 7)));
    }
}
