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

/** The keepers of intents and outcomes. */
class RecordKeeperTest {
    private static final org.rowanvalve.control.record.RecordRetention RETENTION =
            new org.rowanvalve.control.record.RecordRetention(60_000, () -> 0);
    private final VirtualTime time = new VirtualTime(1);
    private final EventLoop loop = time.loop();
    private long ver;

    private static final class Rows implements StableStorage {
        private final Map<String, byte[]> rows = new TreeMap<>();

        @Override
        public Map<String, byte[]> load() {
            return new HashMap<>(rows);
        }

        @Override
        public void save(final Map<String, byte[]> some, final Consumer<Boolean> done) {
            rows.putAll(some);
            done.accept(true);
        }
    }

    private KeyedRecordStore keeper(final StableStorage storage, final boolean lost) throws Exception {
        return keeper("st1", storage, lost, (recipient, msg, wait, then) -> {});
    }

    private KeyedRecordStore keeper(
            final String name,
            final StableStorage storage,
            final boolean lost,
            final org.rowanvalve.common.runtime.Transport transport)
            throws Exception {
        final org.rowanvalve.control.voting.Quorum quorum = new org.rowanvalve.control.voting.Quorum(
                List.of(NodeId.of("st1"), NodeId.of("st2"), NodeId.of("sh1")),
                java.util.Set.of(NodeId.of("st1"), NodeId.of("st2")));
        final KeyedRecordStore k = new KeyedRecordStore(
                NodeId.of(name),
                "b" + ++ver,
                org.rowanvalve.control.voting.VotingConfiguration.of(quorum),
                transport,
                loop,
                time::now,
                new org.rowanvalve.control.consensus.MonitoredStorage(storage, loop),
                new org.rowanvalve.common.event.EventJournal(loop, 50),
                RETENTION);
        k.start();
        if (lost) {
            storage.save(k.markIncomplete(), ok -> {});
        }
        return k;
    }

    /** Over a slow way, 600 KB at 0.9 MB a second, a whole minute's notes do not come in one frame's time. */
    @Test
    void aLostMemoryIsRebuiltPageByPageAndEndsEachEraOnce() throws Exception {
        final Map<NodeId, KeyedRecordStore> others = new TreeMap<>();
        final Map<NodeId, Integer> ends = new TreeMap<>();
        for (final String n : List.of("st2", "sh1")) {
            final KeyedRecordStore k = keeper(n, new Rows(), false, (recipient, msg, wait, then) -> {});
            final List<Message> got = new ArrayList<>();
            k.onRead(ask(3, new FencingToken(1, 1)), got::add);
            final long era = ((RecordReadResponse) got.get(0)).era();
            for (int i = 0; i < 400; i++) {
                k.onWrite(
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
                        got::add);
            }
            others.put(NodeId.of(n), k);
        }
        final int[] largest = {0};
        final KeyedRecordStore lost = keeper(
                "st1",
                new Rows(),
                true,
                (recipient, msg, wait, then) -> time.in(35, () -> {
                    ends.merge(recipient, msg instanceof RecordChecksumsRequest a && a.endEra() ? 1 : 0, Integer::sum);
                    answer(others.get(recipient), msg, m -> {
                        final int size = org.rowanvalve.common.message.MessageCodec.encode(
                                        new org.rowanvalve.common.message.MessageCodec.Frame(1, 1, 0, recipient, m))
                                .length;
                        largest[0] = Math.max(largest[0], size);
                        final long took = 70 + size / 900;
                        time.in(
                                took,
                                () -> then.accept(
                                        took < wait
                                                ? org.rowanvalve.common.message.Reply.of(m)
                                                : org.rowanvalve.common.message.Reply.failed(
                                                        org.rowanvalve.common.message.Reply.Failure.NO_RESPONSE)));
                    });
                }));
        time.run(4000);
        assertFalse(lost.isIncomplete());
        assertEquals(400, lost.size());
        assertEquals(Map.of(NodeId.of("st2"), 1, NodeId.of("sh1"), 1), ends);
        assertTrue(largest[0] < 100_000, "largest frame " + largest[0]);
    }

    private static void answer(final KeyedRecordStore k, final Message msg, final Consumer<Message> back) {
        if (msg instanceof RecordChecksumsRequest m) {
            k.onChecksumsRequest(m, back);
        } else {
            k.onPageRequest((RecordPageRequest) msg, back);
        }
    }

    private static RecordReadRequest ask(final int shard, final FencingToken token) {
        return new RecordReadRequest(0, shard, token, "b", true, null, 0);
    }

    private long era(final KeyedRecordStore k) {
        final List<Message> got = new ArrayList<>();
        k.onRead(ask(3, FencingToken.ZERO), x -> {});
        k.onRead(ask(9, new FencingToken(9, 9)), got::add);
        return ((RecordReadResponse) got.get(0)).era();
    }

