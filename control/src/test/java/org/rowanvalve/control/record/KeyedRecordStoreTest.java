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

/** A keeper's records: light pages, outcomes on demand, and retention. */
class KeyedRecordStoreTest extends KeyedRecordFixture {
    @Test
    void aReadHasNoBodiesAndComesInPages() throws Exception {
        final KeyedRecordStore k = keeper(A, new Rows(), false);
        fill(k, 0, 500, 1500);
        final List<KeyedRecord> all = new ArrayList<>();
        RecordReadResponse page = read(k, first(TOKEN, "w"));
        final long era = page.era();
        int pages = 1;
        all.addAll(page.records());
        while (page.nextKey() != null) {
            assertTrue(MessageCodec.encode(page).length <= 26_000, "page of " + MessageCodec.encode(page).length);
            page = read(k, new RecordReadRequest(0, 3, TOKEN, "w", true, page.nextKey(), era));
            assertEquals(era, page.era());
            all.addAll(page.records());
            pages++;
        }
        assertEquals(500, all.stream().map(KeyedRecord::key).distinct().count());
        assertEquals(500, all.size());
        assertTrue(all.stream()
                .allMatch(keyedRecord -> keyedRecord.outcome() != null
                        && !keyedRecord.outcome().complete()
                        && keyedRecord.outcome().body().length == 0));
        assertTrue(pages >= 4 && pages <= 8, pages + " pages");
    }

    /** Half a read of one era and half of the next must not pass for a whole one. */
    @Test
    void aPageOfAnEndedEraIsNotGiven() throws Exception {
        final KeyedRecordStore k = keeper(A, new Rows(), false);
        fill(k, 0, 500, -1);
        final RecordReadResponse page = read(k, first(TOKEN, "w"));
        final RecordReadRequest second = new RecordReadRequest(0, 3, TOKEN, "w", true, page.nextKey(), page.era());
        assertTrue(read(k, second).granted());
        k.onChecksumsRequest(new RecordChecksumsRequest(0, "b/1", true), m -> {});
        assertFalse(read(k, second).granted(), "the era has ended");
        final RecordReadResponse other = read(k, first(TOKEN, "w"));
        read(k, first(TOKEN, "x"));
        assertFalse(
                read(k, new RecordReadRequest(0, 3, TOKEN, "w", true, other.nextKey(), other.era()))
                        .granted(),
                "another reads");
        read(k, first(new FencingToken(2, 1), "w"));
        assertFalse(
                read(k, new RecordReadRequest(0, 3, TOKEN, "w", true, other.nextKey(), other.era()))
                        .granted(),
                "barred");
    }

    /** A reader of an older version knows no pages and no outcomes without a body. */
    @Test
    void aReaderThatKnowsNoPagesGetsAllAtOnceWithoutOutcomes() throws Exception {
        final KeyedRecordStore k = keeper(A, new Rows(), false);
        fill(k, 0, 500, 10);
        final RecordReadResponse all = read(k, new RecordReadRequest(0, 3, TOKEN, "w", false, null, 0));
        assertEquals(500, all.records().size());
        assertNull(all.nextKey());
        assertTrue(all.records().stream().allMatch(keyedRecord -> keyedRecord.outcome() == null));
    }

    @Test
    void anOutcomeIsFetchedWithItsBody() throws Exception {
        final KeyedRecordStore k = keeper(A, new Rows(), false);
        fill(k, 0, 1, 700);
        fill(k, 1, 2, -1);
        final List<Message> got = new ArrayList<>();
        k.onOutcomeRequest(new OutcomeRequest("route|service|key-0"), got::add);
        k.onOutcomeRequest(new OutcomeRequest("route|service|key-1"), got::add);
        k.onOutcomeRequest(new OutcomeRequest("no-such"), got::add);
        assertEquals(700, ((OutcomeResponse) got.get(0)).keyedRecord().outcome().body().length);
        assertNull(((OutcomeResponse) got.get(1)).keyedRecord());
        assertNull(((OutcomeResponse) got.get(2)).keyedRecord());
    }

    /** The window counts from the send; the intent is written up to a life before it, a repeat waits up to a life. */
    @Test
    void aRecordStandsForTheWindowTwoLivesAndTheSlackThroughRestarts() throws Exception {
        final long[] life = {0};
        final RecordRetention r = new RecordRetention(60_000, () -> life[0]);
        assertEquals(60_000 + 2 * 5_000 + 15_000, r.retentionMs());
        life[0] = 20_000;
        assertEquals(60_000 + 2 * 20_000 + 15_000, r.retentionMs());
        life[0] = 1_000;
        assertEquals(
                60_000 + 2 * 20_000 + 15_000,
                r.retentionMs(),
                "requests of the earlier configuration may be under way");

        final Rows disk = new Rows();
        fill(keeper(A, disk, false), 0, 1, 10);
        for (int i = 0; i < 4; i++) {
            loop.run(20_000);
            assertEquals(1, keeper(A, disk, false).size(), "after restart " + i);
        }
        loop.run(4_000);
        assertEquals(1, keepers.get(A).size());
        loop.run(3_000);
        assertEquals(0, keepers.get(A).size());
        assertFalse(disk.rows.keySet().stream().anyMatch(k -> k.startsWith("k/")), "and nothing is left on disk");
    }

    /** A copy keeps the age of what it was copied from, so that records do not live on from keeper to keeper. */
    @Test
    void aCopiedRecordEndsWithItsOriginal() throws Exception {
        fill(keeper(B, new Rows(), false), 0, 50, 10);
        keeper(C, new Rows(), false);
        loop.run(70_000);
        final KeyedRecordStore k = keeper(A, new Rows(), true);
        loop.run(5_000);
        assertFalse(k.isIncomplete());
        assertEquals(50, k.size());
        loop.run(11_500);
        assertEquals(0, k.size());
    }
}
