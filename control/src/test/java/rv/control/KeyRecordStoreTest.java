package rv.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import rv.base.Code;
import rv.base.Disk;
import rv.base.Journal;
import rv.base.Msg;
import rv.base.Net;
import rv.base.NodeId;
import rv.base.Reply;
import rv.base.Token;
import rv.base.Wire;

/** A keeper's records: light pages, outcomes on demand, retention, and the copying of a lost memory. */
class KeyRecordStoreTest {
    private static final NodeId A = NodeId.of("a");
    private static final NodeId B = NodeId.of("b");
    private static final NodeId C = NodeId.of("c");
    private static final Token TOKEN = new Token(1, 1);
    private final Ticks loop = new Ticks();
    private final Journal journal = new Journal(loop, 500);
    private final Quorum quorum = new Quorum(List.of(A, B, C), Set.of());
    private final RecordRetention retention = new RecordRetention(60_000, () -> 0);
    private final Map<NodeId, KeyRecordStore> keepers = new HashMap<>();
    private final List<Msg> asked = new ArrayList<>();
    /** Bytes of all answers, by who gave them. */
    private final Map<NodeId, Long> bytes = new TreeMap<>();

    private long largest;
    /** How long an answer takes on its way; below zero it is lost. */
    private BiFunction<NodeId, Msg, Long> delay = (id, m) -> 1L;

    private static final class Rows implements Disk {
        private final Map<String, byte[]> rows = new TreeMap<>();

        @Override
        public Map<String, byte[]> load() {
            return new HashMap<>(rows);
        }

        @Override
        public void save(final Map<String, byte[]> some, final Consumer<Boolean> done) {
            some.forEach((k, v) -> {
                if (v == null) {
                    rows.remove(k);
                } else {
                    rows.put(k, v);
                }
            });
            done.accept(true);
        }
    }

    private final Net net = (to, msg, wait, then) -> {
        asked.add(msg);
        final boolean[] over = {false};
        loop.after(wait, () -> {
            if (!over[0]) {
                over[0] = true;
                then.accept(Reply.lost(Reply.Trouble.NO_ANSWER));
            }
        });
        answer(to, msg, m -> {
            final long size = Wire.pack(new Wire.Envelope(1, 1, 0, to, m)).length;
            bytes.merge(to, size, Long::sum);
            largest = Math.max(largest, size);
            final long ms = delay.apply(to, msg);
            if (ms >= 0) {
                loop.after(ms, () -> {
                    if (!over[0]) {
                        over[0] = true;
                        then.accept(Reply.of(m));
                    }
                });
            }
        });
    };

    private void answer(final NodeId to, final Msg msg, final Consumer<Msg> back) {
        final KeyRecordStore k = keepers.get(to);
        if (k != null && msg instanceof Msg.KeepSums m) {
            k.sums(m, back);
        } else if (k != null && msg instanceof Msg.KeepCells m) {
            k.cells(m, back);
        }
    }

    private KeyRecordStore keeper(final NodeId id, final Rows disk, final boolean lost) throws Exception {
        final KeyRecordStore k = new KeyRecordStore(
                id,
                "b" + keepers.size(),
                Electorate.of(quorum),
                net,
                loop,
                loop::now,
                new MonitoredDisk(disk, loop),
                journal,
                retention);
        keepers.put(id, k);
        k.start();
        if (lost) {
            disk.save(k.forgotten(), ok -> {});
        }
        return k;
    }

    private static Msg.Note note(final String key, final int body) {
        final Msg.Outcome outcome = body < 0 ? null : new Msg.Outcome(200, Map.of("a", "b"), new byte[body], true);
        return new Msg.Note(key, 3, TOKEN, "d".repeat(64), 7, false, outcome);
    }

    private static Msg.KeepRead first(final Token token, final String boot) {
        return new Msg.KeepRead(0, 3, token, boot, true, null, 0);
    }

    private static Msg.Kept read(final KeyRecordStore k, final Msg.KeepRead ask) {
        final List<Msg> got = new ArrayList<>();
        k.read(ask, got::add);
        return (Msg.Kept) got.get(0);
    }

    private static void fill(final KeyRecordStore k, final int from, final int to, final int body) {
        final long era = read(k, first(TOKEN, "w")).era();
        for (int i = from; i < to; i++) {
            k.write(new Msg.KeepWrite(0, note("route|service|key-" + i, body), era), m -> {});
        }
    }

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
