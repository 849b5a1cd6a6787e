package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.message.AgedRecord;
import org.rowanvalve.common.message.KeyedOutcome;
import org.rowanvalve.common.message.KeyedRecord;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.RecordChecksumsRequest;
import org.rowanvalve.common.message.RecordChecksumsResponse;
import org.rowanvalve.common.message.RecordPageRequest;
import org.rowanvalve.common.message.RecordPageResponse;
import org.rowanvalve.common.message.RecordReadRequest;
import org.rowanvalve.common.message.RecordReadResponse;
import org.rowanvalve.common.message.RecordWriteRequest;
import org.rowanvalve.common.message.RecordWriteResponse;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.StableStorage;
import org.rowanvalve.control.record.KeyedRecordStore;
import org.rowanvalve.testkit.sim.VirtualTime;

/** Replicas of the intents and outcomes of keyed requests: eras, token floors and lost records. */
class RecordReplicaTest {
    private static final org.rowanvalve.control.record.RecordRetention RETENTION =
            new org.rowanvalve.control.record.RecordRetention(60_000, () -> 0);
    private final VirtualTime time = new VirtualTime(1);
    private final EventLoop loop = time.loop();
    private long replicaCount;

    private static final class MemoryStorage implements StableStorage {
        private final Map<String, byte[]> rows = new TreeMap<>();

        @Override
        public Map<String, byte[]> load() {
            return new HashMap<>(rows);
        }

        @Override
        public void save(final Map<String, byte[]> changes, final Consumer<Boolean> done) {
            rows.putAll(changes);
            done.accept(true);
        }
    }

    private KeyedRecordStore replica(final StableStorage storage, final boolean lost) throws Exception {
        return replica("st1", storage, lost, (recipient, request, timeoutMs, callback) -> {});
    }

    private KeyedRecordStore replica(
            final String name,
            final StableStorage storage,
            final boolean lost,
            final org.rowanvalve.common.runtime.Transport transport)
            throws Exception {
        final org.rowanvalve.control.voting.Quorum quorum = new org.rowanvalve.control.voting.Quorum(
                List.of(NodeId.of("st1"), NodeId.of("st2"), NodeId.of("sh1")),
                java.util.Set.of(NodeId.of("st1"), NodeId.of("st2")));
        final KeyedRecordStore store = new KeyedRecordStore(
                NodeId.of(name),
                "b" + ++replicaCount,
                org.rowanvalve.control.voting.VotingConfiguration.of(quorum),
                transport,
                loop,
                time::now,
                new org.rowanvalve.control.consensus.MonitoredStorage(storage, loop),
                new org.rowanvalve.common.event.EventJournal(loop, 50),
                RETENTION);
        store.start();
        if (lost) {
            storage.save(store.markIncomplete(), ok -> {});
        }
        return store;
    }

    /**
     * Guards against a copy of all records in one message: over a slow connection, 600 KB at 0.9 MB per second, the
     * records of a minute do not arrive within the time-out of one message.
     */
    @Test
    void lostRecordsAreCopiedInPagesAndEachEraEndsOnce() throws Exception {
        final Map<NodeId, KeyedRecordStore> others = new TreeMap<>();
        final Map<NodeId, Integer> eraEnds = new TreeMap<>();
        for (final String n : List.of("st2", "sh1")) {
            final KeyedRecordStore store =
                    replica(n, new MemoryStorage(), false, (recipient, request, timeoutMs, callback) -> {});
            final List<Message> responses = new ArrayList<>();
            store.onRead(readRequest(3, new FencingToken(1, 1)), responses::add);
            final long era = ((RecordReadResponse) responses.get(0)).era();
            for (int i = 0; i < 400; i++) {
                store.onWrite(
                        new RecordWriteRequest(
                                0,
                                new KeyedRecord(
                                        "k" + i,
                                        3,
                                        new FencingToken(1, 1),
                                        "d",
                                        i,
                                        false,
                                        new KeyedOutcome(200, Map.of(), new byte[1500], true)),
                                era),
                        responses::add);
            }
            others.put(NodeId.of(n), store);
        }
        final int[] largest = {0};
        final KeyedRecordStore lost = replica(
                "st1",
                new MemoryStorage(),
                true,
                (recipient, request, timeoutMs, callback) -> time.in(35, () -> {
                    eraEnds.merge(
                            recipient, request instanceof RecordChecksumsRequest a && a.endEra() ? 1 : 0, Integer::sum);
                    answer(others.get(recipient), request, m -> {
                        final int size = org.rowanvalve.common.message.MessageCodec.encode(
                                        new org.rowanvalve.common.message.MessageCodec.Frame(1, 1, 0, recipient, m))
                                .length;
                        largest[0] = Math.max(largest[0], size);
                        final long durationMs = 70 + size / 900;
                        time.in(
                                durationMs,
                                () -> callback.accept(
                                        durationMs < timeoutMs
                                                ? org.rowanvalve.common.message.Reply.of(m)
                                                : org.rowanvalve.common.message.Reply.failed(
                                                        org.rowanvalve.common.message.Reply.Failure.NO_RESPONSE)));
                    });
                }));
        time.run(4000);
        assertFalse(lost.isIncomplete());
        assertEquals(400, lost.size());
        assertEquals(Map.of(NodeId.of("st2"), 1, NodeId.of("sh1"), 1), eraEnds);
        assertTrue(largest[0] < 100_000, "largest frame " + largest[0]);
    }

    private static void answer(final KeyedRecordStore store, final Message request, final Consumer<Message> callback) {
        if (request instanceof RecordChecksumsRequest m) {
            store.onChecksumsRequest(m, callback);
        } else {
            store.onPageRequest((RecordPageRequest) request, callback);
        }
    }

