package org.rowanvalve.control;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.DiskTrouble;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.Hash;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Token;
import org.rowanvalve.common.Wire;
import org.rowanvalve.common.WireTrouble;

/**
 * Remembers intents and outcomes of keyed requests; bars tokens below the highest it was read with. Each write names
 * the era in which its writer read this keeper: whoever rebuilds a lost memory from here ends the era, so that no
 * intent can stand on an answer given before the loss and one given after the rebuilding.
 */
public final class KeyRecordStore implements RecordHandover, RecordRecovery.Records {
    private static final String NOTE = "k/";
    private static final String BAR = "b/";
    private static final String LAPSE = "lapse";
    private static final String ERA = "era";
    private static final long SWEEP_PERIOD = 1000;
    private static final int ASKERS = 64;
    private final Loop loop;
    private final LongSupplier wall;
    private final MonitoredDisk disk;
    private final Journal journal;
    private final RecordRetention retention;
    private final KeyRecordTable table = new KeyRecordTable();
    private final RecordRecovery recovery;
    private final Map<Integer, Token> bars = new HashMap<>();
    private final Map<Integer, String> readers = new HashMap<>();
    private final Map<Integer, Bar> synced = new HashMap<>();
    /** For whom this era was ended already; a repeated question does not end another. */
    private final Set<String> askers = Collections.newSetFromMap(new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(final Map.Entry<String, Boolean> eldest) {
            return size() > ASKERS;
        }
    });

    private long since = Long.MIN_VALUE;
    private boolean lacking;
    /** The end of the lapse is on its way to the disk: what is saved behind it must not bring it back there. */
    private boolean ending;

    private long era;

    record Lapse(long since) {}

    record Bar(long term, long count, String boot) {}

    record Era(long n) {}

    public KeyRecordStore(
            final NodeId self,
            final String boot,
            final Electorate electorate,
            final Net net,
            final Loop loop,
            final LongSupplier wall,
            final MonitoredDisk disk,
            final Journal journal,
            final RecordRetention retention) {
        final String name = self + "/" + boot;
        this.era = Hash.mix(name) >>> 1;
        this.loop = loop;
        this.wall = wall;
        this.disk = disk;
        this.journal = journal;
        this.retention = retention;
        this.recovery = new RecordRecovery(self, name, electorate, net, loop, journal, table, this);
    }

    public void start() throws DiskTrouble {
        final long now = wall.getAsLong();
        try {
            for (final Map.Entry<String, byte[]> e : disk.load().entrySet()) {
                load(e.getKey(), e.getValue(), now);
            }
        } catch (final WireTrouble e) {
            throw new DiskTrouble("keeper rows cannot be read", e);
        }
        recovery.start();
        loop.every(SWEEP_PERIOD, this::sweep);
    }

    private void load(final String key, final byte[] row, final long now) throws WireTrouble {
        if (key.startsWith(NOTE)) {
            final KeyRecordTable.Row r = Wire.unpack(row, KeyRecordTable.Row.class);
            final long stay = r.stay() > 0 ? r.stay() : retention.ms();
            table.put(new KeyRecordTable.Row(r.note(), Math.min(r.at(), now), stay));
        } else if (key.startsWith(BAR)) {
            final int shard = Integer.parseInt(key.substring(BAR.length()));
            final Bar bar = Wire.unpack(row, Bar.class);
            bars.put(shard, new Token(bar.term(), bar.count()));
            readers.put(shard, bar.boot() == null ? "" : bar.boot());
            synced.put(shard, bar);
        } else if (key.equals(LAPSE)) {
            since = Math.min(now, Wire.unpack(row, Lapse.class).since());
            lacking = true;
        } else if (key.equals(ERA)) {
            era = Wire.unpack(row, Era.class).n();
        }
    }

    /** Whether this keeper lacks records that it may once have held, and that may still matter. */
    @Override
    public boolean lapse() {
        return lacking && wall.getAsLong() < since + retention.ms();
    }

    /** These records lack what they held before, also after a restart; the others' are copied from now on. */
    @Override
    public Map<String, byte[]> forgotten() {
        lacking = true;
        since = wall.getAsLong();
        loop.post(recovery::recall);
        return lapseRows();
    }

    private Map<String, byte[]> lapseRows() {
        return lapse() && !ending ? Map.of(LAPSE, Wire.pack(new Lapse(since))) : Map.of();
    }

    public int size() {
        return table.size();
    }

    /** A holder reads a shard's records; whoever reads last is the only one to write from then on. */
    public void read(final Msg.KeepRead ask, final Consumer<Msg> back) {
        final Token bar = bars.getOrDefault(ask.shard(), Token.ZERO);
        if (disk.stuck()) {
            back.accept(new Msg.Nay(Msg.Nay.DISK));
        } else if (ask.token().below(bar)) {
            back.accept(rejected(bar));
        } else if (ask.after() == null) {
            begin(ask, back);
        } else if (ask.era() != era(ask.shard()) || !ask.token().equals(bar)) {
            back.accept(rejected(bar));
        } else {
            back.accept(page(ask));
        }
    }

    private Msg.Kept rejected(final Token bar) {
        return new Msg.Kept(false, lapse(), bar, List.of(), 0, null);
    }

    private void begin(final Msg.KeepRead ask, final Consumer<Msg> back) {
        final String reader = ask.boot() == null ? "" : ask.boot();
        final Bar bar = new Bar(ask.token().term(), ask.token().count(), reader);
        bars.put(ask.shard(), ask.token());
        readers.put(ask.shard(), reader);
        if (bar.equals(synced.get(ask.shard()))) {
            back.accept(page(ask));
            return;
        }
        synced.remove(ask.shard());
        save(BAR + ask.shard(), bar, ok -> {
            if (ok && reader.equals(readers.get(ask.shard())) && ask.token().equals(bars.get(ask.shard()))) {
                synced.put(ask.shard(), bar);
                back.accept(page(ask));
            }
        });
    }

    /** What this keeper holds in a lapse counts for nothing and is not sent. */
    private Msg.Kept page(final Msg.KeepRead ask) {
        final int bytes = ask.paged() ? KeyRecordTable.LIGHT_PAGE_BYTES : Integer.MAX_VALUE;
        final KeyRecordTable.Page page =
                lapse() ? new KeyRecordTable.Page(List.of(), null) : table.light(ask.shard(), ask.after(), bytes);
        final List<Msg.Note> notes = page.rows().stream()
                .map(KeyRecordTable.Row::note)
                .map(ask.paged() ? Msg.Note::light : Msg.Note::bare)
                .toList();
        return new Msg.Kept(true, lapse(), ask.token(), notes, era(ask.shard()), page.next());
    }

    /** What a writer must show: that it was the last to read this shard here, in this era. */
    private long era(final int shard) {
        return era ^ Hash.mix(readers.getOrDefault(shard, ""));
    }

    public void write(final Msg.KeepWrite ask, final Consumer<Msg> back) {
        final Msg.Note n = ask.note();
        if (disk.stuck()) {
            back.accept(new Msg.Nay(Msg.Nay.DISK));
            return;
        }
        if (ask.era() != era(n.shard())) {
            back.accept(new Msg.KeepSeen(false, lapse(), true));
            return;
        }
        if (n.token().below(bars.getOrDefault(n.shard(), Token.ZERO))) {
            back.accept(new Msg.KeepSeen(false, lapse(), false));
            return;
        }
        final KeyRecordTable.Row old = table.get(n.key());
        final Msg.Note now = n.over(old == null ? null : old.note());
        final KeyRecordTable.Row row = now == n ? new KeyRecordTable.Row(n, wall.getAsLong(), retention.ms()) : old;
        table.put(row);
        save(NOTE + n.key(), row, ok -> {
            if (ok) {
                back.accept(new Msg.KeepSeen(true, lapse(), false));
            }
        });
    }

    /** An outcome is a fact, whoever asks for it and when. */
    public void outcome(final Msg.KeepOutcome ask, final Consumer<Msg> back) {
        final KeyRecordTable.Row row = table.get(ask.key());
        back.accept(new Msg.KeptOutcome(row == null || row.note().outcome() == null ? null : row.note()));
    }

    /** Another keeper that lost its memory begins to copy this one's; with a bar this era ends before the first answer. */
    public void sums(final Msg.KeepSums ask, final Consumer<Msg> back) {
        if (lapse()) {
            back.accept(new Msg.KeptSums(false, List.of(), Map.of()));
        } else if (ask.bar()) {
            endEra(ask.asker(), () -> back.accept(summed()));
        } else {
            back.accept(summed());
        }
    }

    private void endEra(final String asker, final Runnable then) {
        if (askers.add(asker)) {
            era++;
        }
        save(ERA, new Era(era), ok -> {
            if (ok) {
                then.run();
            }
        });
    }

    private Msg.KeptSums summed() {
        return new Msg.KeptSums(true, table.sums(), Map.copyOf(bars));
    }

    public void cells(final Msg.KeepCells ask, final Consumer<Msg> back) {
        if (lapse()) {
            back.accept(new Msg.KeptCells(false, List.of(), 0, null));
            return;
        }
        back.accept(kept(table.whole(ask.cells(), ask.after())));
    }

    private Msg.KeptCells kept(final KeyRecordTable.Page page) {
        final long now = wall.getAsLong();
        final List<Msg.AgedNote> notes = page.rows().stream()
                .map(r -> new Msg.AgedNote(r.note(), Math.max(0, now - r.at()), r.stay()))
                .toList();
        return new Msg.KeptCells(true, notes, KeyRecordTable.sumOf(notes), page.next());
    }

    /** A standby gets ready to vote: {@code then} hears whether it holds what some voter held a moment ago. */
    public void warm(final Consumer<Boolean> then) {
        recovery.warm(then);
    }

    /** Every voter that counts has been copied: the lapse ends once all is synced. */
    @Override
    public void recalled(final Consumer<Boolean> then) {
        final Map<String, byte[]> rows = new HashMap<>();
        rows.put(LAPSE, null);
        ending = true;
        disk.save(rows, ok -> {
            ending = false;
            lacking &= !ok;
            then.accept(ok);
        });
    }

    @Override
    public void raise(final Map<Integer, Token> theirs) {
        final Map<String, byte[]> rows = new HashMap<>();
        theirs.forEach((shard, token) -> {
            if (bars.getOrDefault(shard, Token.ZERO).below(token)) {
                bars.put(shard, token);
                readers.remove(shard);
                synced.remove(shard);
                rows.put(BAR + shard, Wire.pack(new Bar(token.term(), token.count(), "")));
            }
        });
        saveAll(rows, ok -> {});
    }

    @Override
    public void mergeAll(final List<Msg.AgedNote> notes) {
        final Map<String, byte[]> rows = new HashMap<>();
        notes.forEach(n -> {
            final KeyRecordTable.Row row = merged(n);
            table.put(row);
            rows.put(NOTE + row.note().key(), Wire.pack(row));
        });
        saveAll(rows, ok -> {});
    }

    @Override
    public List<Long> sums() {
        return table.sums();
    }

    @Override
    public Msg.HandedRecords give(final List<Long> theirs, final String after) {
        final List<Integer> cells = table.differing(theirs).stream()
                .filter(c -> after == null || c >= KeyRecordTable.cell(after))
                .toList();
        final String from =
                after == null || cells.isEmpty() || cells.get(0) != KeyRecordTable.cell(after) ? null : after;
        return new Msg.HandedRecords(Map.copyOf(bars), kept(table.whole(cells, from)));
    }

    @Override
    public boolean merge(final Msg.HandedRecords handed) {
        if (!KeyRecordTable.sound(handed.page())) {
            journal.add(
                    Event.of(Code.RECORDS_BAD, "records", handed.page().notes().size()));
            return false;
        }
        raise(handed.bars());
        mergeAll(handed.page().notes());
        return true;
    }

    /** Nobody has read these shards in the epoch that begins: every holder reads them anew. */
    @Override
    public Map<String, byte[]> rows() {
        final Map<String, byte[]> rows = new HashMap<>();
        bars.forEach((shard, token) -> rows.put(BAR + shard, Wire.pack(new Bar(token.term(), token.count(), ""))));
        rows.put(LAPSE, null);
        return rows;
    }

    @Override
    public void joined() {
        readers.clear();
        synced.clear();
        lacking = false;
    }

    private KeyRecordTable.Row merged(final Msg.AgedNote other) {
        final long at = wall.getAsLong() - other.age();
        final KeyRecordTable.Row old = table.get(other.note().key());
        return old == null
                ? new KeyRecordTable.Row(other.note(), at, other.stay())
                : new KeyRecordTable.Row(
                        Msg.Note.settle(List.of(old.note(), other.note())),
                        Math.max(old.at(), at),
                        Math.max(old.stay(), other.stay()));
    }

    private void save(final String key, final Object row, final Consumer<Boolean> then) {
        saveAll(Map.of(key, Wire.pack(row)), then);
    }

    /** While memory is short of what it once held, every row saved says so too. */
    private void saveAll(final Map<String, byte[]> some, final Consumer<Boolean> then) {
        final Map<String, byte[]> rows = new HashMap<>(some);
        rows.putAll(lapseRows());
        if (!rows.isEmpty()) {
            disk.save(rows, then);
        }
    }

    private void sweep() {
        final long now = wall.getAsLong();
        final long stay = retention.ms();
        final List<String> dead = table.all().stream()
                .filter(r -> r.over(now, stay))
                .map(r -> r.note().key())
                .toList();
        final Map<String, byte[]> rows = new HashMap<>();
        dead.forEach(key -> {
            table.remove(key);
            rows.put(NOTE + key, null);
        });
        if (!rows.isEmpty()) {
            disk.save(rows, ok -> {});
        }
    }
}
