package org.rowanvalve.data.keyed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.OutcomeRequest;
import org.rowanvalve.common.message.RecordChecksumsRequest;
import org.rowanvalve.common.message.RecordReadRequest;
import org.rowanvalve.common.message.RecordWriteRequest;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.CancelCause;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.voting.StoreHealth;
import org.rowanvalve.control.voting.VoterAddress;
import org.rowanvalve.control.voting.VotingSet;
import org.rowanvalve.data.cancel.Cancellation;

/**
 * Tests how a lease holder reads and writes the records of its shards, against real record replicas on virtual time.
 */
class KeyedRequestsTest extends KeyedHolderFixture {
    private long shortageEvents() {
        return replicas.journal.recent().stream()
                .filter(entry -> entry.event().code() == EventCode.KEEP_SHORT)
                .count();
    }

    @Test
    void waitingRequestsShareOneReadWithoutBodies() {
        replicas.writeRecords(SHARD, 110, 1500);
        replicas.responseBytes.clear();
        final KeyedRequests keyedRequests = newKeyedRequests("w");
        for (int i = 0; i < 60; i++) {
            submit(keyedRequests, "new-" + i, 1000);
        }
        replicas.loop.run(500);
        assertEquals(60, outcomes.stream().filter(RequestOutcome.DONE::equals).count(), outcomes.toString());
        assertTrue(replicas.requestCounts.get("RecordReadRequest") <= 6, "requests: " + replicas.requestCounts);
        assertTrue(
                replicas.responseBytes.get("RecordReadResponse") < 3 * 110 * 300, "bytes: " + replicas.responseBytes);
    }

    /** The bytes of a read depend only on the number of stored records. */
    @Test
    void readSizeIsProportionalToTheNumberOfRecords() {
        final Map<Integer, Long> bytesByRecordCount = new HashMap<>();
        for (final int records : List.of(100, 1000)) {
            final RecordReplicasFixture fixture = new RecordReplicasFixture();
            fixture.writeRecords(SHARD, records, 1500);
            fixture.responseBytes.clear();
            readRecords(fixture, 5000);
            bytesByRecordCount.put(records, fixture.responseBytes.get("RecordReadResponse"));
            assertTrue(
                    fixture.responseBytes.get("RecordReadResponse") <= 3L * records * 290 + 3 * 300,
                    records + ": " + fixture.responseBytes);
        }
        final double byteRatio = (double) bytesByRecordCount.get(1000) / bytesByRecordCount.get(100);
        assertTrue(byteRatio > 9 && byteRatio < 10.5, "ten times the records: " + byteRatio);
    }

    private static boolean readRecords(final RecordReplicasFixture fixture, final long ms) {
        final boolean[] ready = {false};
        final KeyedShard[] shard = new KeyedShard[1];
        shard[0] = new KeyedShard(
                SHARD,
                TOKEN,
                fixture.loop,
                attemptId -> false,
                listener -> new RecordReader(
                        fixture.votingConfiguration,
                        fixture.loop,
                        fixture,
                        new StoreHealth(fixture.votingConfiguration.quorum(), fixture.loop, fixture.journal),
                        SHARD,
                        TOKEN,
                        "w",
                        () -> true,
                        listener),
                () -> {});
        shard[0].whenReady(ms, () -> ready[0] = true, () -> {});
        fixture.loop.run(ms);
        return ready[0];
    }

    /**
     * Reproduces an incident in which responses took longer than 700 ms and, at first, longer than the time-out of one
     * second.
     */
    @Test
    void aReadWithSlowResponsesCompletesAndIsSharedByAllRequests() {
        replicas.writeRecords(SHARD, 110, 1500);
        replicas.responseBytes.clear();
        replicas.responseDelayMs = (id, m) -> m instanceof RecordReadRequest ? 1600L : 1L;
        final KeyedRequests keyedRequests = newKeyedRequests("w");
        for (int i = 0; i < 160; i++) {
            submit(keyedRequests, "new-" + i, 300);
            replicas.loop.run(50);
        }
        assertTrue(outcomes.contains(RequestOutcome.REFUSED), "requests are refused after their wait: " + outcomes);
        assertTrue(outcomes.contains(RequestOutcome.DONE), "later requests are executed: " + outcomes);
        assertFalse(outcomes.subList(100, 160).contains(RequestOutcome.REFUSED), outcomes.toString());
        assertTrue(replicas.requestCounts.get("RecordReadRequest") <= 12, "requests: " + replicas.requestCounts);
        assertTrue(
                replicas.responseBytes.get("RecordReadResponse") <= 6 * 110 * 300, "bytes: " + replicas.responseBytes);
        assertEquals(1, shortageEvents(), "shortage is reported once");
    }