    private static RecordReadRequest readRequest(final int shard, final FencingToken token) {
        return new RecordReadRequest(0, shard, token, "b", true, null, 0);
    }

    private long era(final KeyedRecordStore store) {
        final List<Message> responses = new ArrayList<>();
        store.onRead(readRequest(3, FencingToken.ZERO), x -> {});
        store.onRead(readRequest(9, new FencingToken(9, 9)), responses::add);
        return ((RecordReadResponse) responses.get(0)).era();
    }

    @Test
    void anIntentOfAnEndedEraIsRejected() throws Exception {
        final KeyedRecordStore store = replica(new MemoryStorage(), false);
        final long before = era(store);
        final List<Message> responses = new ArrayList<>();
        final KeyedRecord record = new KeyedRecord("k1", 3, new FencingToken(1, 1), "d", 1, false, null);
        store.onChecksumsRequest(new RecordChecksumsRequest(0, "st2/b", false), responses::add);
        store.onWrite(new RecordWriteRequest(0, record, before), responses::add);
        store.onChecksumsRequest(new RecordChecksumsRequest(0, "st2/b", true), responses::add);
        store.onWrite(
                new RecordWriteRequest(
                        0, new KeyedRecord("k2", 3, new FencingToken(1, 1), "d", 1, false, null), before),
                responses::add);
        assertEquals(new RecordWriteResponse(true, false, false), responses.get(1));
        assertTrue(((RecordChecksumsResponse) responses.get(2)).complete());
        assertEquals(new RecordWriteResponse(false, false, true), responses.get(3));
        final int bucketCount =
                ((RecordChecksumsResponse) responses.get(2)).checksums().size();
        store.onPageRequest(
                new RecordPageRequest(0, IntStream.range(0, bucketCount).boxed().toList(), null), responses::add);
        final List<AgedRecord> records = ((RecordPageResponse) responses.get(4)).records();
        assertEquals(
                List.of(record), records.stream().map(AgedRecord::keyedRecord).toList());
    }

    @Test
    void tokensBelowTheHighestReadTokenAreRejected() throws Exception {
        final MemoryStorage storage = new MemoryStorage();
        final KeyedRecordStore store = replica(storage, false);
        final List<Message> responses = new ArrayList<>();
        final long era = era(store);
        store.onWrite(
                new RecordWriteRequest(0, new KeyedRecord("k1", 3, new FencingToken(1, 1), "d", 1, false, null), era),
                responses::add);
        store.onRead(readRequest(3, new FencingToken(1, 2)), responses::add);
        store.onWrite(
                new RecordWriteRequest(0, new KeyedRecord("k2", 3, new FencingToken(1, 1), "d", 1, false, null), era),
                responses::add);
        store.onRead(readRequest(3, new FencingToken(1, 1)), responses::add);
        assertEquals(new RecordWriteResponse(true, false, false), responses.get(0));
        assertEquals(1, ((RecordReadResponse) responses.get(1)).records().size());
        assertEquals(new RecordWriteResponse(false, false, false), responses.get(2));
        assertFalse(((RecordReadResponse) responses.get(3)).granted());
        final KeyedRecordStore restarted = replica(storage, false);
        restarted.onWrite(
                new RecordWriteRequest(
                        0, new KeyedRecord("k3", 3, new FencingToken(1, 1), "d", 1, false, null), era(restarted)),
                responses::add);
        assertEquals(
                new RecordWriteResponse(false, false, false), responses.get(4), "the token floor survives a restart");
    }

    @Test
    void aReplicaThatLostItsRecordsStaysIncompleteForTheRetentionAcrossRestarts() throws Exception {
        final MemoryStorage storage = new MemoryStorage();
        final KeyedRecordStore store = replica(storage, true);
        final List<Message> responses = new ArrayList<>();
        store.onWrite(
                new RecordWriteRequest(
                        0, new KeyedRecord("k1", 3, new FencingToken(1, 1), "d", 1, false, null), era(store)),
                responses::add);
        time.run(30_000);
        final KeyedRecordStore restarted = replica(storage, false);
        assertTrue(restarted.isIncomplete());
        time.run(RETENTION.retentionMs() - 1);
        assertTrue(restarted.isIncomplete());
        time.run(RETENTION.retentionMs() + 1);
        assertFalse(restarted.isIncomplete());
        assertEquals(new RecordWriteResponse(true, true, false), responses.get(0));
    }

    /** A record that marks one attempt as not sent says nothing about another attempt with the same key. */
    @Test
    void anAttemptIsNotSentOnlyByItsOwnMark() {
        final FencingToken token = new FencingToken(1, 1);
        final KeyedRecord first = new KeyedRecord("k", 3, token, "d", 50, false, null);
        final KeyedRecord notSentMark = new KeyedRecord("k", 3, token, "d", 50, true, null);
        final KeyedRecord other = new KeyedRecord("k", 3, token, "d", 7, false, null);
        assertTrue(KeyedRecord.resolve(List.of(first, notSentMark)).notSent());
        assertFalse(KeyedRecord.resolve(List.of(notSentMark, other)).notSent());
        assertFalse(KeyedRecord.resolve(List.of(first, other, notSentMark)).notSent());
        assertEquals(other, notSentMark.mergedOver(other), "a not-sent mark does not replace another attempt");
        assertEquals(notSentMark, notSentMark.mergedOver(first));
        assertEquals(
                notSentMark,
                first.mergedOver(notSentMark),
                "a delayed intent does not undo the mark of its own attempt");
    }
}
