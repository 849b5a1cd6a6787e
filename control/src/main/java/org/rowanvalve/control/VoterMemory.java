package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.common.Ballot;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.DiskTrouble;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.Hash;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Wire;
import org.rowanvalve.common.WireTrouble;

/**
 * What a voter remembers, in rows on its disk: its registers, a floor under all ballots, the epoch it last voted in, and
 * the latest chosen set of voters that it has synced.
 */
final class VoterMemory {
    private static final String SEAL = "seal";
    private static final String ROW = "e/";
    /** On a disk that was there at the network's first start; for a later start it says, without a seal, that nothing was lost. */
    private static final String FIRST = "first";
    /** On the disk of a standby: up to this epoch it has never voted with a memory that is now lost. */
    private static final String STANDBY = "standby";

    private static final String VOTERS = "voters";

    private final MonitoredDisk disk;
    private final Journal journal;
    private final Map<ItemId, Msg.Slot> slots = new TreeMap<>();
    private Digest digest = new Digest();
    private Map<NodeId, String> founders = Map.of();
    private long floor;
    private long lives;
    private long epoch;
    private long sealed;
    private boolean full;
    private boolean first;
    private boolean standby;
    private boolean failed;

    record Seal(Map<NodeId, String> founders, long floor, long lives, long epoch) {}

    record Standby(long epoch) {}

    VoterMemory(final MonitoredDisk disk, final Journal journal) {
        this.disk = disk;
        this.journal = journal;
    }

    /** Reads the rows; returns the latest chosen set of voters among them, or null. */
    Msg.Chosen load() throws DiskTrouble {
        Msg.Chosen voters = null;
        try {
            for (final Map.Entry<String, byte[]> e : disk.load().entrySet()) {
                if (e.getKey().equals(SEAL)) {
                    final Seal seal = Wire.unpack(e.getValue(), Seal.class);
                    founders = seal.founders();
                    floor = seal.floor();
                    lives = seal.lives();
                    epoch = seal.epoch();
                    full = true;
                } else if (e.getKey().equals(FIRST)) {
                    first = true;
                } else if (e.getKey().equals(STANDBY)) {
                    standby = true;
                } else if (e.getKey().equals(VOTERS)) {
                    voters = Wire.unpack(e.getValue(), Msg.Chosen.class);
                } else if (e.getKey().startsWith(ROW)) {
                    put(Wire.unpack(e.getValue(), Msg.Slot.class));
                }
            }
        } catch (final WireTrouble e) {
            throw new DiskTrouble("voter rows cannot be read", e);
        }
        sealed = voters == null ? 0 : voters.item().ver().n();
        if (!full) {
            slots.clear();
            digest = new Digest();
        }
        return voters;
    }

    boolean full() {
        return full;
    }

    /** The disk was there at the network's first start. */
    boolean first() {
        return first;
    }

    /** Whether every vote that this machine has given and that still counts is remembered, or none was given. */
    boolean continuous() {
        return full || standby || first;
    }

    /** The last epoch in which this memory took part in votes. */
    long epoch() {
        return epoch;
    }

    /** The epoch of the latest chosen set that is synced here: all earlier epochs are sealed. */
    long sealed() {
        return sealed;
    }

    long floor() {
        return floor;
    }

    long lives() {
        return lives;
    }

    Map<NodeId, String> founders() {
        return founders;
    }

    Digest digest() {
        return digest;
    }

    Map<ItemId, Msg.Slot> slots() {
        return slots;
    }

    Msg.Slot slot(final ItemId id) {
        return slots.getOrDefault(id, new Msg.Slot(Ballot.ZERO, Ballot.ZERO, Item.none(id)));
    }

    /** The lowest ballot that a prepare must exceed here. */
    Ballot high(final Msg.Slot s) {
        final Ballot low = new Ballot(floor, "~");
        return s.promised().above(low) ? s.promised() : low;
    }

    void put(final Msg.Slot slot) {
        final Msg.Slot old = slots.put(slot.item().id(), slot);
        digest.swap(old == null ? null : old.item(), slot.item());
    }

    /** Takes the higher promise and the value of the higher ballot. */
    void merge(final Msg.Slot s) {
        final Msg.Slot old = slot(s.item().id());
        final Msg.Slot best = s.at().above(old.at()) ? s : old;
        final Ballot promised = s.promised().above(old.promised()) ? s.promised() : old.promised();
        put(new Msg.Slot(promised, best.at(), best.item()));
    }