    /**
     * Pages received from one replica stay valid while another replica is slow; only a lost page is requested again.
     */
    @Test
    void onlyLostPagesAreRequestedAgain() {
        replicas.writeRecords(SHARD, 1000, 10);
        replicas.responseBytes.clear();
        final int[] messageCount = {0};
        replicas.responseDelayMs = (id, m) -> ++messageCount[0] % 4 == 0 ? -1L : 35L;
        assertTrue(readRecords(replicas, 20_000));
        assertTrue(
                replicas.responseBytes.get("RecordReadResponse") <= 3 * 1000 * 290 * 5 / 3,
                "bytes: " + replicas.responseBytes);
    }

    /** A replica that was read only in part must not count; a majority of completely read replicas is needed. */
    @Test
    void aReadWithAMissingPageIsNotReady() {
        replicas.writeRecords(SHARD, 300, 10);
        final int[] messageCount = {0};
        replicas.responseDelayMs =
                (id, m) -> m instanceof RecordReadRequest r && r.afterKey() != null && !id.equals(A) ? -1L : 5L;
        assertFalse(readRecords(replicas, 10_000));
    }

    @Test
    void aReplicaWithIncompleteRecordsDoesNotCount() {
        replicas.writeRecords(SHARD, 10, 10);
        replicas.responseDelayMs = (id, m) -> m instanceof RecordChecksumsRequest ? -1L : 1L;
        replicas.stores.get(A).markIncomplete();
        replicas.stores.get(B).markIncomplete();
        final KeyedRequests keyedRequests = newKeyedRequests("w");
        submit(keyedRequests, "new", 1000);
        replicas.loop.run(20_000);
        assertEquals(List.of(RequestOutcome.REFUSED), outcomes);
        assertTrue(replicas.requestCounts.get("RecordReadRequest") <= 60, "requests: " + replicas.requestCounts);
        assertTrue(
                replicas.responseBytes.get("RecordReadResponse") <= 60 * 300 + 3 * 300 * 10,
                "bytes: " + replicas.responseBytes);
    }

    /** A repeated key at a later holder gets the body that the replicas stored for the earlier holder. */
    @Test
    void aRepeatedKeyFetchesTheOutcomeFromAReplica() {
        replicas.writeRecords(SHARD, 3, 900);
        final KeyedRequests keyedRequests = newKeyedRequests("w");
        replicas.responseDelayMs = (id, m) -> m instanceof OutcomeRequest && id.equals(A) ? -1L : 20L;
        submit(keyedRequests, RecordReplicasFixture.key(SHARD, 1), 1000);
        submit(keyedRequests, RecordReplicasFixture.key(SHARD, 1), 1000);
        replicas.loop.run(2500);
        assertEquals(List.of(RequestOutcome.DONE, RequestOutcome.DONE), outcomes);
        assertEquals(900, responses.get(0).body().length);
        assertEquals(201, responses.get(0).status());
        assertTrue(
                replicas.requestCounts.get("OutcomeRequest") <= 2,
                "fetched once for both requests: " + replicas.requestCounts);
        submit(keyedRequests, RecordReplicasFixture.key(SHARD, 1), 1000);
        replicas.loop.run(100);
        assertEquals(3, outcomes.size(), "the fetched outcome is kept");
        assertEquals(0, sentCount);
    }

    @Test
    void aKeyWhoseOutcomeCannotBeFetchedIsUnknownAndNotExecuted() {
        replicas.writeRecords(SHARD, 3, 900);
        replicas.responseDelayMs = (id, m) -> m instanceof OutcomeRequest ? -1L : 1L;
        final KeyedRequests keyedRequests = newKeyedRequests("w");
        submit(keyedRequests, RecordReplicasFixture.key(SHARD, 1), 1000);
        replicas.loop.run(6000);
        assertEquals(List.of(RequestOutcome.UNKNOWN), outcomes);
        assertEquals(0, sentCount);
    }

