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
import rv.base.Ballot;
import rv.base.Code;
import rv.base.DiskTrouble;
import rv.base.Event;
import rv.base.Item;
import rv.base.ItemId;
import rv.base.Journal;
import rv.base.Loop;
import rv.base.Msg;
import rv.base.Net;
import rv.base.NodeId;
import rv.base.Ver;
import rv.base.Wire;
import rv.base.WireTrouble;

/** One voter over all registers. Without its memory it answers no vote. */
public final class Voter {
    private static final String SEAL = "seal";
    private static final String ROW = "e/";
    /** On a disk that was there at the network's first start; for a later start it says, without a seal, that nothing was lost. */
    private static final String FIRST = "first";

    private static final long HUSH = 1200;
    private static final long CALM = 700;
    private static final long PATIENCE = 2500;
    private final NodeId self;
    private final Electorate electorate;
    private final Loop loop;
    private final Net net;
    private final MonitoredDisk disk;
    private final Journal journal;
    private final String boot;
    private final BooleanSupplier virgin;
    private final boolean first;
    private boolean early;
    private Runnable whole = () -> {};
    private final Map<ItemId, Msg.Slot> slots = new TreeMap<>();
    private Map<NodeId, String> founders = Map.of();
    private boolean full;
    private boolean fresh;
    private boolean failed;
    private boolean settling;
    private long floor;
    private long lives;
    private Digest digest = new Digest();
    private long turn;
    private long born;

    record Seal(Map<NodeId, String> founders, long floor, long lives) {}

    public Voter(
            final NodeId self,
            final Electorate electorate,
            final Loop loop,
            final Net net,
            final MonitoredDisk disk,
            final Journal journal,
            final String boot,
            final boolean first,
            final BooleanSupplier virgin) {
        this.self = self;
        this.electorate = electorate;
        this.loop = loop;
        this.net = net;
        this.disk = disk;
        this.journal = journal;
        this.boot = boot;
        this.first = first;
        this.virgin = virgin;
    }

    public void start() throws DiskTrouble {
        born = loop.now();
        try {
            for (final Map.Entry<String, byte[]> e : disk.load().entrySet()) {
                if (e.getKey().equals(SEAL)) {
                    final Seal seal = Wire.unpack(e.getValue(), Seal.class);
                    founders = seal.founders();
                    floor = seal.floor();
                    lives = seal.lives();
                    full = true;
                } else if (e.getKey().equals(FIRST)) {
                    early = !first;
                } else if (e.getKey().startsWith(ROW)) {
                    put(Wire.unpack(e.getValue(), Msg.Slot.class));
                }
            }
        } catch (final WireTrouble e) {
            throw new DiskTrouble("elector rows cannot be read", e);
        }
        if (!full) {
            slots.clear();
            digest = new Digest();
            fresh = true;
            journal.add(Event.of(Code.AMNESIA, "boot", boot));
            if (first && electorate.quorum().stores().isEmpty()) {
                disk.save(Map.of(FIRST, new byte[0]), ok -> {});
            }
            recall();
        }
    }

    /** Run once a lost memory is rebuilt: what the node has learned meanwhile is not in what was read from others. */
    public void onWhole(final Runnable job) {
        whole = job;
    }

    public boolean full() {
        return full;
    }

    /** True when this process began without memory and was not part of the founding. */
    public boolean lapsed() {
        return fresh && !(full && early) && !boot.equals(founders.get(self));
    }

    /** How often this memory, or the one it was rebuilt from, was the only one left. */
    public long lives() {
        return lives;
    }

    public Digest digest() {
        return digest;
    }

    public Map<ItemId, Msg.Slot> slots() {
        return slots;
    }

    private void put(final Msg.Slot slot) {
        final Msg.Slot old = slots.put(slot.item().id(), slot);
        digest.swap(old == null ? null : old.item(), slot.item());
    }

    private void save(final List<Msg.Slot> list, final boolean seal, final Runnable then) {
        final Map<String, byte[]> rows = new HashMap<>();
        list.forEach(s -> rows.put(ROW + s.item().id().text(), Wire.pack(s)));
        if (seal) {
            rows.put(SEAL, Wire.pack(new Seal(founders, floor, lives)));
        }
        disk.save(rows, ok -> {
            if (ok) {
                failed = false;
                then.run();
            } else if (!failed) {
                failed = true;
                journal.add(Event.of(Code.DISK_SLOW, "rows", rows.size()));
            }
        });
    }

    private Msg.Slot slot(final ItemId id) {
        return slots.getOrDefault(id, new Msg.Slot(Ballot.ZERO, Ballot.ZERO, Item.none(id)));
    }

