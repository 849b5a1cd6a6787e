package org.rowanvalve.data.keyed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.message.AgedRecord;
import org.rowanvalve.common.message.KeyedOutcome;
import org.rowanvalve.common.message.KeyedRecord;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.origin.OriginDispatcher;
import org.rowanvalve.data.origin.OriginTransport;

/** From when a key is remembered, and what a holder concludes from what the replicas hold of it. */
class KeyedRetentionTest extends KeyedHolderFixture {
    /** Tries a key whose origin is full: it answers that nothing was executed. */
    private void takeWhileFull(final KeyedRequests desk, final String key) {
        desk.handle(
                SHARD,
                key,
                "d".repeat(64),
                1000,
                Cancellation.NEVER,
                then -> {
                    final OriginTransport.OriginResponse full = new OriginTransport.OriginResponse(
                            OriginTransport.ExchangeResult.NOT_SENT, 503, Map.of(), new byte[0], "full");
                    keepers.loop.schedule(5, () -> then.accept(new OriginDispatcher.Completion(full, false, 0, 0)));
                },
                f -> answers.add(f.fate()));
    }

    /** Guards against a key that is forgotten by the age of a first attempt that was refused (review, case 2). */
    @Test
    void aKeyIsRememberedFromTheAttemptThatRanNotFromARefusedOne() {
        final long retentionMs = RecordKeepersFixture.RETENTION.retentionMs();
        for (final long betweenMs : List.of(26_000L, 40_000L, 59_000L, retentionMs - 1, retentionMs + 30_000)) {
            final String key = "k-" + betweenMs;
            final KeyedRequests desk = desk("w" + betweenMs);
            final int before = sent;
            takeWhileFull(desk, key);
            keepers.loop.run(betweenMs);
            take(desk, key, 1000);
            keepers.loop.run(59_000);
            take(desk, key, 1000);
            keepers.loop.run(1000);
            assertEquals(before + 1, sent, "executions of " + key);
        }
    }

    /** Guards against a write that a replica answers as accepted though it keeps an outcome (review, case 2). */
    @Test
    void anOutcomeThatStandsAtAReplicaIsGivenAndNothingIsSent() {
        final KeyedRequests desk = desk("w");
        take(desk, "other", 1000);
        keepers.loop.run(100);
        final KeyedRecord stands = new KeyedRecord(
                "k1", SHARD, TOKEN, "d".repeat(64), 7, false, new KeyedOutcome(201, Map.of(), new byte[] {9}, true));
        keepers.stores.get(A).mergeRecords(List.of(new AgedRecord(stands, 1000, 90_000)));
        take(desk, "k1", 1000);
        keepers.loop.run(1000);
        assertEquals(1, sent);
        assertEquals(RequestOutcome.DONE, answers.get(1));
        assertEquals(9, filled.get(1).body()[0]);
    }

    /** Guards against a second body that replaces the attempt in flight of a key that was refused before. */
    @Test
    void anotherBodyDoesNotReplaceAnAttemptInFlight() {
        final KeyedRequests desk = desk("w");
        takeWhileFull(desk, "k1");
        keepers.loop.run(100);
        take(desk, "k1", 1000);
        keepers.loop.run(3);
        desk.handle(SHARD, "k1", "e".repeat(64), 1000, Cancellation.NEVER, then -> sent++, f -> filled.add(f));
        keepers.loop.run(1000);
        assertEquals(1, sent);
        assertEquals(422, filled.get(0).status());
    }
}