    /** Only the replica whose era ended is read again; meanwhile the write succeeds at the other replicas. */
    @Test
    void onlyAReplicaWhoseEraEndedIsReadAgain() {
        replicas.writeRecords(SHARD, 110, 10);
        final KeyedRequests keyedRequests = newKeyedRequests("w");
        submit(keyedRequests, "k1", 1000);
        replicas.loop.run(200);
        final int before = replicas.requestCounts.get("RecordReadRequest");
        replicas.stores.get(A).onChecksumsRequest(new RecordChecksumsRequest(0, "x/1", true), m -> {});
        submit(keyedRequests, "k2", 1000);
        replicas.loop.run(200);
        assertEquals(List.of(RequestOutcome.DONE, RequestOutcome.DONE), outcomes);
        assertEquals(before + 2, replicas.requestCounts.get("RecordReadRequest"), "both pages of the one replica");
        replicas.stores.get(B).onChecksumsRequest(new RecordChecksumsRequest(0, "x/1", true), m -> {});
        replicas.stores.get(C).onChecksumsRequest(new RecordChecksumsRequest(0, "x/1", true), m -> {});
        submit(keyedRequests, "k3", 1000);
        replicas.loop.run(500);
        assertEquals(
                3,
                outcomes.stream().filter(RequestOutcome.DONE::equals).count(),
                "written again once the replicas are read");
        assertEquals(3, sentCount);
    }

    /**
     * If another process with the same token has read and written meanwhile, its intent is found and nothing is sent.
     */
    @Test
    void anIntentOfAnotherProcessWithTheSameTokenIsNotOverwritten() {
        final KeyedRequests firstProcess = newKeyedRequests("first");
        submit(firstProcess, "k1", 1000);
        replicas.loop.run(100);
        final KeyedRequests secondProcess = newKeyedRequests("second");
        submit(secondProcess, "k2", 1000);
        submit(secondProcess, "shared", 1000);
        replicas.loop.run(100);
        assertEquals(3, sentCount);
        submit(firstProcess, "shared", 1000);
        replicas.loop.run(2000);
        assertEquals(3, sentCount, "the key ran once");
        assertEquals(RequestOutcome.UNKNOWN, outcomes.get(3));
    }

    private void adoptNextEpoch() {
        final List<String> voters = RecordReplicasFixture.ALL.stream()
                .map(id -> new VoterAddress(id, "127.0.0.1", 1).toString())
                .toList();
        final String body = Json.write(new VotingSet(voters, voters));
        replicas.stores.values().forEach(org.rowanvalve.control.record.KeyedRecordStore::onJoined);
        replicas.votingConfiguration.adopt(new ChosenItem(
                new Ballot(9, "x"),
                new Item(ItemId.VOTERS, new Version(replicas.votingConfiguration.epoch() + 1), body, false, "")));
    }

    /**
     * After a change of epoch, nothing read in the earlier epoch counts; the holder reads once more, without bodies.
     */
    @Test
    void aChangeOfEpochMakesTheHolderReadAgain() {
        replicas.writeRecords(SHARD, 110, 1500);
        final KeyedRequests keyedRequests = newKeyedRequests("w");
        submit(keyedRequests, "k1", 1000);
        replicas.loop.run(100);
        replicas.requestCounts.clear();
        replicas.responseBytes.clear();
        replicas.stores
                .values()
                .forEach(replica -> replica.onWrite(
                        new RecordWriteRequest(0, RecordReplicasFixture.keyedRecord(SHARD, 500, -1), 1), m -> {}));
        adoptNextEpoch();
        submit(keyedRequests, "k2", 1000);
        replicas.loop.run(200);
        assertEquals(List.of(RequestOutcome.DONE, RequestOutcome.DONE), outcomes);
        assertEquals(6, replicas.requestCounts.get("RecordReadRequest"), "two pages of each replica");
        assertTrue(
                replicas.responseBytes.get("RecordReadResponse") < 3 * 111 * 300, "bytes: " + replicas.responseBytes);
    }