    public Ver ver(final ItemId id) {
        return slot(id).item().ver();
    }

    public void prepare(final Msg.Prepare ask, final Consumer<Msg> back) {
        if (!full) {
            back.accept(new Msg.Nay("amnesia"));
            return;
        }
        if (disk.stuck()) {
            back.accept(new Msg.Nay(Msg.Nay.DISK));
            return;
        }
        final Msg.Slot s = slot(ask.id());
        if (!ask.ballot().above(s.promised()) || ask.ballot().round() <= floor) {
            back.accept(new Msg.Promise(false, high(s), s.at(), null));
            return;
        }
        final Msg.Slot n = new Msg.Slot(ask.ballot(), s.at(), s.item());
        put(n);
        save(List.of(n), false, () -> back.accept(new Msg.Promise(true, ask.ballot(), n.at(), n.item())));
    }

    private Ballot high(final Msg.Slot s) {
        final Ballot low = new Ballot(floor, "~");
        return s.promised().above(low) ? s.promised() : low;
    }

    public void accept(final Msg.Accept ask, final Consumer<Msg> back) {
        final Ballot ballot = ask.ballot();
        final Item item = ask.item();
        if (!full) {
            back.accept(new Msg.Nay("amnesia"));
            return;
        }
        if (disk.stuck()) {
            back.accept(new Msg.Nay(Msg.Nay.DISK));
            return;
        }
        final Msg.Slot s = slot(item.id());
        if (s.promised().above(ballot) || ballot.round() <= floor) {
            back.accept(new Msg.Accepted(false, high(s)));
            return;
        }
        final Msg.Slot n =
                new Msg.Slot(ask.next() != null && ask.next().above(ballot) ? ask.next() : ballot, ballot, item);
        put(n);
        save(List.of(n), false, () -> back.accept(new Msg.Accepted(true, n.promised())));
    }

    /** Slots of dropped items go; the floor keeps all that was promised or accepted for them from coming back. */
    public void sweep(final Sweep sweep) {
        final List<Msg.Slot> dead = !full || disk.stuck()
                ? List.of()
                : slots.values().stream()
                        .filter(s -> s.item().id().kind().rising()
                                && sweep.drops(s.item().id(), s.item().ver().n())
                                && sweep.floor(s.item().id().kind()) > 0)
                        .toList();
        if (dead.isEmpty()) {
            return;
        }
        final Map<String, byte[]> rows = new HashMap<>();
        dead.forEach(s -> {
            floor = Math.max(floor, Math.max(s.promised().round(), s.at().round()));
            slots.remove(s.item().id());
            digest.swap(s.item(), Item.none(s.item().id()));
            rows.put(ROW + s.item().id().text(), null);
        });
        rows.put(SEAL, Wire.pack(new Seal(founders, floor, lives)));
        disk.save(rows, ok -> {});
    }

    /** A chosen value is a fact: whoever prepares above its ballot hears of it from a majority anyway. */
    public void learn(final Msg.Chosen got) {
        final Msg.Slot s = slot(got.item().id());
        if (full && got.item().ver().above(s.item().ver()) && got.ballot().above(s.at())) {
            final Msg.Slot n = new Msg.Slot(
                    got.ballot().above(s.promised()) ? got.ballot() : s.promised(), got.ballot(), got.item());
            put(n);
            save(List.of(n), false, () -> {});
        }
    }

    public void reread(final Msg.Reread ask, final Consumer<Msg> back) {
        if (!full || !ask.bar()) {
            back.accept(new Msg.Memory(
                    full, full || willing() ? boot : "", founders, floor, List.of(), lives, loop.now() - born));
            return;
        }
        if (ask.sole()) {
            lives++;
            journal.add(Event.of(Code.RESUMED, "lives", lives, "floor", floor));
        }
        floor = 1
                + slots.values().stream()
                        .mapToLong(s -> Math.max(s.promised().round(), s.at().round()))
                        .reduce(floor, Math::max);
        final List<Msg.Slot> all = List.copyOf(slots.values());
        final long bar = floor;
        save(
                List.of(),
                true,
                () -> back.accept(new Msg.Memory(true, boot, founders, bar, all, lives, loop.now() - born)));
    }

    private void recall() {
        if (full) {
            return;
        }
        final long mine = ++turn;
        gather(false, false, mine);
        loop.after(400, this::recall);
    }

