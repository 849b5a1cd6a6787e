package org.rowanvalve.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Disk;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;
import org.rowanvalve.common.Token;
import org.rowanvalve.common.Wire;

/** What it costs a keeper that lost its memory to catch up: linear in the records that stand, flat in those that stood. */
class RecordGrowthTest {
    private static final List<NodeId> ALL = List.of(NodeId.of("a"), NodeId.of("b"), NodeId.of("c"));
    private static final int BODY = 700;
    private static final long ROUND_TRIP = 70;
    private static final long BYTES_PER_MS = 900;

    record Cost(int records, int past, long ms, long bytes, long messages) {
        String row() {
            return "| " + records + " | " + past + " | " + ms + " | " + bytes + " | " + messages + " |";
        }
    }

    /** {@code past}: records that stood before and stand no more. */
    private static Cost catchUp(final int records, final int past) throws Exception {
        final Ticks loop = new Ticks();
        final Map<NodeId, KeyRecordStore> keepers = new HashMap<>();
        final long[] sum = new long[2];
        final Net net = (to, msg, wait, then) -> {
            sum[0] += Wire.pack(new Wire.Envelope(1, 1, 0, to, msg)).length;
            sum[1]++;
            final Consumer<Msg> back = m -> {
                final long size = Wire.pack(new Wire.Envelope(1, 1, 0, to, m)).length;
                sum[0] += size;
                sum[1]++;
                final long ms = ROUND_TRIP + size / BYTES_PER_MS;
                loop.after(
                        Math.min(ms, wait),
                        () -> then.accept(ms < wait ? Reply.of(m) : Reply.lost(Reply.Trouble.NO_ANSWER)));
            };
            if (msg instanceof Msg.KeepSums m) {
                keepers.get(to).sums(m, back);
            } else if (msg instanceof Msg.KeepCells m) {
                keepers.get(to).cells(m, back);
            }
        };
        for (final NodeId id : ALL) {
            keepers.put(id, keeper(id, loop, net));
            keepers.get(id).start();
        }
        for (final NodeId id : ALL.subList(1, 3)) {
            fill(keepers.get(id), "past-", past);
        }
        loop.run(120_000);
        for (final NodeId id : ALL.subList(1, 3)) {
            assertEquals(0, keepers.get(id).size(), "what stood is gone");
            fill(keepers.get(id), "now-", records);
        }
        final KeyRecordStore lost = keepers.get(ALL.get(0));
        lost.forgotten();
        final long from = loop.now();
        while (lost.lapse()) {
            loop.run(5);
        }
        assertEquals(records, lost.size());
        assertTrue(loop.now() - from < 60_000, "it ended by itself");
        return new Cost(records, past, loop.now() - from, sum[0], sum[1]);
    }

    private static KeyRecordStore keeper(final NodeId id, final Ticks loop, final Net net) {
        final Disk disk = new Disk() {
            private final Map<String, byte[]> rows = new TreeMap<>();

            @Override
            public Map<String, byte[]> load() {
                return rows;
            }

            @Override
            public void save(final Map<String, byte[]> some, final Consumer<Boolean> done) {
                some.forEach((k, v) -> rows.compute(k, (x, old) -> v));
                done.accept(true);
            }
        };
        return new KeyRecordStore(
                id,
                "b",
                Electorate.of(new Quorum(ALL, Set.of())),
                net,
                loop,
                loop::now,
                new MonitoredDisk(disk, loop),
                new Journal(loop, 100),
                new RecordRetention(60_000, () -> 0));
    }

    private static void fill(final KeyRecordStore k, final String name, final int records) {
        k.read(new Msg.KeepRead(0, 3, new Token(1, 1), "w", true, null, 0), m -> {
            final long era = ((Msg.Kept) m).era();
            for (int i = 0; i < records; i++) {
                final Msg.Outcome outcome = new Msg.Outcome(201, Map.of(), new byte[BODY], true);
                final Msg.Note note = new Msg.Note(
                        "checkout|booking|" + name + i, 3, new Token(1, 1), "d".repeat(64), i, false, outcome);
                k.write(new Msg.KeepWrite(0, note, era), x -> {});
            }
        });
    }

    @Test
    void catchingUpIsLinearInWhatStandsAndFlatInWhatStood() throws Exception {
        final Cost small = catchUp(500, 0);
        final Cost middle = catchUp(3500, 0);
        final Cost past = catchUp(3500, 14_000);
        final Cost large = catchUp(14_000, 0);
        System.out.println("| records | stood before | ms | bytes | messages |");
        List.of(small, middle, past, large).forEach(c -> System.out.println(c.row()));
        final double bytes = (double) (large.bytes() - middle.bytes()) / (middle.bytes() - small.bytes());
        assertEquals(10_500.0 / 3000, bytes, 0.2);
        final double time = (double) (large.ms() - middle.ms()) / (middle.ms() - small.ms());
        assertEquals(10_500.0 / 3000, time, 0.5);
        assertEquals(middle.bytes(), past.bytes(), middle.bytes() * 0.01);
        assertEquals(middle.ms(), past.ms(), 50);
        assertFalse(middle.bytes() > 3500L * (BODY + 350) + 100_000, "bytes a record");
    }
}
