package org.rowanvalve.control.consensus;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.Register;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.control.store.ItemStore;

/**
 * Completes writes whose proposer has gone: values accepted here that nobody has announced as chosen. Values found on
 * the disk at a start are completed at once, by the first voter that is up, since after a loss of all power no proposer
 * is left. Where there are more than a few, the voters first compare what they have accepted, which tells of nearly all
 * values that they are chosen; only what is left after that is read by ballot. A bounded number of items is read at a
 * time, each once, so that recovery leaves room for the leader's own writes.
 */
public final class UnfinishedWriteRecovery {
    /** Upper bound of items that are read at the same time. */
    static final int MAX_CONCURRENT_READS = 64;

    /** Up to so many unknown values are read by ballot without a comparison. */
    static final int FEW_VALUES = 16;

    private static final long INTERVAL_MS = 50;
    /** A value that no comparison has examined for this time is read by ballot. */
    private static final long COMPARISON_PATIENCE_MS = 2000;

    private static final long READ_TIMEOUT_MILLIS = 700;
    /** For this time after the start, items found on the disk are completed sooner than others. */
    private static final long STARTUP_MS = 4000;

    private static final long RANK_DELAY_MS = 250;
    /** From the end of a read to the next one of the same register, where its value is still unknown. */
    private static final long REREAD_DELAY_MS = 800;

    /** An accepted value that nobody has announced is read after this time, and up to the spread later. */
    private static final long FIRST_READ_DELAY_MS = 150;

    private static final int FIRST_READ_SPREAD_MS = 300;
    /** The control plane cannot work without these items, so they are completed first. */
    private static final Set<ItemKind> URGENT = Set.of(ItemKind.LEADERSHIP, ItemKind.PLAN, ItemKind.VOTERS);

    private final BooleanSupplier isVoting;
    private final Supplier<Map<ItemId, Register>> registers;
    private final Supplier<? extends Collection<ItemId>> unchosen;
    private final ItemStore items;
    private final Reader reader;
    private final EventLoop loop;
    private final Random random;
    private final IntSupplier rank;
    private final Map<ItemId, Long> dueAt = new HashMap<>();
    private final Set<ItemId> foundOnDisk = new HashSet<>();
    private final Set<ItemId> reading = new HashSet<>();
    /** Found on disk or accepted since, compared with the other voters, and still not known as chosen. */
    private final Set<ItemId> examined = new HashSet<>();

    private final Map<ItemId, Long> unknownSince = new HashMap<>();
    private final Comparison comparison;
    private final int fewValues;
    private final RecoveryProgress progress;
    private long startedAt;

    /** Reads a register, which has its value chosen; {@code done} gets whether that is known in time. */
    @FunctionalInterface
    interface Reader {
        void read(ItemId id, Consumer<Boolean> done);
    }

    /** Compares all accepted values with the other voters'; see {@link Acceptor#compareAcceptedValues}. */
    @FunctionalInterface
    interface Comparison {
        void run(Consumer<Collection<ItemId>> examined);
    }

    /** {@code rank}: this voter's place among all. */
    public UnfinishedWriteRecovery(
            final Acceptor acceptor,
            final ItemStore items,
            final Proposer proposer,
            final EventLoop loop,
            final Random random,
            final IntSupplier rank,
            final EventJournal journal) {
        this(acceptor, items, proposer, loop, random, rank, journal, FEW_VALUES);
    }

    /** {@code fewValues}: how many unknown values are read by ballot without a comparison. */
    UnfinishedWriteRecovery(
            final Acceptor acceptor,
            final ItemStore items,
            final Proposer proposer,
            final EventLoop loop,
            final Random random,
            final IntSupplier rank,
            final EventJournal journal,
            final int fewValues) {
        this(
                acceptor::isVoting,
                acceptor::registers,
                new UnchosenValues(acceptor, items)::ids,
                items,
                (id, done) -> proposer.read(id, READ_TIMEOUT_MILLIS, result -> done.accept(result.isAccepted())),
                examined -> acceptor.compareAcceptedValues(items::merge, examined),
                loop,
                random,
                rank,
                journal,
                fewValues);
    }

