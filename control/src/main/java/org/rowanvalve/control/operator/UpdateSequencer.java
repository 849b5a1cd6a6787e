package org.rowanvalve.control.operator;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.UpdateVerdict;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.control.consensus.Proposer;
import org.rowanvalve.control.operator.UpdateLedger.Judgement;
import org.rowanvalve.control.store.ItemStore;

/**
 * Records updates in the ledger, several in one write, and then writes their items. Any node may do so at any time: the
 * ballots of the ledger's register decide between concurrent writers, and an item is only ever written as the ledger
 * prescribes.
 */
final class UpdateSequencer {
    private static final long WRITE_TIMEOUT_MILLIS = 2500;
    /** Time after which an update that is still incomplete is completed by another node. */
    private static final long TAKEOVER_MS = 500;

    private static final long RANK_DELAY_MS = 250;
    private static final long ROUND_MS = 250;
    private static final long PROGRESS_CHECK_MS = 50;
    /** If the ledger is longer than this, bodies that have been written are removed from it by a separate write. */
    private static final int LARGE_LEDGER_CHARS = 8192;

    private final EventLoop loop;
    private final ItemStore items;
    private final Proposer proposer;
    private final Supplier<String> writeIds;
    private final List<PendingUpdate> queue = new ArrayList<>();
    private final ItemWriter writer;
    private final BooleanSupplier viewIsFresh;
    private final Predicate<ItemId> settled;
    private final long maxConfigurationBytes;
    private boolean writing;
    private boolean cleanUpDue;
    private long ledgerVersion;
    private long ledgerLearnedAt;
    private long progressAt;
    private int unwrittenCount;
    private UpdateLedger ledger = UpdateLedger.EMPTY;

    private static final class PendingUpdate {
        private final ConfigurationUpdate update;
        private final Consumer<Judgement> callback;
        /** Whether the ledger that this node proposed last records the update. */
        private boolean recordedHere;
        /** Whether the update was left out of that ledger because the configuration would become too large. */
        private boolean exceedsLimit;

        PendingUpdate(final ConfigurationUpdate update, final Consumer<Judgement> callback) {
            this.update = update;
            this.callback = callback;
        }

        ConfigurationUpdate update() {
            return update;
        }

        Consumer<Judgement> callback() {
            return callback;
        }
    }

    /**
     * {@code viewIsFresh}: whether this node's view is confirmed; without a confirmed view nothing new is recorded.
     * {@code settled}: the items that every confirmed view contains in the version known here, so that the ledger need
     * not contain them. {@code maxConfigurationBytes}: an update that makes the configuration grow beyond this size is
     * rejected.
     */
    UpdateSequencer(
            final EventLoop loop,
            final ItemStore items,
            final Proposer proposer,
            final Supplier<String> writeIds,
            final BooleanSupplier viewIsFresh,
            final Predicate<ItemId> settled,
            final long maxConfigurationBytes) {
        this.loop = loop;
        this.items = items;
        this.proposer = proposer;
        this.writeIds = writeIds;
        this.viewIsFresh = viewIsFresh;
        this.settled = settled;
        this.maxConfigurationBytes = maxConfigurationBytes;
        this.writer = new ItemWriter(items, proposer, writeIds);
    }

    /**
     * From now on this node completes updates that other nodes have left incomplete; {@code rank} staggers the nodes in
     * time.
     */
    void start(final int rank) {
        loop.scheduleRepeatedly(ROUND_MS, () -> finishOpenUpdates(TAKEOVER_MS + rank * RANK_DELAY_MS));
    }

    /**
     * Calls back with {@link UpdateVerdict#TAKEN} once every item of the update is chosen, and never with {@link
     * UpdateVerdict#NEW}.
     */
    void submit(final ConfigurationUpdate update, final Consumer<Judgement> callback) {
        queue.add(new PendingUpdate(update, callback));
        writeNextBatch();
    }

    /** Whether this node knows that the ledger records the whole update. */
    boolean isRecorded(final ConfigurationUpdate update) {
        return learnedLedger().judge(update, items).verdict() == UpdateVerdict.TAKEN;
    }

    private void writeNextBatch() {
        if (writing || queue.isEmpty() && !cleanUpDue) {
            return;
        }
        writing = true;
        cleanUpDue = false;
        final List<PendingUpdate> batch = List.copyOf(queue);
        queue.clear();
        final String writeId = writeIds.get();
        proposer.propose(
                ItemId.LEDGER,
                writeId,
                WRITE_TIMEOUT_MILLIS,
                current -> Optional.of(nextLedger(current, batch, writeId)),
                result -> {
                    writing = false;
                    if (result.isAccepted()) {
                        final UpdateLedger chosen = UpdateLedger.of(result.item());
                        batch.forEach(pendingUpdate -> decide(chosen, pendingUpdate));
                        scheduleCleanUp(result.item());
                    } else {
                        batch.forEach(pendingUpdate ->
                                pendingUpdate.callback().accept(Judgement.of(UpdateVerdict.UNDECIDED)));
                    }
                    writeNextBatch();
                });
    }

