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
import org.rowanvalve.common.Disk;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Token;
import org.rowanvalve.control.KeyRecordStore;
import org.rowanvalve.testkit.sim.World;

/** The keepers of intents and outcomes. */
class KeeperTest {
    private static final org.rowanvalve.control.RecordRetention RETENTION =
            new org.rowanvalve.control.RecordRetention(60_000, () -> 0);
    private final World world = new World(1);
    private final Loop loop = world.loop();
    private long ver;

    private static final class Rows implements Disk {
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

    private KeyRecordStore keeper(final Disk disk, final boolean lost) throws Exception {
        return keeper("st1", disk, lost, (to, msg, wait, then) -> {});
    }

    private KeyRecordStore keeper(
            final String name, final Disk disk, final boolean lost, final org.rowanvalve.common.Net net)
            throws Exception {
        final org.rowanvalve.control.Quorum quorum = new org.rowanvalve.control.Quorum(
                List.of(NodeId.of("st1"), NodeId.of("st2"), NodeId.of("sh1")),
                java.util.Set.of(NodeId.of("st1"), NodeId.of("st2")));
        final KeyRecordStore k = new KeyRecordStore(
                NodeId.of(name),
                "b" + ++ver,
                org.rowanvalve.control.Electorate.of(quorum),
                net,
                loop,
                world::now,
                new org.rowanvalve.control.MonitoredDisk(disk, loop),
                new org.rowanvalve.common.Journal(loop, 50),
                RETENTION);
        k.start();
        if (lost) {
            disk.save(k.forgotten(), ok -> {});
        }
        return k;
    }

    /** Over a slow way, 600 KB at 0.9 MB a second, a whole minute's notes do not come in one frame's time. */
    @Test
    void aLostMemoryIsRebuiltPageByPageAndEndsEachEraOnce() throws Exception {
        final Map<NodeId, KeyRecordStore> others = new TreeMap<>();
        final Map<NodeId, Integer> ends = new TreeMap<>();
        for (final String n : List.of("st2", "sh1")) {
            final KeyRecordStore k = keeper(n, new Rows(), false, (to, msg, wait, then) -> {});
            final List<Msg> got = new ArrayList<>();
            k.read(ask(3, new Token(1, 1)), got::add);
            final long era = ((Msg.Kept) got.get(0)).era();
            for (int i = 0; i < 400; i++) {
                k.write(
                        new Msg.KeepWrite(
                                0,
                                new Msg.Note(
                                        "k" + i,
                                        3,
                                        new Token(1, 1),
                                        "d",
                                        i,
                                        false,
                                        new Msg.Outcome(200, Map.of(), new byte[1500], true)),
                                era),
                        got::add);
            }
            others.put(NodeId.of(n), k);
        }
        final int[] largest = {0};
        final KeyRecordStore lost = keeper(
                "st1",
                new Rows(),
                true,
                (to, msg, wait, then) -> world.in(35, () -> {
                    ends.merge(to, msg instanceof Msg.KeepSums a && a.bar() ? 1 : 0, Integer::sum);
                    answer(others.get(to), msg, m -> {
                        final int size = org.rowanvalve.common.Wire.pack(
                                        new org.rowanvalve.common.Wire.Envelope(1, 1, 0, to, m))
                                .length;
                        largest[0] = Math.max(largest[0], size);
                        final long took = 70 + size / 900;
                        world.in(
                                took,
                                () -> then.accept(
                                        took < wait
                                                ? org.rowanvalve.common.Reply.of(m)
                                                : org.rowanvalve.common.Reply.lost(
                                                        org.rowanvalve.common.Reply.Trouble.NO_ANSWER)));
                    });
                }));
        world.run(4000);
        assertFalse(lost.lapse());
        assertEquals(400, lost.size());
        assertEquals(Map.of(NodeId.of("st2"), 1, NodeId.of("sh1"), 1), ends);
        assertTrue(largest[0] < 100_000, "largest frame " + largest[0]);
    }

    private static void answer(final KeyRecordStore k, final Msg msg, final Consumer<Msg> back) {
        if (msg instanceof Msg.KeepSums m) {
            k.sums(m, back);
        } else {
            k.cells((Msg.KeepCells) msg, back);
        }
    }

    private static Msg.KeepRead ask(final int shard, final Token token) {
        return new Msg.KeepRead(0, shard, token, "b", true, null, 0);
    }

