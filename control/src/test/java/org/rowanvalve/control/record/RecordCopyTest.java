package org.rowanvalve.control.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.message.AgedRecord;
import org.rowanvalve.common.message.KeyedRecord;
import org.rowanvalve.common.message.RecordPageResponse;
import org.rowanvalve.common.message.RecordReadResponse;
import org.rowanvalve.common.message.RecordWriteRequest;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.runtime.Transport;

/** A replica that lost its records copies them from the other replicas. */
class RecordCopyTest extends KeyedRecordFixture {
    @Test
    void lostRecordsAreCopiedOnceFromOneReplicaAndComparedWithTheOther() throws Exception {
        fill(replica(B, new MemoryStorage(), false), 0, 1000, 700);
        fill(replica(C, new MemoryStorage(), false), 0, 1000, 700);
        final KeyedRecordStore store = replica(A, new MemoryStorage(), true);
        assertTrue(store.isIncomplete());
        loop.run(10_000);
        assertFalse(store.isIncomplete());
        assertEquals(1000, store.size());
        final long copiedBytes =
                responseBytes.values().stream().mapToLong(b -> b).max().orElseThrow();
        final long comparedBytes =
                responseBytes.values().stream().mapToLong(b -> b).min().orElseThrow();
        assertTrue(copiedBytes > 700_000 && copiedBytes < 1_300_000, "bytes copied: " + copiedBytes);
        assertTrue(comparedBytes < 20_000, "bytes compared: " + comparedBytes);
        assertTrue(largestResponse <= 52_000, "largest response: " + largestResponse);
    }

    /** A record that only one replica holds is copied as well: its majority may have been that one and the lost one. */
    @Test
    void recordsHeldByOnlyOneReplicaAreCopied() throws Exception {
        fill(replica(B, new MemoryStorage(), false), 0, 300, 10);
        fill(replica(C, new MemoryStorage(), false), 200, 500, 10);
        final KeyedRecordStore store = replica(A, new MemoryStorage(), true);
        loop.run(10_000);
        assertFalse(store.isIncomplete());
        assertEquals(500, store.size());
    }

    /**
     * Only pages that were lost are requested again. Each source ends its era once, however often that is requested.
     */
    @Test
    void onlyLostPagesAreRequestedAgain() throws Exception {
        fill(replica(B, new MemoryStorage(), false), 0, 1000, 700);
        fill(replica(C, new MemoryStorage(), false), 0, 1000, 700);
        final long eraBefore = read(replicas.get(B), firstPage(TOKEN, "w")).era();
        final int[] responseCount = {0};
        responseDelayMs = (id, m) -> responseCount[0]++ % 3 == 0 ? -1L : 35L;
        final KeyedRecordStore store = replica(A, new MemoryStorage(), true);
        loop.run(60_000);
        assertFalse(store.isIncomplete());
        assertEquals(1000, store.size());
        final long totalBytes =
                responseBytes.values().stream().mapToLong(b -> b).sum();
        assertTrue(totalBytes < 1_900_000, "with a third of the responses lost: " + totalBytes);
        final long eraAfter = read(replicas.get(B), firstPage(TOKEN, "w")).era();
        assertNotEquals(eraBefore, eraAfter);
        final long changedBits = eraBefore ^ eraAfter;
        assertEquals(Long.highestOneBit(changedBits) * 2 - 1, changedBits, "the era advances by one: " + changedBits);
    }

    /** While one replica is slow, the copy continues with another; it ends once the slow one has sent its checksums. */
    @Test
    void aSlowReplicaDelaysOnlyItsOwnPages() throws Exception {
        fill(replica(B, new MemoryStorage(), false), 0, 1000, 700);
        fill(replica(C, new MemoryStorage(), false), 0, 1000, 700);
        responseDelayMs = (id, m) -> id.equals(B) ? 3000L : 5L;
        final KeyedRecordStore store = replica(A, new MemoryStorage(), true);
        loop.run(16_000);
        assertFalse(store.isIncomplete(), "complete in 16 s, although each response of one replica takes 3 s");
        assertEquals(1000, store.size());
        assertTrue(responseBytes.get(B) < 60_000, "bytes from the slow replica: " + responseBytes.get(B));
    }

