package rv.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import rv.base.DiskTrouble;
import rv.base.Hash;
import rv.base.Loop;
import rv.base.Msg;
import rv.base.Net;
import rv.base.NodeId;
import rv.base.Token;
import rv.base.Wire;
import rv.base.WireTrouble;

/**
 * Remembers intents and outcomes of keyed requests; bars tokens below the highest it was read with. Each write names
 * the era in which its writer read this keeper: whoever rebuilds a lost memory from here ends the era, so that no
 * intent can stand on an answer given before the loss and one given after the rebuilding.
 */
public final class KeyRecordStore implements RecordHandover {
    public static final long LAPSE = 60_000;
    private static final long STAY = 150_000;
    private static final String NOTE = "k/";
    private static final String BAR = "b/";
    private static final String SHORT = "lapse";
    private static final String ERA = "era";
    private static final int FIT = 2 << 20;
    private static final int PAGE = 48 << 10;
    private static final long PATIENCE = 2000;
    private final Electorate electorate;
    private final NodeId self;
    private final Net net;
    private final Loop loop;
    private final LongSupplier wall;
    private final MonitoredDisk disk;
    private final BooleanSupplier lost;
    private final TreeMap<String, Row> notes = new TreeMap<>();
    private final Map<Integer, Token> bars = new HashMap<>();
    private final Map<Integer, String> readers = new HashMap<>();
    private long until = Long.MIN_VALUE;
    private boolean kept;
    private boolean fetching;
    private long era;

    record Row(Msg.Note note, long at) {}