    private void gather(final boolean bar, final boolean sole, final long mine) {
        final Map<NodeId, Msg.Memory> got = new HashMap<>();
        for (final NodeId id : electorate.voters()) {
            if (!id.equals(self)) {
                net.ask(
                        id,
                        new Msg.Reread(electorate.epoch(), boot, bar, sole),
                        350,
                        r -> r.as(Msg.Memory.class).ifPresent(m -> {
                            if (!full && turn == mine) {
                                got.put(id, m);
                                weigh(got, bar, mine);
                            }
                        }));
            }
        }
    }

    private void weigh(final Map<NodeId, Msg.Memory> got, final boolean bar, final long mine) {
        final Set<NodeId> with = new HashSet<>();
        got.forEach((id, m) -> {
            if (m.has()) {
                with.add(id);
            }
        });
        if (got.values().stream()
                .anyMatch(m -> m.has() && (early || boot.equals(m.founders().get(self))))) {
            got.values().stream().filter(Msg.Memory::has).findFirst().ifPresent(m -> found(m.founders()));
        } else if (with.isEmpty() && willing() && (unanimous(got) || enough(got))) {
            final Map<NodeId, String> all = new HashMap<>();
            got.forEach((id, m) -> all.put(id, m.boot()));
            all.values().removeIf(String::isEmpty);
            all.put(self, boot);
            found(all);
        } else if ((electorate.quorum().read(with) || sole(got, with)) && loop.now() - born >= CALM) {
            if (bar) {
                rebuild(got);
            } else {
                turn = mine + 1;
                gather(true, !electorate.quorum().read(with), turn);
            }
        }
    }

    /** Every other elector was asked, those without memory stand blank, and a store has its own: nothing accepted stands elsewhere. */
    private boolean sole(final Map<NodeId, Msg.Memory> got, final Set<NodeId> with) {
        return got.size() == electorate.voters().size() - 1
                && electorate.quorum().stores().stream().anyMatch(with::contains)
                && loop.now() - born >= HUSH
                && got.values().stream().filter(Msg.Memory::has).allMatch(m -> m.age() >= HUSH);
    }

    /** Every other elector has answered that it is willing too. */
    private boolean unanimous(final Map<NodeId, Msg.Memory> got) {
        return got.size() == electorate.voters().size() - 1
                && got.values().stream().noneMatch(m -> m.boot().isEmpty());
    }

    /**
     * Where starts are told apart, a majority in its first life that never voted is proof that nothing was ever accepted:
     * it need not wait for one that ended during the first start and came back without a note of it.
     */
    private boolean enough(final Map<NodeId, Msg.Memory> got) {
        return electorate.quorum().stores().isEmpty()
                && loop.now() - born >= PATIENCE
                && 1
                                + got.values().stream()
                                        .filter(m -> !m.has() && !m.boot().isEmpty())
                                        .count()
                        >= electorate.quorum().need();
    }

    private boolean early() {
        return first || early;
    }

    /** A network is founded only after a while in which no node has said that it holds anything. */
    private boolean willing() {
        return early() && loop.now() - born >= HUSH && virgin.getAsBoolean();
    }

    private void found(final Map<NodeId, String> all) {
        if (settling) {
            return;
        }
        settling = true;
        founders = Map.copyOf(all);
        save(List.of(), true, () -> {
            full = true;
            journal.add(Event.of(Code.FOUNDED, "electors", founders.size()));
        });
    }

    private void rebuild(final Map<NodeId, Msg.Memory> got) {
        turn++;
        got.values().stream().filter(Msg.Memory::has).forEach(m -> {
            floor = Math.max(floor, m.floor());
            lives = Math.max(lives, m.lives());
            founders = m.founders();
            for (final Msg.Slot s : m.slots()) {
                final Msg.Slot old = slot(s.item().id());
                final Msg.Slot best = s.at().above(old.at()) ? s : old;
                final Ballot word = s.promised().above(old.promised()) ? s.promised() : old.promised();
                put(new Msg.Slot(word, best.at(), best.item()));
            }
        });
        save(new ArrayList<>(slots.values()), true, () -> {
            full = true;
            whole.run();
            journal.add(Event.of(Code.REBUILT, "items", slots.size(), "floor", floor));
        });
    }

    /** An operator vouches that one elector holds all: its copy is taken without a majority. */
    public void vouch(final NodeId from, final Consumer<Boolean> then) {
        net.ask(from, new Msg.Reread(electorate.epoch(), boot, true, true), 2000, r -> {
            final Msg.Memory m = r.as(Msg.Memory.class).filter(Msg.Memory::has).orElse(null);
            if (m != null && !full) {
                rebuild(Map.of(from, m));
            }
            then.accept(m != null);
        });
    }
}
