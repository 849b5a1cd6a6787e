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

/** The copying of a lost memory from the other keepers. */
class RecordCopyTest extends KeyedRecordFixture {
    @Test
    void aLostMemoryIsCopiedOnceFromOneKeeperAndComparedWithTheOther() throws Exception {
        fill(keeper(B, new Rows(), false), 0, 1000, 700);
        fill(keeper(C, new Rows(), false), 0, 1000, 700);
        final KeyedRecordStore k = keeper(A, new Rows(), true);
        assertTrue(k.isIncomplete());
        loop.run(10_000);
        assertFalse(k.isIncomplete());
        assertEquals(1000, k.size());
        final long fat = bytes.values().stream().mapToLong(b -> b).max().orElseThrow();
        final long thin = bytes.values().stream().mapToLong(b -> b).min().orElseThrow();
        assertTrue(fat > 700_000 && fat < 1_300_000, "copied " + fat);
        assertTrue(thin < 20_000, "compared " + thin);
        assertTrue(largest <= 52_000, "largest answer " + largest);
    }

    /** What only one of the others has is taken too: it may stand at that one and at the lost memory. */
    @Test
    void whatEitherKeeperHoldsIsTaken() throws Exception {
        fill(keeper(B, new Rows(), false), 0, 300, 10);
        fill(keeper(C, new Rows(), false), 200, 500, 10);
        final KeyedRecordStore k = keeper(A, new Rows(), true);
        loop.run(10_000);
        assertFalse(k.isIncomplete());
        assertEquals(500, k.size());
    }

    /** Late pages are asked again, and not those that came; the era of each source ends once, however often it is asked. */
    @Test
    void lostPagesAreAskedAgainAndNothingElse() throws Exception {
        fill(keeper(B, new Rows(), false), 0, 1000, 700);
        fill(keeper(C, new Rows(), false), 0, 1000, 700);
        final long before = read(keepers.get(B), first(TOKEN, "w")).era();
        final int[] n = {0};
        delay = (id, m) -> n[0]++ % 3 == 0 ? -1L : 35L;
        final KeyedRecordStore k = keeper(A, new Rows(), true);
        loop.run(60_000);
        assertFalse(k.isIncomplete());
        assertEquals(1000, k.size());
        final long all = bytes.values().stream().mapToLong(b -> b).sum();
        assertTrue(all < 1_900_000, "with a third lost: " + all);
        final long after = read(keepers.get(B), first(TOKEN, "w")).era();
        assertNotEquals(before, after);
        final long mixed = before ^ after;
        assertEquals(Long.highestOneBit(mixed) * 2 - 1, mixed, "one step of the era: " + mixed);
    }

    /** The copy goes on with another keeper while one does not answer, and ends when that one has answered the sums. */
    @Test
    void aSlowKeeperHoldsUpOnlyItsOwnPages() throws Exception {
        fill(keeper(B, new Rows(), false), 0, 1000, 700);
        fill(keeper(C, new Rows(), false), 0, 1000, 700);
        delay = (id, m) -> id.equals(B) ? 3000L : 5L;
        final KeyedRecordStore k = keeper(A, new Rows(), true);
        loop.run(16_000);
        assertFalse(k.isIncomplete(), "in 16 s, though every answer of one keeper takes 3 s");
        assertEquals(1000, k.size());
        assertTrue(bytes.get(B) < 60_000, "from the slow one " + bytes.get(B));
    }

    /** A process that ends in the middle of it goes on where it was, since each page is on disk. */
    @Test
    void aCopyGoesOnAfterARestart() throws Exception {
        fill(keeper(B, new Rows(), false), 0, 1000, 700);
        fill(keeper(C, new Rows(), false), 0, 1000, 700);
        delay = (id, m) -> 100L;
        final Rows disk = new Rows();
        final KeyedRecordStore first = keeper(A, disk, true);
        loop.run(700);
        final int had = first.size();
        assertTrue(had > 300 && had < 1000, "had " + had);
        assertTrue(first.isIncomplete());
        final KeyedRecordStore second = keeper(A, disk, false);
        assertTrue(second.isIncomplete(), "the disk says that the memory is not whole");
        assertEquals(had, second.size());
        loop.run(10_000);
        assertFalse(second.isIncomplete());
        assertEquals(1000, second.size());
    }

