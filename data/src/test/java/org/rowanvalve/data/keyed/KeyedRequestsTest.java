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

/** How a holder reads and writes the records of its shards, against real record stores on virtual time. */
class KeyedRequestsTest extends KeyedHolderFixture {
    private long shortages() {
        return keepers.journal.recent().stream()
                .filter(entry -> entry.event().code() == EventCode.KEEP_SHORT)
                .count();
    }

    @Test
    void aReadingIsOneForAllWhoWaitAndHasNoBodies() {
        keepers.fill(SHARD, 110, 1500);
        keepers.bytes.clear();
        final KeyedRequests desk = desk("w");
        for (int i = 0; i < 60; i++) {
            take(desk, "new-" + i, 1000);
        }
        keepers.loop.run(500);
        assertEquals(60, answers.stream().filter(RequestOutcome.DONE::equals).count(), answers.toString());
        assertTrue(keepers.asked.get("RecordReadRequest") <= 6, "questions " + keepers.asked);
        assertTrue(keepers.bytes.get("RecordReadResponse") < 3 * 110 * 300, "bytes " + keepers.bytes);
    }

    /** Bytes of a reading grow with the records that stand, and with nothing else. */
    @Test
    void bytesOfAReadingAreBoundedByTheRecords() {
        final Map<Integer, Long> cost = new HashMap<>();
        for (final int records : List.of(100, 1000)) {
            final RecordKeepersFixture some = new RecordKeepersFixture();
            some.fill(SHARD, records, 1500);
            some.bytes.clear();
            read(some, 5000);
            cost.put(records, some.bytes.get("RecordReadResponse"));
            assertTrue(
                    some.bytes.get("RecordReadResponse") <= 3L * records * 290 + 3 * 300, records + ": " + some.bytes);
        }
        final double growth = (double) cost.get(1000) / cost.get(100);
        assertTrue(growth > 9 && growth < 10.5, "ten times the records: " + growth);
    }

    private static boolean read(final RecordKeepersFixture some, final long ms) {
        final boolean[] ready = {false};
        final KeyedShard[] shard = new KeyedShard[1];
        shard[0] = new KeyedShard(
                SHARD,
                TOKEN,
                some.loop,
                turn -> false,
                listener -> new RecordReader(
                        some.votingConfiguration,
                        some.loop,
                        some,
                        new StoreHealth(some.votingConfiguration.quorum(), some.loop, some.journal),
                        SHARD,
                        TOKEN,
                        "w",
                        () -> true,
                        listener),
                () -> {});
        shard[0].whenReady(ms, () -> ready[0] = true, () -> {});
        some.loop.run(ms);
        return ready[0];
    }

    /** The case of the incident: no answer comes within 700 ms, at first none within a second. */
    @Test
    void lateAnswersEndAReadingInTheEndAndRequestsDoNotMultiplyIt() {
        keepers.fill(SHARD, 110, 1500);
        keepers.bytes.clear();
        keepers.delay = (id, m) -> m instanceof RecordReadRequest ? 1600L : 1L;
        final KeyedRequests desk = desk("w");
        for (int i = 0; i < 160; i++) {
            take(desk, "new-" + i, 300);
            keepers.loop.run(50);
        }
        assertTrue(answers.contains(RequestOutcome.REFUSED), "those that waited were refused: " + answers);
        assertTrue(answers.contains(RequestOutcome.DONE), "and later ones are served: " + answers);
        assertFalse(answers.subList(100, 160).contains(RequestOutcome.REFUSED), answers.toString());
        assertTrue(keepers.asked.get("RecordReadRequest") <= 12, "questions " + keepers.asked);
        assertTrue(keepers.bytes.get("RecordReadResponse") <= 6 * 110 * 300, "bytes " + keepers.bytes);
        assertEquals(1, shortages(), "told once");
    }

    /** What one keeper has answered counts on while another is late; only its late page is asked again. */
    @Test
    void lostPagesAreAskedAgainAlone() {
        keepers.fill(SHARD, 1000, 10);
        keepers.bytes.clear();
        final int[] n = {0};
        keepers.delay = (id, m) -> ++n[0] % 4 == 0 ? -1L : 35L;
        assertTrue(read(keepers, 20_000));
        assertTrue(keepers.bytes.get("RecordReadResponse") <= 3 * 1000 * 290 * 5 / 3, "bytes " + keepers.bytes);
    }

    /** Half a read must not count: a majority of whole ones is needed. */
    @Test
    void aReadingThatLacksAPageIsNotReady() {
        keepers.fill(SHARD, 300, 10);
        final int[] n = {0};
        keepers.delay = (id, m) -> m instanceof RecordReadRequest r && r.afterKey() != null && !id.equals(A) ? -1L : 5L;
        assertFalse(read(keepers, 10_000));
    }