    /** A process that is restarted during a copy continues with the missing records, since each page is on disk. */
    @Test
    void aCopyContinuesAfterARestart() throws Exception {
        fill(replica(B, new MemoryStorage(), false), 0, 1000, 700);
        fill(replica(C, new MemoryStorage(), false), 0, 1000, 700);
        responseDelayMs = (id, m) -> 100L;
        final MemoryStorage storage = new MemoryStorage();
        final KeyedRecordStore first = replica(A, storage, true);
        loop.run(700);
        final int copiedBefore = first.size();
        assertTrue(copiedBefore > 300 && copiedBefore < 1000, "copied " + copiedBefore);
        assertTrue(first.isIncomplete());
        final KeyedRecordStore second = replica(A, storage, false);
        assertTrue(second.isIncomplete(), "the incomplete mark is on disk");
        assertEquals(copiedBefore, second.size());
        loop.run(10_000);
        assertFalse(second.isIncomplete());
        assertEquals(1000, second.size());
    }

    /**
     * Guards against the return of the incomplete mark after a restart. This happened when rows were saved with the
     * mark while its removal was still being written to a slow disk.
     */
    @Test
    void aRemovedIncompleteMarkDoesNotReturnAfterARestart() throws Exception {
        fill(replica(B, new MemoryStorage(), false), 0, 100, 10);
        fill(replica(C, new MemoryStorage(), false), 0, 100, 10);
        final MemoryStorage storage = new MemoryStorage();
        storage.delayingLoop = loop;
        final KeyedRecordStore store = replica(A, storage, true);
        final long[] era = {0};
        store.onRead(firstPage(TOKEN, "w"), m -> era[0] = ((RecordReadResponse) m).era());
        for (int i = 0; i < 60; i++) {
            final KeyedRecord record = record("more-" + i, 10);
            loop.schedule(i * 5L, () -> store.onWrite(new RecordWriteRequest(0, record, era[0]), m -> {}));
        }
        loop.run(2000);
        assertFalse(store.isIncomplete());
        final KeyedRecordStore restarted = replica(A, storage, false);
        assertFalse(restarted.isIncomplete(), "the removal of the mark was synced");
        assertEquals(store.size(), restarted.size());
    }

    /**
     * With too few complete sources, replicas that lost their records stay incomplete until the retention has passed.
     */
    @Test
    void twoReplicasWithoutRecordsStayIncompleteForTheRetention() throws Exception {
        fill(replica(B, new MemoryStorage(), false), 0, 100, 10);
        final KeyedRecordStore a = replica(A, new MemoryStorage(), true);
        final KeyedRecordStore c = replica(C, new MemoryStorage(), true);
        loop.run(20_000);
        assertTrue(a.isIncomplete() && c.isIncomplete());
        assertTrue(requests.size() < 120, "requests: " + requests.size());
        loop.run(retention.retentionMs());
        assertFalse(a.isIncomplete() || c.isIncomplete());
    }

    @Test
    void aPageWithAWrongChecksumIsDiscardedAndRequestedAgain() throws Exception {
        fill(replica(B, new MemoryStorage(), false), 0, 10, 10);
        fill(replica(C, new MemoryStorage(), false), 0, 10, 10);
        final int[] remainingForgeries = {2};
        final KeyedRecordTable table = new KeyedRecordTable();
        final List<String> completions = new ArrayList<>();
        final Transport forgingTransport =
                (recipient, request, timeoutMs, then) -> transport.request(recipient, request, timeoutMs, reply -> {
                    final RecordPageResponse page =
                            reply.as(RecordPageResponse.class).orElse(null);
                    then.accept(
                            page != null && remainingForgeries[0]-- > 0
                                    ? Reply.of(new RecordPageResponse(
                                            true, page.records(), page.checksum() ^ 1, page.nextKey()))
                                    : reply);
                });
        final RecordCopy copy = new RecordCopy(
                loop,
                forgingTransport,
                journal,
                table,
                0,
                "a/1",
                true,
                (copied, withoutRecords) -> copied.size() == 2,
                new RecordCopy.Sink() {
                    @Override
                    public void tokenFloors(final Map<Integer, FencingToken> floors) {}

                    @Override
                    public void records(final List<AgedRecord> records) {
                        records.forEach(n -> table.put(new KeyedRecordTable.Row(n.keyedRecord(), 0, n.retentionMs())));
                    }

                    @Override
                    public void onComplete() {
                        completions.add("done");
                    }
                });
        copy.start(List.of(B, C));
        loop.run(10_000);
        assertEquals(List.of("done"), completions);
        assertEquals(10, table.size());
        assertEquals(
                2,
                journal.recent().stream()
                        .filter(entry -> entry.event().code() == EventCode.RECORDS_BAD)
                        .count());
    }
}