    @Test
    void anIntentOfAnEndedEraIsRejected() throws Exception {
        final KeyedRecordStore k = keeper(new Rows(), false);
        final long before = era(k);
        final List<Message> got = new ArrayList<>();
        final KeyedRecord note = new KeyedRecord("k1", 3, new FencingToken(1, 1), "d", 1, false, null);
        k.onChecksumsRequest(new RecordChecksumsRequest(0, "st2/b", false), got::add);
        k.onWrite(new RecordWriteRequest(0, note, before), got::add);
        k.onChecksumsRequest(new RecordChecksumsRequest(0, "st2/b", true), got::add);
        k.onWrite(
                new RecordWriteRequest(
                        0, new KeyedRecord("k2", 3, new FencingToken(1, 1), "d", 1, false, null), before),
                got::add);
        assertEquals(new RecordWriteResponse(true, false, false), got.get(1));
        assertTrue(((RecordChecksumsResponse) got.get(2)).complete());
        assertEquals(new RecordWriteResponse(false, false, true), got.get(3));
        final int cells = ((RecordChecksumsResponse) got.get(2)).checksums().size();
        k.onPageRequest(
                new RecordPageRequest(0, IntStream.range(0, cells).boxed().toList(), null), got::add);
        final List<AgedRecord> given = ((RecordPageResponse) got.get(4)).records();
        assertEquals(List.of(note), given.stream().map(AgedRecord::keyedRecord).toList());
    }

    @Test
    void aKeeperBarsTokensBelowTheHighestItWasReadWith() throws Exception {
        final Rows disk = new Rows();
        final KeyedRecordStore k = keeper(disk, false);
        final List<Message> got = new ArrayList<>();
        final long era = era(k);
        k.onWrite(
                new RecordWriteRequest(0, new KeyedRecord("k1", 3, new FencingToken(1, 1), "d", 1, false, null), era),
                got::add);
        k.onRead(ask(3, new FencingToken(1, 2)), got::add);
        k.onWrite(
                new RecordWriteRequest(0, new KeyedRecord("k2", 3, new FencingToken(1, 1), "d", 1, false, null), era),
                got::add);
        k.onRead(ask(3, new FencingToken(1, 1)), got::add);
        assertEquals(new RecordWriteResponse(true, false, false), got.get(0));
        assertEquals(1, ((RecordReadResponse) got.get(1)).records().size());
        assertEquals(new RecordWriteResponse(false, false, false), got.get(2));
        assertFalse(((RecordReadResponse) got.get(3)).granted());
        final KeyedRecordStore again = keeper(disk, false);
        again.onWrite(
                new RecordWriteRequest(
                        0, new KeyedRecord("k3", 3, new FencingToken(1, 1), "d", 1, false, null), era(again)),
                got::add);
        assertEquals(new RecordWriteResponse(false, false, false), got.get(4), "the bar outlives a restart");
    }

    @Test
    void aKeeperThatLostItsMemorySaysSoForTheRetentionEvenAcrossARestart() throws Exception {
        final Rows disk = new Rows();
        final KeyedRecordStore k = keeper(disk, true);
        final List<Message> got = new ArrayList<>();
        k.onWrite(
                new RecordWriteRequest(
                        0, new KeyedRecord("k1", 3, new FencingToken(1, 1), "d", 1, false, null), era(k)),
                got::add);
        time.run(30_000);
        final KeyedRecordStore again = keeper(disk, false);
        assertTrue(again.isIncomplete());
        time.run(RETENTION.retentionMs() - 1);
        assertTrue(again.isIncomplete());
        time.run(RETENTION.retentionMs() + 1);
        assertFalse(again.isIncomplete());
        assertEquals(new RecordWriteResponse(true, true, false), got.get(0));
    }

    /** A clear of one try says nothing of another that stands beside it. */
    @Test
    void aTryIsClearOnlyByItsOwnWord() {
        final FencingToken token = new FencingToken(1, 1);
        final KeyedRecord first = new KeyedRecord("k", 3, token, "d", 50, false, null);
        final KeyedRecord word = new KeyedRecord("k", 3, token, "d", 50, true, null);
        final KeyedRecord other = new KeyedRecord("k", 3, token, "d", 7, false, null);
        assertTrue(KeyedRecord.resolve(List.of(first, word)).notSent());
        assertFalse(KeyedRecord.resolve(List.of(word, other)).notSent());
        assertFalse(KeyedRecord.resolve(List.of(first, other, word)).notSent());
        assertEquals(other, word.mergedOver(other), "a clear does not cover another try");
        assertEquals(word, word.mergedOver(first));
        assertEquals(word, first.mergedOver(word), "nor does its own intent, when late, undo it");
    }
}