    /** Rows that were saved while the end of the lapse was on its way to a slow disk brought it back after a restart. */
    @Test
    void aLapseThatHasEndedDoesNotComeBackWithARestart() throws Exception {
        fill(keeper(B, new Rows(), false), 0, 100, 10);
        fill(keeper(C, new Rows(), false), 0, 100, 10);
        final Rows disk = new Rows();
        disk.slow = loop;
        final KeyedRecordStore k = keeper(A, disk, true);
        final long[] era = {0};
        k.onRead(first(TOKEN, "w"), m -> era[0] = ((RecordReadResponse) m).era());
        for (int i = 0; i < 60; i++) {
            final KeyedRecord note = note("more-" + i, 10);
            loop.schedule(i * 5L, () -> k.onWrite(new RecordWriteRequest(0, note, era[0]), m -> {}));
        }
        loop.run(2000);
        assertFalse(k.isIncomplete());
        final KeyedRecordStore again = keeper(A, disk, false);
        assertFalse(again.isIncomplete(), "it ended and that was synced");
        assertEquals(k.size(), again.size());
    }

    /** One without memory yields nothing; as long as too few others have theirs the lapse goes on, for the retention. */
    @Test
    void twoWithoutMemoryWaitAndEndWhenOneMoreComes() throws Exception {
        fill(keeper(B, new Rows(), false), 0, 100, 10);
        final KeyedRecordStore a = keeper(A, new Rows(), true);
        final KeyedRecordStore c = keeper(C, new Rows(), true);
        loop.run(20_000);
        assertTrue(a.isIncomplete() && c.isIncomplete());
        assertTrue(asked.size() < 120, "asked " + asked.size());
        loop.run(retention.retentionMs());
        assertFalse(a.isIncomplete() || c.isIncomplete());
    }

    @Test
    void aPageWithAWrongSumIsNotTakenAndIsAskedAgain() throws Exception {
        fill(keeper(B, new Rows(), false), 0, 10, 10);
        fill(keeper(C, new Rows(), false), 0, 10, 10);
        final int[] bad = {2};
        final KeyedRecordTable table = new KeyedRecordTable();
        final List<String> ends = new ArrayList<>();
        final Transport forging = (recipient, msg, wait, then) -> transport.request(recipient, msg, wait, reply -> {
            final RecordPageResponse page = reply.as(RecordPageResponse.class).orElse(null);
            then.accept(
                    page != null && bad[0]-- > 0
                            ? Reply.of(
                                    new RecordPageResponse(true, page.records(), page.checksum() ^ 1, page.nextKey()))
                            : reply);
        });
        final RecordCopy copy = new RecordCopy(
                loop,
                forging,
                journal,
                table,
                0,
                "a/1",
                true,
                (copied, bare) -> copied.size() == 2,
                new RecordCopy.Sink() {
                    @Override
                    public void tokenFloors(final Map<Integer, FencingToken> bars) {}

                    @Override
                    public void records(final List<AgedRecord> notes) {
                        notes.forEach(n -> table.put(new KeyedRecordTable.Row(n.keyedRecord(), 0, n.retentionMs())));
                    }

                    @Override
                    public void onComplete() {
                        ends.add("done");
                    }
                });
        copy.start(List.of(B, C));
        loop.run(10_000);
        assertEquals(List.of("done"), ends);
        assertEquals(10, table.size());
        assertEquals(
                2,
                journal.recent().stream()
                        .filter(entry -> entry.event().code() == EventCode.RECORDS_BAD)
                        .count());
    }
}
