package org.rowanvalve.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Token;
import org.rowanvalve.common.Wire;

/** A keeper's records: light pages, outcomes on demand, and retention. */
class KeyRecordStoreTest extends KeyRecordFixture {
    @Test
    void aReadHasNoBodiesAndComesInPages() throws Exception {
        final KeyRecordStore k = keeper(A, new Rows(), false);
        fill(k, 0, 500, 1500);
        final List<Msg.Note> all = new ArrayList<>();
        Msg.Kept page = read(k, first(TOKEN, "w"));
        final long era = page.era();
        int pages = 1;
        all.addAll(page.notes());
        while (page.next() != null) {
            assertTrue(Wire.pack(page).length <= 26_000, "page of " + Wire.pack(page).length);
            page = read(k, new Msg.KeepRead(0, 3, TOKEN, "w", true, page.next(), era));
            assertEquals(era, page.era());
            all.addAll(page.notes());
            pages++;
        }
        assertEquals(500, all.stream().map(Msg.Note::key).distinct().count());
        assertEquals(500, all.size());
        assertTrue(all.stream()
                .allMatch(n -> n.outcome() != null
                        && !n.outcome().done()
                        && n.outcome().body().length == 0));
        assertTrue(pages >= 4 && pages <= 8, pages + " pages");
    }

    /** Half a read of one era and half of the next must not pass for a whole one. */
    @Test
    void aPageOfAnEndedEraIsNotGiven() throws Exception {
        final KeyRecordStore k = keeper(A, new Rows(), false);
        fill(k, 0, 500, -1);
        final Msg.Kept page = read(k, first(TOKEN, "w"));
        final Msg.KeepRead second = new Msg.KeepRead(0, 3, TOKEN, "w", true, page.next(), page.era());
        assertTrue(read(k, second).ok());
        k.sums(new Msg.KeepSums(0, "b/1", true), m -> {});
        assertFalse(read(k, second).ok(), "the era has ended");
        final Msg.Kept other = read(k, first(TOKEN, "w"));
        read(k, first(TOKEN, "x"));
        assertFalse(
                read(k, new Msg.KeepRead(0, 3, TOKEN, "w", true, other.next(), other.era()))
                        .ok(),
                "another reads");
        read(k, first(new Token(2, 1), "w"));
        assertFalse(
                read(k, new Msg.KeepRead(0, 3, TOKEN, "w", true, other.next(), other.era()))
                        .ok(),
                "barred");
    }

    /** A reader of an older version knows no pages and no outcomes without a body. */
    @Test
    void aReaderThatKnowsNoPagesGetsAllAtOnceWithoutOutcomes() throws Exception {
        final KeyRecordStore k = keeper(A, new Rows(), false);
        fill(k, 0, 500, 10);
        final Msg.Kept all = read(k, new Msg.KeepRead(0, 3, TOKEN, "w", false, null, 0));
        assertEquals(500, all.notes().size());
        assertNull(all.next());
        assertTrue(all.notes().stream().allMatch(n -> n.outcome() == null));
    }

    @Test
    void anOutcomeIsFetchedWithItsBody() throws Exception {
        final KeyRecordStore k = keeper(A, new Rows(), false);
        fill(k, 0, 1, 700);
        fill(k, 1, 2, -1);
        final List<Msg> got = new ArrayList<>();
        k.outcome(new Msg.KeepOutcome("route|service|key-0"), got::add);
        k.outcome(new Msg.KeepOutcome("route|service|key-1"), got::add);
        k.outcome(new Msg.KeepOutcome("no-such"), got::add);
        assertEquals(700, ((Msg.KeptOutcome) got.get(0)).note().outcome().body().length);
        assertNull(((Msg.KeptOutcome) got.get(1)).note());
        assertNull(((Msg.KeptOutcome) got.get(2)).note());
    }

    /** The window counts from the send; the intent is written up to a life before it, a repeat waits up to a life. */
    @Test
    void aRecordStandsForTheWindowTwoLivesAndTheSlackThroughRestarts() throws Exception {
        final long[] life = {0};
        final RecordRetention r = new RecordRetention(60_000, () -> life[0]);
        assertEquals(60_000 + 2 * 5_000 + 15_000, r.ms());
        life[0] = 20_000;
        assertEquals(60_000 + 2 * 20_000 + 15_000, r.ms());
        life[0] = 1_000;
        assertEquals(60_000 + 2 * 20_000 + 15_000, r.ms(), "requests of the earlier configuration may be under way");

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
        final KeyRecordStore k = keeper(A, new Rows(), true);
        loop.run(5_000);
        assertFalse(k.lapse());
        assertEquals(50, k.size());
        loop.run(11_500);
        assertEquals(0, k.size());
    }
}