    /** {@code unchosen}: the registers whose accepted value is not known as chosen, in the order of their names. */
    UnfinishedWriteRecovery(
            final BooleanSupplier isVoting,
            final Supplier<Map<ItemId, Register>> registers,
            final Supplier<? extends Collection<ItemId>> unchosen,
            final ItemStore items,
            final Reader reader,
            final Comparison comparison,
            final EventLoop loop,
            final Random random,
            final IntSupplier rank,
            final EventJournal journal,
            final int fewValues) {
        this.fewValues = fewValues;
        this.isVoting = isVoting;
        this.registers = registers;
        this.unchosen = unchosen;
        this.items = items;
        this.reader = reader;
        this.comparison = comparison;
        this.loop = loop;
        this.random = random;
        this.rank = rank;
        this.progress = new RecoveryProgress(loop, journal);
    }

    /** Begins to look for accepted values that are not known as chosen. */
    public void start() {
        startedAt = loop.now();
        foundOnDisk.addAll(registers.get().keySet());
        progress.start(registers, items, foundOnDisk);
        loop.execute(this::recover);
        loop.scheduleRepeatedly(INTERVAL_MS, this::recover);
    }

    private void recover() {
        if (!isVoting.getAsBoolean()) {
            return;
        }
        final Set<ItemId> unknown = unknownItems();
        if (isComparisonDue(unknown)) {
            comparison.run(examined::addAll);
        }
        dueItems(unknown).stream().limit(MAX_CONCURRENT_READS - reading.size()).forEach(this::read);
    }

    /** Writes that are merely under way are no reason to compare. */
    private boolean isComparisonDue(final Set<ItemId> unknown) {
        return unknown.size() > fewValues
                && !examined.containsAll(unknown)
                && unknown.stream().anyMatch(id -> isStartupRecovery(id) || isDue(id));
    }

    private boolean isDue(final ItemId id) {
        return loop.now() >= dueAt.computeIfAbsent(id, this::firstDueAt);
    }

    /** Registers whose accepted value is not known as chosen; what is known of others is forgotten. */
    private Set<ItemId> unknownItems() {
        final Set<ItemId> unknown = new LinkedHashSet<>(unchosen.get());
        unknown.forEach(id -> unknownSince.putIfAbsent(id, loop.now()));
        if (unknownSince.size() > unknown.size()) {
            unknownSince.keySet().retainAll(unknown);
            dueAt.keySet().retainAll(unknown);
            examined.retainAll(unknown);
        }
        return unknown;
    }

    /** The items that are due; two voters begin at different ends, so that they do not overtake each other. */
    private List<ItemId> dueItems(final Set<ItemId> unknown) {
        final List<ItemId> list = new ArrayList<>(unknown.stream()
                .filter(id -> unknown.size() <= fewValues || mayBeRead(id))
                .filter(id -> isDue(id) && !reading.contains(id))
                .toList());
        if (rank.getAsInt() % 2 == 1) {
            Collections.reverse(list);
        }
        list.sort(Comparator.comparing(id -> !URGENT.contains(id.kind())));
        return list;
    }

    private boolean mayBeRead(final ItemId id) {
        return URGENT.contains(id.kind())
                || examined.contains(id)
                || loop.now() - unknownSince.get(id) >= COMPARISON_PATIENCE_MS;
    }

    private boolean isStartupRecovery(final ItemId id) {
        return loop.now() - startedAt < STARTUP_MS && foundOnDisk.contains(id);
    }

    private long firstDueAt(final ItemId id) {
        return loop.now()
                + (isStartupRecovery(id)
                        ? rank.getAsInt() * RANK_DELAY_MS
                        : FIRST_READ_DELAY_MS + random.nextInt(FIRST_READ_SPREAD_MS));
    }

    private void read(final ItemId id) {
        reading.add(id);
        progress.readBegun();
        reader.read(id, known -> {
            reading.remove(id);
            progress.readEnded(known);
            scheduleNextRead(id);
        });
    }

    /** A register that was settled meanwhile has no next read; its next write may merely be under way. */
    private void scheduleNextRead(final ItemId id) {
        if (unknownSince.containsKey(id)) {
            dueAt.put(id, loop.now() + (isStartupRecovery(id) ? RANK_DELAY_MS + random.nextInt(100) : REREAD_DELAY_MS));
        }
    }
}