    /**
     * A write in flight when the epoch changes is repeated in the new epoch. One acknowledgement in each of the two
     * epochs is not a majority.
     */
    @Test
    void acknowledgementsOfDifferentEpochsAreNotCombined() {
        final KeyedRequests keyedRequests = newKeyedRequests("w");
        submit(keyedRequests, "k1", 1000);
        replicas.loop.run(100);
        assertEquals(1, sentCount);
        replicas.responseDelayMs = (id, m) -> m instanceof RecordWriteRequest ? id.equals(A) ? 1L : 400L : 1L;
        submit(keyedRequests, "k2", 1000);
        replicas.loop.run(50);
        adoptNextEpoch();
        replicas.responseDelayMs = (id, m) -> m instanceof RecordWriteRequest ? id.equals(A) ? 1L : -1L : 1L;
        replicas.loop.run(3000);
        assertEquals(1, sentCount, "acknowledgements in two epochs are not a majority");
        assertEquals(RequestOutcome.REFUSED, outcomes.get(1));
        replicas.responseDelayMs = (id, m) -> 1L;
        submit(keyedRequests, "k3", 1000);
        replicas.loop.run(3000);
        assertEquals(2, sentCount);
    }

    /** Rejections by replicas that have adopted a later epoch do not count as responses in the current epoch. */
    @Test
    void rejectionsByALaterEpochDoNotCountAsResponses() {
        final KeyedRequests keyedRequests = newKeyedRequests("w");
        replicas.withLaterEpoch.addAll(List.of(A, B));
        submit(keyedRequests, "k1", 1000);
        replicas.loop.run(5000);
        assertEquals(List.of(RequestOutcome.REFUSED), outcomes);
        assertEquals(0, sentCount);
        assertTrue(replicas.requestCounts.get("RecordReadRequest") < 30, "requests: " + replicas.requestCounts);
    }

    @Test
    void aKeyWhoseClientLeftWhileTheRecordsWereReadIsNotExecuted() {
        final KeyedRequests keyedRequests = newKeyedRequests("w");
        final Cancellation cancelled = new Cancellation();
        submit(keyedRequests, "k1", 1000, cancelled);
        cancelled.request(CancelCause.CLIENT_LEFT);
        replicas.loop.run(500);
        assertEquals(0, sentCount);
        assertEquals(List.of(RequestOutcome.REFUSED), outcomes);
        submit(keyedRequests, "k1", 1000);
        replicas.loop.run(500);
        assertEquals(1, sentCount);
        assertEquals(RequestOutcome.DONE, outcomes.get(1));
    }

    @Test
    void aKeyWhoseIntentIsBeingWrittenIsExecutedAlthoughItsClientLeft() {
        final KeyedRequests keyedRequests = newKeyedRequests("w");
        submit(keyedRequests, "k0", 1000);
        replicas.loop.run(500);
        final Cancellation cancelled = new Cancellation();
        submit(keyedRequests, "k1", 1000, cancelled);
        cancelled.request(CancelCause.CLIENT_LEFT);
        replicas.loop.run(500);
        assertEquals(2, sentCount);
        submit(keyedRequests, "k1", 1000);
        replicas.loop.run(500);
        assertEquals(2, sentCount, "a repeated key gets the first outcome");
        assertEquals(List.of(RequestOutcome.DONE, RequestOutcome.DONE, RequestOutcome.DONE), outcomes);
    }

    @Test
    void aKeyIsNotExecutedWhileItsRequestIsUnconfirmed() {
        final KeyedRequests keyedRequests = newKeyedRequests("w");
        submit(keyedRequests, "k0", 1000);
        replicas.loop.run(500);
        final Cancellation confirmed = new Cancellation();
        final Cancellation cancelled = new Cancellation();
        confirmed.suspend();
        cancelled.suspend();
        submit(keyedRequests, "k1", 1000, confirmed);
        submit(keyedRequests, "k2", 1000, cancelled);
        replicas.loop.run(500);
        assertEquals(1, sentCount);
        confirmed.confirm();
        cancelled.request(CancelCause.CLIENT_LEFT);
        replicas.loop.run(500);
        assertEquals(2, sentCount);
        assertEquals(List.of(RequestOutcome.DONE, RequestOutcome.REFUSED, RequestOutcome.DONE), outcomes);
    }
}