    /**
     * The ledger with each update of the batch that can be recorded, or the current value itself if there is none. An
     * update that does not fit yet has to wait until its client retries: a value that is too large for a message could
     * be chosen and never read again.
     */
    private Item nextLedger(final Item current, final List<PendingUpdate> batch, final String writeId) {
        final UpdateLedger before = UpdateLedger.of(current);
        UpdateLedger after = batch.isEmpty() ? before.withoutWritten(items::get) : before;
        for (final PendingUpdate pendingUpdate : batch) {
            pendingUpdate.recordedHere = false;
            pendingUpdate.exceedsLimit = false;
            if (viewIsFresh.getAsBoolean()
                    && after.judge(pendingUpdate.update(), items).verdict() == UpdateVerdict.NEW) {
                final UpdateLedger next = after.withoutWritten(items::get)
                        .withUpdate(pendingUpdate.update(), items)
                        .withoutSettled(items::get, settled);
                pendingUpdate.exceedsLimit = exceedsLimit(after, next);
                if (next.fits() && !pendingUpdate.exceedsLimit) {
                    pendingUpdate.recordedHere = true;
                    after = next;
                }
            }
        }
        return after == before
                ? current
                : current.successor(after.withoutWritten(items::get).toJson(), writeId);
    }

    /**
     * An update that does not make the configuration larger is always allowed, so that a full configuration can be
     * reduced.
     */
    private boolean exceedsLimit(final UpdateLedger before, final UpdateLedger after) {
        final long growth = unwrittenGrowth(after);
        return growth > unwrittenGrowth(before) && items.configurationBytes() + growth > maxConfigurationBytes;
    }

    /** By how many bytes the configuration grows once everything that the ledger leaves unwritten is written. */
    private long unwrittenGrowth(final UpdateLedger value) {
        return value.unwritten(items::get).entrySet().stream()
                .mapToLong(entry -> growth(items.get(entry.getKey()), entry.getValue()))
                .sum();
    }

    private static long growth(final Item current, final ConfigurationUpdate.ItemUpdate itemUpdate) {
        return itemUpdate.appliedTo(current, "").approximateBytes()
                - (current.version().number() > 0 ? current.approximateBytes() : 0);
    }

    /**
     * Uses the value that a majority has accepted, so that no verdict depends on a value that may still be replaced.
     */
    private void decide(final UpdateLedger chosen, final PendingUpdate pendingUpdate) {
        final Judgement judgement = chosen.judge(pendingUpdate.update(), items);
        switch (judgement.verdict()) {
            case TAKEN ->
                writeItems(
                        chosen,
                        pendingUpdate.update().updates().keySet(),
                        pendingUpdate.recordedHere,
                        ok -> pendingUpdate
                                .callback()
                                .accept(Judgement.of(ok ? UpdateVerdict.TAKEN : UpdateVerdict.UNDECIDED)));
            case NEW ->
                pendingUpdate
                        .callback()
                        .accept(Judgement.of(
                                pendingUpdate.exceedsLimit
                                        ? UpdateVerdict.CONFIGURATION_FULL
                                        : UpdateVerdict.UNDECIDED));
            default -> pendingUpdate.callback().accept(judgement);
        }
    }

    /**
     * Calls back with true once each of these items is chosen as the ledger prescribes. A large number of items that
     * another node is writing is left to that node as long as it makes progress, since two nodes that write the same
     * items delay each other.
     */
    private void writeItems(
            final UpdateLedger chosen,
            final Collection<ItemId> ids,
            final boolean recordedHere,
            final Consumer<Boolean> callback) {
        final Map<ItemId, ConfigurationUpdate.ItemUpdate> unwritten = chosen.unwritten(items::get);
        unwritten.keySet().retainAll(ids);
        if (recordedHere || unwritten.size() <= ItemWriter.MAX_CONCURRENT_WRITES || !isProgressing(TAKEOVER_MS)) {
            writer.write(unwritten, callback);
        } else {
            loop.schedule(PROGRESS_CHECK_MS, () -> writeItems(chosen, ids, false, callback));
        }
    }

    /**
     * Whether this node has learned the ledger, or an item that the ledger leaves unwritten, less than {@code
     * timeoutMs} ago.
     */
    private boolean isProgressing(final long timeoutMs) {
        final int unwritten = learnedLedger().unwritten(items::get).size();
        if (unwritten < unwrittenCount) {
            progressAt = loop.now();
        }
        unwrittenCount = unwritten;
        return loop.now() - Math.max(progressAt, ledgerLearnedAt) < timeoutMs;
    }

    /** The ledger as this node has learned it. */
    private UpdateLedger learnedLedger() {
        final Item item = items.get(ItemId.LEDGER);
        if (item.version().number() != ledgerVersion) {
            ledgerVersion = item.version().number();
            ledgerLearnedAt = loop.now();
            ledger = UpdateLedger.of(item);
        }
        return ledger;
    }

    private void finishOpenUpdates(final long timeoutMs) {
        final UpdateLedger current = learnedLedger();
        if (current.openUpdates().isEmpty() || loop.now() - ledgerLearnedAt < timeoutMs) {
            return;
        }
        final Map<ItemId, ConfigurationUpdate.ItemUpdate> unwritten = current.unwritten(items::get);
        if (unwritten.size() > ItemWriter.MAX_CONCURRENT_WRITES && isProgressing(timeoutMs)) {
            return;
        }
        unwritten.keySet().removeIf(writer::isWriting);
        writer.write(unwritten, ok -> {});
    }

    /** Removes large bodies that have been written from the ledger without waiting for the next update. */
    private void scheduleCleanUp(final Item chosen) {
        if (chosen.body().length() > LARGE_LEDGER_CHARS) {
            loop.schedule(TAKEOVER_MS, () -> {
                final UpdateLedger current = learnedLedger();
                cleanUpDue = current.withoutWritten(items::get) != current;
                writeNextBatch();
            });
        }
    }
}
