package org.rowanvalve.data.keyed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.AgedRecord;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.ForwardResponse;
import org.rowanvalve.common.message.KeyedOutcome;
import org.rowanvalve.common.message.KeyedRecord;
import org.rowanvalve.common.message.LeaseGrantRequest;
import org.rowanvalve.common.message.LeaseRenewRequest;
import org.rowanvalve.common.message.LeaseRenewResponse;
import org.rowanvalve.common.message.OutcomeRequest;
import org.rowanvalve.common.message.RecordChecksumsRequest;
import org.rowanvalve.common.message.RecordReadRequest;
import org.rowanvalve.common.message.RecordWriteRequest;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.message.ShardLease;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.LeaseState;
import org.rowanvalve.common.model.LeaseTimings;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.control.election.Leadership;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.lease.LeaseHolder;
import org.rowanvalve.control.store.ItemStore;
import org.rowanvalve.control.voting.StoreHealth;
import org.rowanvalve.control.voting.VoterAddress;
import org.rowanvalve.control.voting.VotingSet;
import org.rowanvalve.data.origin.OriginDispatcher;
import org.rowanvalve.data.origin.OriginTransport;

/** How a holder reads and writes the records of its shards, against real record stores on virtual time. */
class KeyedRequestsTest {
    private static final NodeId BOSS = NodeId.of("boss");
    private static final int SHARD = 3;
    private static final FencingToken TOKEN = new FencingToken(1, 1);
    private static final NodeId A = NodeId.of("a");
    private static final NodeId B = NodeId.of("b");
    private static final NodeId C = NodeId.of("c");
    private final RecordKeepersFixture keepers = new RecordKeepersFixture();
    private final LeaseHolder leases = holder();
    private final List<RequestOutcome> answers = new ArrayList<>();
    private final List<ForwardResponse> filled = new ArrayList<>();
    private int sent;

    /** One that holds the shard, by an authority that answers every renewal. */
    private LeaseHolder holder() {
        final EventJournal journal = keepers.journal;
        final ItemStore items = new ItemStore(keepers.loop, journal);
        final LeaseHolder h = new LeaseHolder(
                keepers.loop,
                (recipient, msg, wait, then) -> {
                    if (msg instanceof LeaseRenewRequest) {
                        keepers.loop.schedule(
                                1,
                                () -> then.accept(Reply.of(new LeaseRenewResponse(
                                        1,
                                        true,
                                        List.of(new ShardLease(SHARD, TOKEN, LeaseState.GRANTED)),
                                        List.of()))));
                    }
                },
                items,
                LeaseTimings.DEFAULT,
                journal,
                () -> true,
                List::of,
                (shard, grace, done) -> done.accept(true));
        h.start();
        items.merge(new ChosenItem(
                new Ballot(1, "x"),
                Item.none(ItemId.LEADERSHIP)
                        .successor(Json.write(new Leadership("boss", "b", 1, 1, false, 0, 0, 0)), "t")));
        keepers.loop.run(100);
        h.onGrant(
                BOSS, new LeaseGrantRequest(1, 1, List.of(new ShardLease(SHARD, TOKEN, LeaseState.GRANTED))), m -> {});
        return h;
    }

    private KeyedRequests desk(final String boot) {
        return new KeyedRequests(
                keepers.votingConfiguration,
                keepers.loop,
                keepers,
                leases,
                keepers.journal,
                new StoreHealth(keepers.votingConfiguration.quorum(), keepers.loop, keepers.journal),
                boot,
                RecordKeepersFixture.RETENTION);
    }

    private void take(final KeyedRequests desk, final String key, final long patience) {
        desk.handle(
                SHARD,
                key,
                "d".repeat(64),
                patience,
                then -> {
                    sent++;
                    final OriginTransport.OriginResponse response = new OriginTransport.OriginResponse(
                            OriginTransport.ExchangeResult.COMPLETE, 201, Map.of(), new byte[] {7}, "");
                    keepers.loop.schedule(5, () -> then.accept(new OriginDispatcher.Completion(response, true, 0, 0)));
                },
                f -> {
                    answers.add(f.fate());
                    filled.add(f);
                });
    }

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

    /** Tries a key whose origin is full: it answers that nothing was executed. */
    private void takeWhileFull(final KeyedRequests desk, final String key) {
        desk.handle(
                SHARD,
                key,
                "d".repeat(64),
                1000,
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
        desk.handle(SHARD, "k1", "e".repeat(64), 1000, then -> sent++, f -> filled.add(f));
        keepers.loop.run(1000);
        assertEquals(1, sent);
        assertEquals(422, filled.get(0).status());
    }
}