    record Lapse(long until) {}

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
            final BooleanSupplier lost) {
        this.self = self;
        this.electorate = electorate;
        this.net = net;
        this.era = Hash.mix(self + "/" + boot) >>> 1;
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
                    final Bar bar = Wire.unpack(e.getValue(), Bar.class);
                    bars.put(Integer.parseInt(e.getKey().substring(BAR.length())), new Token(bar.term(), bar.count()));
                    readers.put(
                            Integer.parseInt(e.getKey().substring(BAR.length())), bar.boot() == null ? "" : bar.boot());
                } else if (e.getKey().equals(SHORT)) {
                    until = Math.min(
                            now + LAPSE, Wire.unpack(e.getValue(), Lapse.class).until());
                    kept = true;
                } else if (e.getKey().equals(ERA)) {
                    era = Wire.unpack(e.getValue(), Era.class).n();
                }
            }
        } catch (final WireTrouble e) {
            throw new DiskTrouble("keeper rows cannot be read", e);
        }
        if (lost.getAsBoolean()) {
            until = now + LAPSE;
        }
        recall();
        loop.every(5000, this::sweep);
    }

    @Override
    public boolean lapse() {
        return (kept || lost.getAsBoolean()) && wall.getAsLong() < until;
    }

    public void read(final Msg.KeepRead ask, final Consumer<Msg> back) {
        final Token bar = bars.getOrDefault(ask.shard(), Token.ZERO);
        if (disk.stuck()) {
            back.accept(new Msg.Nay(Msg.Nay.DISK));
            return;
        }
        if (ask.token().below(bar)) {
            back.accept(new Msg.Kept(false, lapse(), bar, List.of(), 0));
            return;
        }
        bars.put(ask.shard(), ask.token());
        final String reader = ask.boot() == null ? "" : ask.boot();
        readers.put(ask.shard(), reader);
        save(BAR + ask.shard(), new Bar(ask.token().term(), ask.token().count(), reader), ok -> {
            if (ok) {
                back.accept(
                        new Msg.Kept(true, lapse(), ask.token(), fit(n -> n.shard() == ask.shard()), era(ask.shard())));
            }
        });
    }

    /** What would not go into one frame goes without its outcome: it is then answered "unknown". */
    private List<Msg.Note> fit(final Predicate<Msg.Note> wanted) {
        final List<Msg.Note> list = new ArrayList<>();
        int size = 0;
        for (final Row r : notes.values()) {
            final Msg.Note n = r.note();
            if (wanted.test(n)) {
                size += n.outcome() == null ? 0 : n.outcome().body().length + 300;
                list.add(size <= FIT || n.outcome() == null ? n : n.bare());
            }
        }
        return list;
    }

    /** One that lost its memory asks for all, page by page; with {@code bar} this era ends before the first. */
    public void all(final Msg.KeepAll ask, final Consumer<Msg> back) {
        if (lapse() || !ask.bar() && ask.after() == null) {
            back.accept(new Msg.KeptAll(!lapse(), List.of(), Map.of(), null));
        } else if (ask.after() != null) {
            back.accept(page(ask.after(), Map.of()));
        } else {
            era++;
            save(ERA, new Era(era), ok -> {
                if (ok) {
                    back.accept(page("", Map.copyOf(bars)));
                }
            });
        }
    }

    /** Small enough not to keep other frames of the same circuit waiting. */
    private Msg.KeptAll page(final String after, final Map<Integer, Token> first) {
        final List<Msg.Note> list = new ArrayList<>();
        int size = 0;
        for (final Map.Entry<String, Row> e : notes.tailMap(after, false).entrySet()) {
            final Msg.Note n = e.getValue().note();
            list.add(n);
            size += 200 + (n.outcome() == null ? 0 : n.outcome().body().length + 300);
            if (size >= PAGE) {
                return new Msg.KeptAll(true, list, first, e.getKey());
            }
        }
        return new Msg.KeptAll(true, list, first, null);
    }

    private void recall() {
        if (lapse()) {
            if (!fetching && electorate.has(self)) {
                gather();
            }
            loop.after(500, this::recall);
        }
    }

    private void gather() {
        final Set<NodeId> with = new HashSet<>();
        final Set<NodeId> bare = new HashSet<>();
        electorate.voters().stream()
                .filter(e -> !e.equals(self))
                .forEach(e -> net.ask(
                        e,
                        new Msg.KeepAll(electorate.epoch(), false, null),
                        450,
                        r -> r.as(Msg.KeptAll.class).ifPresent(k -> {
                            (k.ok() ? with : bare).add(e);
                            if (!fetching && lapse() && (electorate.quorum().read(with) || sole(with, bare))) {
                                fetching = true;
                                final Map<NodeId, Msg.KeptAll> got = new HashMap<>();
                                Set.copyOf(with)
                                        .forEach(w -> fetch(w, null, new ArrayList<>(), new HashMap<>(), whole -> {
                                            got.put(w, whole);
                                            if (got.keySet().containsAll(with) && lapse()) {
                                                rebuild(got);
                                            }
                                        }));
                            }
                        })));
    }

    /** A page that does not come ends the attempt; the next one begins anew. */
    private void fetch(
            final NodeId from,
            final String after,
            final List<Msg.Note> list,
            final Map<Integer, Token> tops,
            final Consumer<Msg.KeptAll> then) {
        net.ask(from, new Msg.KeepAll(electorate.epoch(), true, after), PATIENCE, r -> {
            final Msg.KeptAll k =
                    r.as(Msg.KeptAll.class).filter(Msg.KeptAll::ok).orElse(null);
            if (k == null) {
                fetching = false;
                return;
            }
            list.addAll(k.notes());
            tops.putAll(k.bars());
            if (k.next() == null) {
                then.accept(new Msg.KeptAll(true, list, tops, null));
            } else {
                fetch(from, k.next(), list, tops, then);
            }
        });
    }

    /** All others were asked, those without memory said so, and a store has its own: every note stands there. */
    private boolean sole(final Set<NodeId> with, final Set<NodeId> bare) {
        return with.size() + bare.size() == electorate.voters().size() - 1
                && electorate.quorum().stores().stream().anyMatch(with::contains);
    }

    private void rebuild(final Map<NodeId, Msg.KeptAll> got) {
        got.values().forEach(this::merge);
        disk.save(rows(), ok -> {
            fetching = false;
            if (ok) {
                joined();
            }
        });
    }

    @Override
    public Msg.KeptAll give(final String after) {
        return page(after == null ? "" : after, after == null ? Map.copyOf(bars) : Map.of());
    }

    @Override
    public void merge(final Msg.KeptAll k) {
        k.bars().forEach((s, t) -> bars.merge(s, t, (a, b) -> a.below(b) ? b : a));
        k.notes().forEach(n -> {
            final Row old = notes.get(n.key());
            notes.put(n.key(), new Row(old == null ? n : Msg.Note.settle(List.of(old.note(), n)), wall.getAsLong()));
        });
    }

    @Override
    public Map<String, byte[]> rows() {
        final Map<String, byte[]> rows = new HashMap<>();
        bars.forEach((s, t) -> rows.put(BAR + s, Wire.pack(new Bar(t.term(), t.count(), readers.get(s)))));
        notes.forEach((k, r) -> rows.put(NOTE + k, Wire.pack(r)));
        rows.put(SHORT, null);
        return rows;
    }

    @Override
    public void joined() {
        fetching = false;
        until = Long.MIN_VALUE;
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
        final Row old = notes.get(n.key());
        final Msg.Note now = n.over(old == null ? null : old.note());
        final Row row = now == n ? new Row(n, wall.getAsLong()) : old;
        notes.put(n.key(), row);
        save(NOTE + n.key(), row, ok -> {
            if (ok) {
                back.accept(new Msg.KeepSeen(true, lapse(), false));
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
            disk.save(dead, ok -> {});
        }
    }

    public int size() {
        return notes.size();
    }
}
