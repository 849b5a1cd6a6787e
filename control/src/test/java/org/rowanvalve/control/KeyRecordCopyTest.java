package org.rowanvalve.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.Reply;
import org.rowanvalve.common.Token;

/** The copying of a lost memory from the other keepers. */
class KeyRecordCopyTest extends KeyRecordFixture {
    @Test
    void aLostMemoryIsCopiedOnceFromOneKeeperAndComparedWithTheOther() throws Exception {
        fill(keeper(B, new Rows(), false), 0, 1000, 700);
        fill(keeper(C, new Rows(), false), 0, 1000, 700);
        final KeyRecordStore k = keeper(A, new Rows(), true);
        assertTrue(k.lapse());
        loop.run(10_000);
        assertFalse(k.lapse());
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
        final KeyRecordStore k = keeper(A, new Rows(), true);
        loop.run(10_000);
        assertFalse(k.lapse());
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
        final KeyRecordStore k = keeper(A, new Rows(), true);
        loop.run(60_000);
        assertFalse(k.lapse());
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
        final KeyRecordStore k = keeper(A, new Rows(), true);
        loop.run(16_000);
        assertFalse(k.lapse(), "in 16 s, though every answer of one keeper takes 3 s");
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
        final KeyRecordStore first = keeper(A, disk, true);
        loop.run(700);
        final int had = first.size();
        assertTrue(had > 300 && had < 1000, "had " + had);
        assertTrue(first.lapse());
        final KeyRecordStore second = keeper(A, disk, false);
        assertTrue(second.lapse(), "the disk says that the memory is not whole");
        assertEquals(had, second.size());
        loop.run(10_000);
        assertFalse(second.lapse());
        assertEquals(1000, second.size());
    }

    /** Rows that were saved while the end of the lapse was on its way to a slow disk brought it back after a restart. */
    @Test
    void aLapseThatHasEndedDoesNotComeBackWithARestart() throws Exception {
        fill(keeper(B, new Rows(), false), 0, 100, 10);
        fill(keeper(C, new Rows(), false), 0, 100, 10);
        final Rows disk = new Rows();
        disk.slow = loop;
        final KeyRecordStore k = keeper(A, disk, true);
        final long[] era = {0};
        k.read(first(TOKEN, "w"), m -> era[0] = ((Msg.Kept) m).era());
        for (int i = 0; i < 60; i++) {
            final Msg.Note note = note("more-" + i, 10);
            loop.after(i * 5L, () -> k.write(new Msg.KeepWrite(0, note, era[0]), m -> {}));
        }
        loop.run(2000);
        assertFalse(k.lapse());
        final KeyRecordStore again = keeper(A, disk, false);
        assertFalse(again.lapse(), "it ended and that was synced");
        assertEquals(k.size(), again.size());
    }

    /** One without memory yields nothing; as long as too few others have theirs the lapse goes on, for the retention. */
    @Test
    void twoWithoutMemoryWaitAndEndWhenOneMoreComes() throws Exception {
        fill(keeper(B, new Rows(), false), 0, 100, 10);
        final KeyRecordStore a = keeper(A, new Rows(), true);
        final KeyRecordStore c = keeper(C, new Rows(), true);
        loop.run(20_000);
        assertTrue(a.lapse() && c.lapse());
        assertTrue(asked.size() < 120, "asked " + asked.size());
        loop.run(retention.ms());
        assertFalse(a.lapse() || c.lapse());
    }

    @Test
    void aPageWithAWrongSumIsNotTakenAndIsAskedAgain() throws Exception {
        fill(keeper(B, new Rows(), false), 0, 10, 10);
        fill(keeper(C, new Rows(), false), 0, 10, 10);
        final int[] bad = {2};
        final KeyRecordTable table = new KeyRecordTable();
        final List<String> ends = new ArrayList<>();
        final Net forging = (to, msg, wait, then) -> net.ask(to, msg, wait, r -> {
            final Msg.KeptCells page = r.as(Msg.KeptCells.class).orElse(null);
            then.accept(
                    page != null && bad[0]-- > 0
                            ? Reply.of(new Msg.KeptCells(true, page.notes(), page.sum() ^ 1, page.next()))
                            : r);
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
                    public void bars(final Map<Integer, Token> bars) {}

                    @Override
                    public void notes(final List<Msg.AgedNote> notes) {
                        notes.forEach(n -> table.put(new KeyRecordTable.Row(n.note(), 0, n.stay())));
                    }

                    @Override
                    public void done() {
                        ends.add("done");
                    }
                });
        copy.start(List.of(B, C));
        loop.run(10_000);
        assertEquals(List.of("done"), ends);
        assertEquals(10, table.size());
        assertEquals(
                2,
                journal.tail().stream()
                        .filter(e -> e.event().code() == Code.RECORDS_BAD)
                        .count());
    }
}
