package org.rowanvalve.data;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.rowanvalve.common.Disk;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;
import org.rowanvalve.common.Token;
import org.rowanvalve.common.Wire;
import org.rowanvalve.control.Electorate;
import org.rowanvalve.control.KeyRecordStore;
import org.rowanvalve.control.MonitoredDisk;
import org.rowanvalve.control.Quorum;
import org.rowanvalve.control.RecordRetention;

/** Real record stores behind a net on virtual time that counts messages and bytes, and can be late or lose them. */
final class Keepers implements Net {
    static final List<NodeId> ALL = List.of(NodeId.of("a"), NodeId.of("b"), NodeId.of("c"));
    static final RecordRetention RETENTION = new RecordRetention(60_000, () -> 0);
    final Ticks loop = new Ticks();
    final Journal journal = new Journal(loop, 500);
    final Electorate electorate = Electorate.of(new Quorum(ALL, Set.of()));
    final Map<NodeId, KeyRecordStore> stores = new TreeMap<>();
    /** Questions by kind, and bytes of answers by kind. */
    final Map<String, Integer> asked = new TreeMap<>();

    final Map<String, Long> bytes = new TreeMap<>();
    /** How long an answer takes; below zero it is lost. */
    BiFunction<NodeId, Msg, Long> delay = (id, m) -> 1L;
    /** Who goes by another epoch than the asker. */
    final Set<NodeId> ahead = new HashSet<>();

    private long boots;

    Keepers() {
        ALL.forEach(id -> begin(id, new HashMap<>()));
    }

    /** A keeper's process, on the rows of its disk. */
    KeyRecordStore begin(final NodeId id, final Map<String, byte[]> rows) {
        final Disk disk = new Disk() {
            @Override
            public Map<String, byte[]> load() {
                return new HashMap<>(rows);
            }

            @Override
            public void save(final Map<String, byte[]> some, final Consumer<Boolean> done) {
                some.forEach((k, v) -> rows.compute(k, (x, old) -> v));
                done.accept(true);
            }
        };
        final KeyRecordStore k = new KeyRecordStore(
                id,
                "b" + ++boots,
                electorate,
                this,
                loop,
                loop::now,
                new MonitoredDisk(disk, loop),
                journal,
                RETENTION);
        try {
            k.start();
        } catch (final org.rowanvalve.common.DiskTrouble e) {
            throw new IllegalStateException(e);
        }
        stores.put(id, k);
        return k;
    }

    /** Records of a shard written by another process under a lower token. */
    void fill(final int shard, final int records, final int body) {
        for (final KeyRecordStore k : stores.values()) {
            final List<Msg> got = new ArrayList<>();
            k.read(new Msg.KeepRead(0, shard, new Token(1, 0), "before", true, null, 0), got::add);
            final long era = ((Msg.Kept) got.get(0)).era();
            for (int i = 0; i < records; i++) {
                k.write(new Msg.KeepWrite(0, note(shard, i, body), era), m -> {});
            }
        }
    }

    static Msg.Note note(final int shard, final int i, final int body) {
        final Msg.Outcome outcome = body < 0 ? null : new Msg.Outcome(201, Map.of(), new byte[body], true);
        return new Msg.Note(key(shard, i), shard, new Token(1, 0), "d".repeat(64), 7, false, outcome);
    }

    static String key(final int shard, final int i) {
        return "checkout|booking|key-" + shard + "-" + i;
    }

    @Override
    public void ask(final NodeId to, final Msg msg, final long wait, final Consumer<Reply> then) {
        asked.merge(msg.getClass().getSimpleName(), 1, Integer::sum);
        final boolean[] over = {false};
        loop.after(wait, () -> {
            if (!over[0]) {
                over[0] = true;
                then.accept(Reply.lost(Reply.Trouble.NO_ANSWER));
            }
        });
        answer(to, msg, m -> {
            bytes.merge(
                    m.getClass().getSimpleName(),
                    (long) Wire.pack(new Wire.Envelope(1, 1, 0, to, m)).length,
                    Long::sum);
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
    }

    private void answer(final NodeId to, final Msg msg, final Consumer<Msg> back) {
        final KeyRecordStore k = stores.get(to);
        if (k == null) {
            return;
        }
        if (ahead.contains(to) && !(msg instanceof Msg.KeepOutcome)) {
            back.accept(new Msg.OtherEpoch(electorate.epoch() + 1, null));
        } else if (msg instanceof Msg.KeepRead m) {
            k.read(m, back);
        } else if (msg instanceof Msg.KeepWrite m) {
            k.write(m, back);
        } else if (msg instanceof Msg.KeepOutcome m) {
            k.outcome(m, back);
        } else if (msg instanceof Msg.KeepSums m) {
            k.sums(m, back);
        } else if (msg instanceof Msg.KeepCells m) {
            k.cells(m, back);
        }
    }
}
