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

/**
 * Tests when the retention of a key starts, and how a lease holder treats the records that replicas store of the key.
 */
class KeyedRetentionTest extends KeyedHolderFixture {
    /** Submits a key while the origin has no capacity, so that nothing is sent. */
    private void submitWhileOriginIsFull(final KeyedRequests keyedRequests, final String key) {
        keyedRequests.handle(
                new KeyedRequest(SHARD, key, "d".repeat(64), ""),
                1000,
                Cancellation.NEVER,
                then -> {
                    final OriginTransport.OriginResponse rejection = new OriginTransport.OriginResponse(
                            OriginTransport.ExchangeResult.NOT_SENT, 503, Map.of(), new byte[0], "full");
                    replicas.loop.schedule(
                            5, () -> then.accept(new OriginDispatcher.Completion(rejection, false, 0, 0)));
                },
                response -> outcomes.add(response.fate()));
    }

    /**
     * Guards against a retention period that starts at a refused first attempt, after which the key was executed twice.
     */
    @Test
    void retentionStartsAtTheExecutedAttemptNotAtARefusedOne() {
        final long retentionMs = RecordReplicasFixture.RETENTION.retentionMs();
        for (final long betweenMs : List.of(26_000L, 40_000L, 59_000L, retentionMs - 1, retentionMs + 30_000)) {
            final String key = "k-" + betweenMs;
            final KeyedRequests keyedRequests = newKeyedRequests("w" + betweenMs);
            final int sentBefore = sentCount;
            submitWhileOriginIsFull(keyedRequests, key);
            replicas.loop.run(betweenMs);
            submit(keyedRequests, key, 1000);
            replicas.loop.run(59_000);
            submit(keyedRequests, key, 1000);
            replicas.loop.run(1000);
            assertEquals(sentBefore + 1, sentCount, "executions of " + key);
        }
    }

    /** Guards against a replica that reports a write as accepted although it stores an outcome of the key instead. */
    @Test
    void anOutcomeStoredAtAReplicaIsReturnedAndNothingIsSent() {
        final KeyedRequests keyedRequests = newKeyedRequests("w");
        submit(keyedRequests, "other", 1000);
        replicas.loop.run(100);
        final KeyedRecord storedRecord = new KeyedRecord(
                "k1", SHARD, TOKEN, "d".repeat(64), 7, false, new KeyedOutcome(201, Map.of(), new byte[] {9}, true));
        replicas.stores.get(A).mergeRecords(List.of(new AgedRecord(storedRecord, 1000, 90_000)));
        submit(keyedRequests, "k1", 1000);
        replicas.loop.run(1000);
        assertEquals(1, sentCount);
        assertEquals(RequestOutcome.DONE, outcomes.get(1));
        assertEquals(9, responses.get(1).body()[0]);
    }

    /**
     * Guards against a request with another body that replaces the attempt in flight of a key that was refused before.
     */
    @Test
    void anotherBodyDoesNotReplaceAnAttemptInFlight() {
        final KeyedRequests keyedRequests = newKeyedRequests("w");
        submitWhileOriginIsFull(keyedRequests, "k1");
        replicas.loop.run(100);
        submit(keyedRequests, "k1", 1000);
        replicas.loop.run(3);
        keyedRequests.handle(
                new KeyedRequest(SHARD, "k1", "e".repeat(64), ""),
                1000,
                Cancellation.NEVER,
                then -> sentCount++,
                response -> responses.add(response));
        replicas.loop.run(1000);
        assertEquals(1, sentCount);
        assertEquals(422, responses.get(0).status());
    }
}
