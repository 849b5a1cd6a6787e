package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;

/**
 * Finishes what a vanished writer began: values accepted here that nobody has called chosen. What a start finds on its
 * disk is finished at once, by the first of the voters that is there, since after a loss of all power nobody else can.
 * A bounded number of items is read at a time, each once, so that recovery leaves room for the authority's own writes.
 */
public final class WriteRecovery {
    /** So many items are read at the same time. */
    static final int MOST = 64;

    private static final long EACH = 50;
    private static final long READ = 700;
    /** For so long after the start, items found on the disk are finished sooner than others. */
    private static final long YOUNG = 4000;

    private static final long TURN = 250;
    /** Without these the control plane stands still, so they are finished first. */
    private static final Set<Kind> URGENT = Set.of(Kind.TENURE, Kind.PLAN, Kind.VOTERS);

    private final BooleanSupplier votes;
    private final Supplier<Map<ItemId, Msg.Slot>> slots;
    private final ItemStore held;
    private final Reader reader;
    private final Loop loop;
    private final Random dice;
    private final IntSupplier rank;
    private final Map<ItemId, Long> due = new HashMap<>();
    private final Set<ItemId> found = new HashSet<>();
    private final Set<ItemId> reading = new HashSet<>();
    private long born;

    /** Reads a register, which has its value chosen. */
    @FunctionalInterface
    interface Reader {
        void read(ItemId id, Runnable done);
    }

    /** {@code rank}: this voter's place among all. */
    public WriteRecovery(
            final Voter voter,
            final ItemStore held,
            final Writer writer,
            final Loop loop,
            final Random dice,
            final IntSupplier rank) {
        this(voter::votes, voter::slots, held, (id, done) -> writer.read(id, READ, r -> done.run()), loop, dice, rank);
    }

    WriteRecovery(
            final BooleanSupplier votes,
            final Supplier<Map<ItemId, Msg.Slot>> slots,
            final ItemStore held,
            final Reader reader,
            final Loop loop,
            final Random dice,
            final IntSupplier rank) {
        this.votes = votes;
        this.slots = slots;
        this.held = held;
        this.reader = reader;
        this.loop = loop;
        this.dice = dice;
        this.rank = rank;
    }

    public void start() {
        born = loop.now();
        found.addAll(slots.get().keySet());
        loop.post(this::round);
        loop.every(EACH, this::round);
    }

    private void round() {
        if (votes.getAsBoolean()) {
            next().stream().limit(MOST - reading.size()).forEach(this::read);
        }
    }

    /** The items whose time has come; two voters begin at different ends, so that they do not overtake each other. */
    private List<ItemId> next() {
        final List<ItemId> list = new ArrayList<>();
        slots.get().forEach((id, slot) -> {
            if (!slot.item().ver().above(held.get(id).ver())) {
                due.remove(id);
            } else if (loop.now() >= due.computeIfAbsent(id, this::first) && !reading.contains(id)) {
                list.add(id);
            }
        });
        if (rank.getAsInt() % 2 == 1) {
            Collections.reverse(list);
        }
        list.sort(Comparator.comparing(id -> !URGENT.contains(id.kind())));
        return list;
    }

    private boolean early(final ItemId id) {
        return loop.now() - born < YOUNG && found.contains(id);
    }

    private long first(final ItemId id) {
        return loop.now() + (early(id) ? rank.getAsInt() * TURN : 150 + dice.nextInt(300));
    }

    private void read(final ItemId id) {
        reading.add(id);
        reader.read(id, () -> {
            reading.remove(id);
            due.put(id, loop.now() + (early(id) ? TURN + dice.nextInt(100) : 800));
        });
    }
}
