package org.rowanvalve.control.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.message.KeyedRecord;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.MessageCodec;
import org.rowanvalve.common.message.OutcomeRequest;
import org.rowanvalve.common.message.OutcomeResponse;
import org.rowanvalve.common.message.RecordChecksumsRequest;
import org.rowanvalve.common.message.RecordReadRequest;
import org.rowanvalve.common.message.RecordReadResponse;
import org.rowanvalve.common.model.FencingToken;

/** Reads of a replica's records in pages without bodies, outcomes on request, and the retention of records. */
class KeyedRecordStoreTest extends KeyedRecordFixture {
    @Test
    void readsArePagedAndOmitBodies() throws Exception {
        final KeyedRecordStore store = replica(A, new MemoryStorage(), false);
        fill(store, 0, 500, 1500);
        final List<KeyedRecord> records = new ArrayList<>();
        RecordReadResponse page = read(store, firstPage(TOKEN, "w"));
        final long era = page.era();
        int pages = 1;
        records.addAll(page.records());
        while (page.nextKey() != null) {
            assertTrue(MessageCodec.encode(page).length <= 26_000, "page of " + MessageCodec.encode(page).length);
            page = read(store, new RecordReadRequest(0, 3, TOKEN, "w", true, page.nextKey(), era));
            assertEquals(era, page.era());
            records.addAll(page.records());
            pages++;
        }
        assertEquals(500, records.stream().map(KeyedRecord::key).distinct().count());
        assertEquals(500, records.size());
        assertTrue(records.stream()
                .allMatch(keyedRecord -> keyedRecord.outcome() != null
                        && !keyedRecord.outcome().complete()
                        && keyedRecord.outcome().body().length == 0));
        assertTrue(pages >= 4 && pages <= 8, pages + " pages");
    }

    /** Guards against a read whose pages come from two eras but count as one complete read. */
    @Test
    void pagesOfAnEndedEraAreRefused() throws Exception {
        final KeyedRecordStore store = replica(A, new MemoryStorage(), false);
        fill(store, 0, 500, -1);
        final RecordReadResponse page = read(store, firstPage(TOKEN, "w"));
        final RecordReadRequest second = new RecordReadRequest(0, 3, TOKEN, "w", true, page.nextKey(), page.era());
        assertTrue(read(store, second).granted());
        store.onChecksumsRequest(new RecordChecksumsRequest(0, "b/1", true), m -> {});
        assertFalse(read(store, second).granted(), "the era has ended");
        final RecordReadResponse other = read(store, firstPage(TOKEN, "w"));
        read(store, firstPage(TOKEN, "x"));
        assertFalse(
                read(store, new RecordReadRequest(0, 3, TOKEN, "w", true, other.nextKey(), other.era()))
                        .granted(),
                "another reader has read the shard");
        read(store, firstPage(new FencingToken(2, 1), "w"));
        assertFalse(
                read(store, new RecordReadRequest(0, 3, TOKEN, "w", true, other.nextKey(), other.era()))
                        .granted(),
                "a higher token has read the shard");
    }

    /** Readers of an older release support neither pages nor outcomes without a body. */
    @Test
    void readersWithoutPagingGetAllRecordsAtOnceWithoutOutcomes() throws Exception {
        final KeyedRecordStore store = replica(A, new MemoryStorage(), false);
        fill(store, 0, 500, 10);
        final RecordReadResponse all = read(store, new RecordReadRequest(0, 3, TOKEN, "w", false, null, 0));
        assertEquals(500, all.records().size());
        assertNull(all.nextKey());
        assertTrue(all.records().stream().allMatch(keyedRecord -> keyedRecord.outcome() == null));
    }

    @Test
    void anOutcomeIsFetchedWithItsBody() throws Exception {
        final KeyedRecordStore store = replica(A, new MemoryStorage(), false);
        fill(store, 0, 1, 700);
        fill(store, 1, 2, -1);
        final List<Message> responses = new ArrayList<>();
        store.onOutcomeRequest(new OutcomeRequest("route|service|key-0"), responses::add);
        store.onOutcomeRequest(new OutcomeRequest("route|service|key-1"), responses::add);
        store.onOutcomeRequest(new OutcomeRequest("no-such"), responses::add);
        assertEquals(
                700,
                ((OutcomeResponse) responses.get(0)).keyedRecord().outcome().body().length);
        assertNull(((OutcomeResponse) responses.get(1)).keyedRecord());
        assertNull(((OutcomeResponse) responses.get(2)).keyedRecord());
    }

    /**
     * The window starts when the request is sent. The intent is written up to one time-out before that, and a retry may
     * wait for another time-out.
     */
    @Test
    void recordsAreKeptForTheWindowTwoTimeoutsAndTheClockSlackAcrossRestarts() throws Exception {
        final long[] longestTimeoutMs = {0};
        final RecordRetention recordRetention = new RecordRetention(60_000, () -> longestTimeoutMs[0]);
        assertEquals(60_000 + 2 * 5_000 + 15_000, recordRetention.retentionMs());
        longestTimeoutMs[0] = 20_000;
        assertEquals(60_000 + 2 * 20_000 + 15_000, recordRetention.retentionMs());
        longestTimeoutMs[0] = 1_000;
        assertEquals(
                60_000 + 2 * 20_000 + 15_000,
                recordRetention.retentionMs(),
                "requests of the earlier configuration may be in flight");

        final MemoryStorage storage = new MemoryStorage();
        fill(replica(A, storage, false), 0, 1, 10);
        for (int i = 0; i < 4; i++) {
            loop.run(20_000);
            assertEquals(1, replica(A, storage, false).size(), "after restart " + i);
        }
        loop.run(4_000);
        assertEquals(1, replicas.get(A).size());
        loop.run(3_000);
        assertEquals(0, replicas.get(A).size());
        assertFalse(storage.rows.keySet().stream().anyMatch(key -> key.startsWith("k/")), "no record is left on disk");
    }

    /** A copy keeps the age of the original, so that copying between replicas does not prolong the retention. */
    @Test
    void copiedRecordsExpireWithTheirOriginals() throws Exception {
        fill(replica(B, new MemoryStorage(), false), 0, 50, 10);
        replica(C, new MemoryStorage(), false);
        loop.run(70_000);
        final KeyedRecordStore store = replica(A, new MemoryStorage(), true);
        loop.run(5_000);
        assertFalse(store.isIncomplete());
        assertEquals(50, store.size());
        loop.run(11_500);
        assertEquals(0, store.size());
    }
}