    /** What another memory says beside its registers. */
    void adopt(final Map<NodeId, String> names, final long least, final long resumed) {
        founders = Map.copyOf(names);
        floor = Math.max(floor, least);
        lives = Math.max(lives, resumed);
    }

    void found(final Map<NodeId, String> names) {
        founders = Map.copyOf(names);
    }

    void resume() {
        lives++;
    }

    /** Above all that was promised or accepted here. */
    long top() {
        return slots.values().stream()
                .mapToLong(s -> Math.max(s.promised().round(), s.at().round()))
                .reduce(floor, Math::max);
    }

    void raise(final long least) {
        floor = Math.max(floor, least);
    }

    /** From now on votes in this epoch are remembered. */
    void activate(final long present) {
        epoch = Math.max(epoch, present);
        full = true;
    }

    /** Registers that are dropped; the floor keeps what was promised for them from coming back. */
    void drop(final Collection<Msg.Slot> dead) {
        final Map<String, byte[]> rows = new HashMap<>();
        dead.forEach(s -> {
            floor = Math.max(floor, Math.max(s.promised().round(), s.at().round()));
            slots.remove(s.item().id());
            digest.swap(s.item(), Item.none(s.item().id()));
            rows.put(ROW + s.item().id().text(), null);
        });
        rows.putAll(seal(epoch));
        disk.save(rows, ok -> {});
    }

    private Map<String, byte[]> seal(final long in) {
        return Map.of(SEAL, Wire.pack(new Seal(founders, floor, lives, in)));
    }

    private static void pack(final Collection<Msg.Slot> list, final Map<String, byte[]> rows) {
        list.forEach(s -> rows.put(ROW + s.item().id().text(), Wire.pack(s)));
    }

    void save(final Msg.Slot slot, final Runnable then) {
        final Map<String, byte[]> rows = new HashMap<>();
        pack(List.of(slot), rows);
        save(rows, then, () -> {});
    }

    void saveSeal(final Runnable then) {
        save(seal(epoch), then, () -> {});
    }

    /** All registers, the seal of {@code in} and what comes along, in one transaction. */
    void saveAll(final long in, final Map<String, byte[]> along, final Runnable then, final Runnable otherwise) {
        final Map<String, byte[]> rows = new HashMap<>(along);
        pack(new ArrayList<>(slots.values()), rows);
        rows.putAll(seal(in));
        save(rows, then, otherwise);
    }

    void saveFirst() {
        first = true;
        disk.save(Map.of(FIRST, new byte[0]), ok -> {});
    }

    /** {@code then}: once it is synced that this machine has no lost vote of an epoch after {@code present}. */
    void saveStandby(final long present, final Runnable then) {
        if (full || standby) {
            then.run();
            return;
        }
        save(
                Map.of(STANDBY, Wire.pack(new Standby(present))),
                () -> {
                    standby = true;
                    then.run();
                },
                () -> {});
    }

    /** Seals all epochs before the one of this chosen set. */
    void saveVoters(final Msg.Chosen set, final Runnable then, final Runnable otherwise) {
        save(
                Map.of(VOTERS, Wire.pack(set)),
                () -> {
                    sealed = Math.max(sealed, set.item().ver().n());
                    then.run();
                },
                otherwise);
    }

    private void save(final Map<String, byte[]> rows, final Runnable then, final Runnable otherwise) {
        disk.save(rows, ok -> {
            if (ok) {
                failed = false;
                then.run();
                return;
            }
            if (!failed) {
                failed = true;
                journal.add(Event.of(Code.DISK_SLOW, "rows", rows.size()));
            }
            otherwise.run();
        });
    }

    boolean stuck() {
        return disk.stuck();
    }

    /** Sums by cell over the accepted values and their ballots, so that two memories find where they differ. */
    List<Long> sums() {
        final long[] sums = new long[Digest.CELLS];
        slots.values().stream()
                .filter(s -> s.at().round() > 0)
                .forEach(s -> sums[Digest.cell(s.item().id())] ^= Hash.mix(
                        s.item().id().text() + "@" + s.item().ver().n() + "@" + s.at().round() + "@" + s.at().node()));
        final List<Long> list = new ArrayList<>();
        for (final long s : sums) {
            list.add(s);
        }
        return list;
    }
}
