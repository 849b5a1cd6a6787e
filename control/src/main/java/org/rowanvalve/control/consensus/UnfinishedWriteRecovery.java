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
 * Completes writes whose proposer has failed: values that this voter has accepted and that no node has announced as
 * chosen. Values found on disk at the start are completed at once by the first voter that is up, since no proposer is
 * left after a power failure of all nodes. If the number of unknown values exceeds a threshold, the voters first compare
 * their accepted values, which shows that nearly all of them are chosen; only the rest are read by ballot. The number
 * of concurrent reads is bounded, and a register is not read again while a read of it is open, so that recovery leaves
 * capacity for the leader's own writes.
 */
public final class UnfinishedWriteRecovery {
    static final int MAX_CONCURRENT_READS = 64;

    /** Up to this number of unknown values are read by ballot without a comparison. */
    static final int COMPARISON_THRESHOLD = 16;

    private static final long INTERVAL_MS = 50;
    /** A value is read by ballot after it has been unknown for this time, even if no comparison has examined it. */
    private static final long COMPARISON_TIMEOUT_MILLIS = 2000;

    private static final long READ_TIMEOUT_MILLIS = 700;
    /** For this time after the start, values found on disk are completed sooner than others. */
    private static final long STARTUP_MS = 4000;

    /** Delay per rank before a voter reads values found on disk, so that voters do not read them at the same time. */
    private static final long RANK_DELAY_MS = 250;

    private static final int STARTUP_REREAD_SPREAD_MS = 100;
    /** Delay between two reads of the same register while its value is still unknown. */
    private static final long REREAD_DELAY_MS = 800;

    /** An accepted value that has not been announced is read after this delay plus a random part of the spread. */
    private static final long FIRST_READ_DELAY_MS = 150;

    private static final int FIRST_READ_SPREAD_MS = 300;
    /** Items that the control plane needs in order to work; they are completed first. */
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
    /** Registers that were compared with the other voters and whose value is still not known as chosen. */
    private final Set<ItemId> examined = new HashSet<>();

    private final Map<ItemId, Long> unknownSince = new HashMap<>();
    private final Comparison comparison;
    private final int comparisonThreshold;
    private final RecoveryProgress progress;
    private long startedAt;

    /** Reads a register by ballot; {@code done} gets whether its value became known as chosen within the time-out. */
    @FunctionalInterface
    interface Reader {
        void read(ItemId id, Consumer<Boolean> done);
    }

    /** Compares all accepted values with those of the other voters; see {@link Acceptor#compareAcceptedValues}. */
    @FunctionalInterface
    interface Comparison {
        void run(Consumer<Collection<ItemId>> examined);
    }

    /** {@code rank}: the index of this voter in the voting set. */
    public UnfinishedWriteRecovery(
            final Acceptor acceptor,
            final ItemStore items,
            final Proposer proposer,
            final EventLoop loop,
            final Random random,
            final IntSupplier rank,
            final EventJournal journal) {
        this(acceptor, items, proposer, loop, random, rank, journal, COMPARISON_THRESHOLD);
    }

    /** {@code comparisonThreshold}: up to this number of unknown values are read by ballot without a comparison. */
    UnfinishedWriteRecovery(
            final Acceptor acceptor,
            final ItemStore items,
            final Proposer proposer,
            final EventLoop loop,
            final Random random,
            final IntSupplier rank,
            final EventJournal journal,
            final int comparisonThreshold) {
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
                comparisonThreshold);
    }

    /** {@code unchosen}: the registers whose accepted value is not known as chosen, in the order of their ids. */
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
            final int comparisonThreshold) {
        this.comparisonThreshold = comparisonThreshold;
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

    /** Starts the periodic check for accepted values that are not known as chosen. */
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

    /** Writes in progress do not trigger a comparison: at least one unknown value must be due for recovery. */
    private boolean isComparisonDue(final Set<ItemId> unknown) {
        return unknown.size() > comparisonThreshold
                && !examined.containsAll(unknown)
                && unknown.stream().anyMatch(id -> isStartupRecovery(id) || isDue(id));
    }

    private boolean isDue(final ItemId id) {
        return loop.now() >= dueAt.computeIfAbsent(id, this::firstDueAt);
    }

    /** Returns the registers whose accepted value is not known as chosen, and discards the state of all others. */
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

    /**
     * Returns the items that are due, urgent ones first. Voters of even and odd rank start at opposite ends of the list,
     * so that their ballots do not preempt each other.
     */
    private List<ItemId> dueItems(final Set<ItemId> unknown) {
        final List<ItemId> due = new ArrayList<>(unknown.stream()
                .filter(id -> unknown.size() <= comparisonThreshold || mayBeRead(id))
                .filter(id -> isDue(id) && !reading.contains(id))
                .toList());
        if (rank.getAsInt() % 2 == 1) {
            Collections.reverse(due);
        }
        due.sort(Comparator.comparing(id -> !URGENT.contains(id.kind())));
        return due;
    }

    private boolean mayBeRead(final ItemId id) {
        return URGENT.contains(id.kind())
                || examined.contains(id)
                || loop.now() - unknownSince.get(id) >= COMPARISON_TIMEOUT_MILLIS;
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

    /**
     * A register whose value has become known is not scheduled again: a later value may belong to a write that is still
     * in progress.
     */
    private void scheduleNextRead(final ItemId id) {
        if (unknownSince.containsKey(id)) {
            dueAt.put(
                    id,
                    loop.now()
                            + (isStartupRecovery(id)
                                    ? RANK_DELAY_MS + random.nextInt(STARTUP_REREAD_SPREAD_MS)
                                    : REREAD_DELAY_MS));
        }
    }
}
