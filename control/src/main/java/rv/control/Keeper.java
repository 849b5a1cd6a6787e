package rv.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import rv.base.Disk;
import rv.base.DiskTrouble;
import rv.base.Loop;
import rv.base.Msg;
import rv.base.Token;
import rv.base.Wire;
import rv.base.WireTrouble;

/** Remembers intents and outcomes of keyed requests; bars tokens below the highest it was read with. */
public final class Keeper {
    public static final long LAPSE = 60_000;
    private static final long STAY = 150_000;
    private static final String NOTE = "k/";
    private static final String BAR = "b/";
    private static final String SHORT = "lapse";
    private final Loop loop;
    private final LongSupplier wall;
    private final Disk disk;
    private final BooleanSupplier lost;
    private final Map<String, Row> notes = new TreeMap<>();
    private final Map<Integer, Token> bars = new HashMap<>();
    private long until = Long.MIN_VALUE;
    private boolean kept;

    record Row(Msg.Note note, long at) {
    }

    record Lapse(long until) {
    }

    public Keeper(final Loop loop, final LongSupplier wall, final Disk disk, final BooleanSupplier lost) {
        this.loop = loop;
        this.wall = wall;
        this.disk = disk;
        this.lost = lost;
    }

    public void start() throws DiskTrouble {
        final long now = wall.getAsLong();
        try {
            for (final Map.Entry<String, byte[]> e : disk.load().entrySet()) {
                if (e.getKey().startsWith(NOTE)) {
                    final Row row = Wire.unpack(e.getValue(), Row.class);
                    notes.put(row.note().key(), new Row(row.note(), Math.min(row.at(), now)));
                } else if (e.getKey().startsWith(BAR)) {
                    bars.put(Integer.parseInt(e.getKey().substring(BAR.length())), Wire.unpack(e.getValue(), Token.class));
                } else if (e.getKey().equals(SHORT)) {
                    until = Math.min(now + LAPSE, Wire.unpack(e.getValue(), Lapse.class).until());
                    kept = true;
                }
            }
        } catch (final WireTrouble e) {
            throw new DiskTrouble("keeper rows cannot be read", e);
        }
        if (lost.getAsBoolean()) {
            until = now + LAPSE;
        }
        loop.every(5000, this::sweep);
    }

    public boolean lapse() {
        return (kept || lost.getAsBoolean()) && wall.getAsLong() < until;
    }

    public void read(final Msg.KeepRead ask, final Consumer<Msg> back) {
        final Token bar = bars.getOrDefault(ask.shard(), Token.ZERO);
        if (ask.token().below(bar)) {
            back.accept(new Msg.Kept(false, lapse(), bar, List.of()));
            return;
        }
        bars.put(ask.shard(), ask.token());
        save(BAR + ask.shard(), ask.token(), ok -> {
            if (ok) {
                final List<Msg.Note> list = new ArrayList<>();
                notes.values().stream().map(Row::note).filter(n -> n.shard() == ask.shard()).forEach(list::add);
                back.accept(new Msg.Kept(true, lapse(), ask.token(), list));
            }
        });
    }

    public void write(final Msg.KeepWrite ask, final Consumer<Msg> back) {
        final Msg.Note n = ask.note();
        if (n.token().below(bars.getOrDefault(n.shard(), Token.ZERO))) {
            back.accept(new Msg.KeepSeen(false, lapse()));
            return;
        }
        final Row old = notes.get(n.key());
        final boolean keep = old != null && old.note().outcome() != null && n.outcome() == null;
        final Row row = keep ? old : new Row(n, wall.getAsLong());
        notes.put(n.key(), row);
        save(NOTE + n.key(), row, ok -> {
            if (ok) {
                back.accept(new Msg.KeepSeen(true, lapse()));
            }
        });
    }

    /** While memory is short of what it once held, every row saved says so too. */
    private void save(final String key, final Object row, final Consumer<Boolean> then) {
        final Map<String, byte[]> rows = new HashMap<>();
        rows.put(key, Wire.pack(row));
        if (lapse()) {
            rows.put(SHORT, Wire.pack(new Lapse(until)));
        }
        disk.save(rows, then);
    }

    private void sweep() {
        final long now = wall.getAsLong();
        final Map<String, byte[]> dead = new HashMap<>();
        notes.forEach((k, r) -> {
            if (now - r.at() > STAY) {
                dead.put(NOTE + k, null);
            }
        });
        dead.keySet().forEach(k -> notes.remove(k.substring(NOTE.length())));
        if (!dead.isEmpty()) {
            disk.save(dead, ok -> { });
        }
    }

    public int size() {
        return notes.size();
    }
}
