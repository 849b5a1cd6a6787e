package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.rowanvalve.common.Disk;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;
import org.rowanvalve.common.Token;
import org.rowanvalve.common.Wire;

/** Three keepers of records on a loop of virtual time, with answers that can be late or lost. */
abstract class KeyRecordFixture {
    static final NodeId A = NodeId.of("a");
    static final NodeId B = NodeId.of("b");
    static final NodeId C = NodeId.of("c");
    static final Token TOKEN = new Token(1, 1);
    final Ticks loop = new Ticks();
    final Journal journal = new Journal(loop, 500);
    final Quorum quorum = new Quorum(List.of(A, B, C), Set.of());
    final RecordRetention retention = new RecordRetention(60_000, () -> 0);
    final Map<NodeId, KeyRecordStore> keepers = new HashMap<>();
    final List<Msg> asked = new ArrayList<>();
    /** Bytes of all answers, by who gave them. */
    final Map<NodeId, Long> bytes = new TreeMap<>();

    long largest;
    /** How long an answer takes on its way; below zero it is lost. */
    BiFunction<NodeId, Msg, Long> delay = (id, m) -> 1L;

    static final class Rows implements Disk {
        final Map<String, byte[]> rows = new TreeMap<>();
        Loop slow;

        @Override
        public Map<String, byte[]> load() {
            return new HashMap<>(rows);
        }

        @Override
        public void save(final Map<String, byte[]> some, final Consumer<Boolean> done) {
            if (slow == null) {
                sync(some, done);
            } else {
                slow.after(50, () -> sync(some, done));
            }
        }

        void sync(final Map<String, byte[]> some, final Consumer<Boolean> done) {
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

    final Net net = (to, msg, wait, then) -> {
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

    void answer(final NodeId to, final Msg msg, final Consumer<Msg> back) {
        final KeyRecordStore k = keepers.get(to);
        if (k != null && msg instanceof Msg.KeepSums m) {
            k.sums(m, back);
        } else if (k != null && msg instanceof Msg.KeepCells m) {
            k.cells(m, back);
        }
    }

    KeyRecordStore keeper(final NodeId id, final Rows disk, final boolean lost) throws Exception {
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

    static Msg.Note note(final String key, final int body) {
        final Msg.Outcome outcome = body < 0 ? null : new Msg.Outcome(200, Map.of("a", "b"), new byte[body], true);
        return new Msg.Note(key, 3, TOKEN, "d".repeat(64), 7, false, outcome);
    }

    static Msg.KeepRead first(final Token token, final String boot) {
        return new Msg.KeepRead(0, 3, token, boot, true, null, 0);
    }

    static Msg.Kept read(final KeyRecordStore k, final Msg.KeepRead ask) {
        final List<Msg> got = new ArrayList<>();
        k.read(ask, got::add);
        return (Msg.Kept) got.get(0);
    }

    static void fill(final KeyRecordStore k, final int from, final int to, final int body) {
        final long era = read(k, first(TOKEN, "w")).era();
        for (int i = from; i < to; i++) {
            k.write(new Msg.KeepWrite(0, note("route|service|key-" + i, body), era), m -> {});
        }
    }
}