    @Test
    void aKeeperInALapseDoesNotCount() {
        keepers.fill(SHARD, 10, 10);
        keepers.delay = (id, m) -> m instanceof RecordChecksumsRequest ? -1L : 1L;
        keepers.stores.get(A).markIncomplete();
        keepers.stores.get(B).markIncomplete();
        final KeyedRequests desk = desk("w");
        take(desk, "new", 1000);
        keepers.loop.run(20_000);
        assertEquals(List.of(RequestOutcome.REFUSED), answers);
        assertTrue(keepers.asked.get("RecordReadRequest") <= 60, "questions " + keepers.asked);
        assertTrue(keepers.bytes.get("RecordReadResponse") <= 60 * 300 + 3 * 300 * 10, "bytes " + keepers.bytes);
    }

    /** A repeat at a later holder gets the body that the earlier one's keepers have. */
    @Test
    void anOutcomeIsFetchedWhenARepeatComes() {
        keepers.fill(SHARD, 3, 900);
        final KeyedRequests desk = desk("w");
        keepers.delay = (id, m) -> m instanceof OutcomeRequest && id.equals(A) ? -1L : 20L;
        take(desk, RecordKeepersFixture.key(SHARD, 1), 1000);
        take(desk, RecordKeepersFixture.key(SHARD, 1), 1000);
        keepers.loop.run(2500);
        assertEquals(List.of(RequestOutcome.DONE, RequestOutcome.DONE), answers);
        assertEquals(900, filled.get(0).body().length);
        assertEquals(201, filled.get(0).status());
        assertTrue(keepers.asked.get("OutcomeRequest") <= 2, "fetched once for both " + keepers.asked);
        take(desk, RecordKeepersFixture.key(SHARD, 1), 1000);
        keepers.loop.run(100);
        assertEquals(3, answers.size(), "then it is here");
        assertEquals(0, sent);
    }

    @Test
    void anOutcomeThatCannotBeFetchedIsUnknownAndNeverRuns() {
        keepers.fill(SHARD, 3, 900);
        keepers.delay = (id, m) -> m instanceof OutcomeRequest ? -1L : 1L;
        final KeyedRequests desk = desk("w");
        take(desk, RecordKeepersFixture.key(SHARD, 1), 1000);
        keepers.loop.run(6000);
        assertEquals(List.of(RequestOutcome.UNKNOWN), answers);
        assertEquals(0, sent);
    }

    /** One whose era ended is read again alone, and the write stands at the others meanwhile. */
    @Test
    void aKeeperWhoseEraEndedIsReadAgainAlone() {
        keepers.fill(SHARD, 110, 10);
        final KeyedRequests desk = desk("w");
        take(desk, "k1", 1000);
        keepers.loop.run(200);
        final int before = keepers.asked.get("RecordReadRequest");
        keepers.stores.get(A).onChecksumsRequest(new RecordChecksumsRequest(0, "x/1", true), m -> {});
        take(desk, "k2", 1000);
        keepers.loop.run(200);
        assertEquals(List.of(RequestOutcome.DONE, RequestOutcome.DONE), answers);
        assertEquals(before + 2, keepers.asked.get("RecordReadRequest"), "both pages of that one");
        keepers.stores.get(B).onChecksumsRequest(new RecordChecksumsRequest(0, "x/1", true), m -> {});
        keepers.stores.get(C).onChecksumsRequest(new RecordChecksumsRequest(0, "x/1", true), m -> {});
        take(desk, "k3", 1000);
        keepers.loop.run(500);
        assertEquals(
                3, answers.stream().filter(RequestOutcome.DONE::equals).count(), "written again once they are read");
        assertEquals(3, sent);
    }

    /** Another process with the same token read and wrote meanwhile: its intent is found and nothing is sent. */
    @Test
    void anIntentOfATwinProcessIsNotWrittenOver() {
        final KeyedRequests first = desk("first");
        take(first, "k1", 1000);
        keepers.loop.run(100);
        final KeyedRequests second = desk("second");
        take(second, "k2", 1000);
        take(second, "shared", 1000);
        keepers.loop.run(100);
        assertEquals(3, sent);
        take(first, "shared", 1000);
        keepers.loop.run(2000);
        assertEquals(3, sent, "the key ran once");
        assertEquals(RequestOutcome.UNKNOWN, answers.get(3));
    }

    private void nextEpoch() {
        final List<String> all = RecordKeepersFixture.ALL.stream()
                .map(id -> new VoterAddress(id, "127.0.0.1", 1).toString())
                .toList();
        final String body = Json.write(new VotingSet(all, all));
        keepers.stores.values().forEach(org.rowanvalve.control.record.KeyedRecordStore::onJoined);
        keepers.votingConfiguration.adopt(new ChosenItem(
                new Ballot(9, "x"),
                new Item(ItemId.VOTERS, new Version(keepers.votingConfiguration.epoch() + 1), body, false, "")));
    }