    private long era(final KeyRecordStore k) {
        final List<Msg> got = new ArrayList<>();
        k.read(ask(3, Token.ZERO), x -> {});
        k.read(ask(9, new Token(9, 9)), got::add);
        return ((Msg.Kept) got.get(0)).era();
    }

    @Test
    void anIntentOfAnEndedEraIsRejected() throws Exception {
        final KeyRecordStore k = keeper(new Rows(), false);
        final long before = era(k);
        final List<Msg> got = new ArrayList<>();
        final Msg.Note note = new Msg.Note("k1", 3, new Token(1, 1), "d", 1, false, null);
        k.sums(new Msg.KeepSums(0, "st2/b", false), got::add);
        k.write(new Msg.KeepWrite(0, note, before), got::add);
        k.sums(new Msg.KeepSums(0, "st2/b", true), got::add);
        k.write(new Msg.KeepWrite(0, new Msg.Note("k2", 3, new Token(1, 1), "d", 1, false, null), before), got::add);
        assertEquals(new Msg.KeepSeen(true, false, false), got.get(1));
        assertTrue(((Msg.KeptSums) got.get(2)).ok());
        assertEquals(new Msg.KeepSeen(false, false, true), got.get(3));
        final int cells = ((Msg.KeptSums) got.get(2)).sums().size();
        k.cells(new Msg.KeepCells(0, IntStream.range(0, cells).boxed().toList(), null), got::add);
        final List<Msg.AgedNote> given = ((Msg.KeptCells) got.get(4)).notes();
        assertEquals(List.of(note), given.stream().map(Msg.AgedNote::note).toList());
    }

    @Test
    void aKeeperBarsTokensBelowTheHighestItWasReadWith() throws Exception {
        final Rows disk = new Rows();
        final KeyRecordStore k = keeper(disk, false);
        final List<Msg> got = new ArrayList<>();
        final long era = era(k);
        k.write(new Msg.KeepWrite(0, new Msg.Note("k1", 3, new Token(1, 1), "d", 1, false, null), era), got::add);
        k.read(ask(3, new Token(1, 2)), got::add);
        k.write(new Msg.KeepWrite(0, new Msg.Note("k2", 3, new Token(1, 1), "d", 1, false, null), era), got::add);
        k.read(ask(3, new Token(1, 1)), got::add);
        assertEquals(new Msg.KeepSeen(true, false, false), got.get(0));
        assertEquals(1, ((Msg.Kept) got.get(1)).notes().size());
        assertEquals(new Msg.KeepSeen(false, false, false), got.get(2));
        assertFalse(((Msg.Kept) got.get(3)).ok());
        final KeyRecordStore again = keeper(disk, false);
        again.write(
                new Msg.KeepWrite(0, new Msg.Note("k3", 3, new Token(1, 1), "d", 1, false, null), era(again)),
                got::add);
        assertEquals(new Msg.KeepSeen(false, false, false), got.get(4), "the bar outlives a restart");
    }

    @Test
    void aKeeperThatLostItsMemorySaysSoForTheRetentionEvenAcrossARestart() throws Exception {
        final Rows disk = new Rows();
        final KeyRecordStore k = keeper(disk, true);
        final List<Msg> got = new ArrayList<>();
        k.write(new Msg.KeepWrite(0, new Msg.Note("k1", 3, new Token(1, 1), "d", 1, false, null), era(k)), got::add);
        world.run(30_000);
        final KeyRecordStore again = keeper(disk, false);
        assertTrue(again.lapse());
        world.run(RETENTION.ms() - 1);
        assertTrue(again.lapse());
        world.run(RETENTION.ms() + 1);
        assertFalse(again.lapse());
        assertEquals(new Msg.KeepSeen(true, true, false), got.get(0));
    }

    /** A clear of one try says nothing of another that stands beside it. */
    @Test
    void aTryIsClearOnlyByItsOwnWord() {
        final Token t = new Token(1, 1);
        final Msg.Note first = new Msg.Note("k", 3, t, "d", 50, false, null);
        final Msg.Note word = new Msg.Note("k", 3, t, "d", 50, true, null);
        final Msg.Note other = new Msg.Note("k", 3, t, "d", 7, false, null);
        assertTrue(Msg.Note.settle(List.of(first, word)).clear());
        assertFalse(Msg.Note.settle(List.of(word, other)).clear());
        assertFalse(Msg.Note.settle(List.of(first, other, word)).clear());
        assertEquals(other, word.over(other), "a clear does not cover another try");
        assertEquals(word, word.over(first));
        assertEquals(word, first.over(word), "nor does its own intent, when late, undo it");
    }
}