    /** After a change of epoch nothing counts that was read before it; the reading is light and one. */
    @Test
    void aChangeOfEpochMakesAHolderReadAgain() {
        keepers.fill(SHARD, 110, 1500);
        final KeyedRequests desk = desk("w");
        take(desk, "k1", 1000);
        keepers.loop.run(100);
        keepers.asked.clear();
        keepers.bytes.clear();
        keepers.stores
                .values()
                .forEach(k ->
                        k.onWrite(new RecordWriteRequest(0, RecordKeepersFixture.note(SHARD, 500, -1), 1), m -> {}));
        nextEpoch();
        take(desk, "k2", 1000);
        keepers.loop.run(200);
        assertEquals(List.of(RequestOutcome.DONE, RequestOutcome.DONE), answers);
        assertEquals(6, keepers.asked.get("RecordReadRequest"), "two pages of each");
        assertTrue(keepers.bytes.get("RecordReadResponse") < 3 * 111 * 300, "bytes " + keepers.bytes);
    }

    /** A write on its way when the epoch changes is written again in the new one; one acknowledgement of each is none. */
    @Test
    void aWriteCountsWithinOneEpochOnly() {
        final KeyedRequests desk = desk("w");
        take(desk, "k1", 1000);
        keepers.loop.run(100);
        assertEquals(1, sent);
        keepers.delay = (id, m) -> m instanceof RecordWriteRequest ? id.equals(A) ? 1L : 400L : 1L;
        take(desk, "k2", 1000);
        keepers.loop.run(50);
        nextEpoch();
        keepers.delay = (id, m) -> m instanceof RecordWriteRequest ? id.equals(A) ? 1L : -1L : 1L;
        keepers.loop.run(3000);
        assertEquals(1, sent, "one in the epoch before and one in this are no majority");
        assertEquals(RequestOutcome.REFUSED, answers.get(1));
        keepers.delay = (id, m) -> 1L;
        take(desk, "k3", 1000);
        keepers.loop.run(3000);
        assertEquals(2, sent);
    }

    /** Voters that have gone over to a later epoch answer nothing in this one. */
    @Test
    void refusalsOfALaterEpochAreNoAnswers() {
        final KeyedRequests desk = desk("w");
        keepers.ahead.addAll(List.of(A, B));
        take(desk, "k1", 1000);
        keepers.loop.run(5000);
        assertEquals(List.of(RequestOutcome.REFUSED), answers);
        assertEquals(0, sent);
        assertTrue(keepers.asked.get("RecordReadRequest") < 30, "questions " + keepers.asked);
    }

    @Test
    void aKeyWhoseClientLeftWhileTheRecordsWereReadIsNotExecuted() {
        final KeyedRequests desk = desk("w");
        final Cancellation left = new Cancellation();
        take(desk, "k1", 1000, left);
        left.request(CancelCause.CLIENT_LEFT);
        keepers.loop.run(500);
        assertEquals(0, sent);
        assertEquals(List.of(RequestOutcome.REFUSED), answers);
        take(desk, "k1", 1000);
        keepers.loop.run(500);
        assertEquals(1, sent);
        assertEquals(RequestOutcome.DONE, answers.get(1));
    }

    @Test
    void aKeyWhoseIntentIsBeingWrittenRunsToItsOutcomeThoughItsClientHasLeft() {
        final KeyedRequests desk = desk("w");
        take(desk, "k0", 1000);
        keepers.loop.run(500);
        final Cancellation left = new Cancellation();
        take(desk, "k1", 1000, left);
        left.request(CancelCause.CLIENT_LEFT);
        keepers.loop.run(500);
        assertEquals(2, sent);
        take(desk, "k1", 1000);
        keepers.loop.run(500);
        assertEquals(2, sent, "a repeat gets the first outcome");
        assertEquals(List.of(RequestOutcome.DONE, RequestOutcome.DONE, RequestOutcome.DONE), answers);
    }

    @Test
    void aKeyIsNotExecutedWhileItsCallerHasNotSaidThatItStillWaits() {
        final KeyedRequests desk = desk("w");
        take(desk, "k0", 1000);
        keepers.loop.run(500);
        final Cancellation stays = new Cancellation();
        final Cancellation left = new Cancellation();
        stays.suspend();
        left.suspend();
        take(desk, "k1", 1000, stays);
        take(desk, "k2", 1000, left);
        keepers.loop.run(500);
        assertEquals(1, sent);
        stays.confirm();
        left.request(CancelCause.CLIENT_LEFT);
        keepers.loop.run(500);
        assertEquals(2, sent);
        assertEquals(List.of(RequestOutcome.DONE, RequestOutcome.REFUSED, RequestOutcome.DONE), answers);
    }
}
