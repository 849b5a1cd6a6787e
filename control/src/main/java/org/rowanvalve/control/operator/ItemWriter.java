package org.rowanvalve.control.operator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.control.consensus.Proposer;
import org.rowanvalve.control.operator.ConfigurationUpdate.ItemUpdate;
import org.rowanvalve.control.store.ItemStore;

/**
 * Writes the registers of items as the ledger prescribes. The number of concurrent writes is bounded, whatever the size
 * of an update, so that voters can confirm views, renew leases and answer reads between the writes, and so that each
 * write ends well within its time-out.
 */
final class ItemWriter {
    /** Enough to fill a round trip between regions if each route takes 3 ms. */
    static final int MAX_CONCURRENT_WRITES = 128;

    private static final long WRITE_TIMEOUT_MILLIS = 2500;

    private final ItemStore items;
    private final Proposer proposer;
    private final Supplier<String> writeIds;
    private final Map<ItemId, Write> writes = new HashMap<>();
    private final Deque<Write> queue = new ArrayDeque<>();
    private int inFlight;

    /** A queued or in-flight write of one item. */
    private record Write(ItemId id, ItemUpdate itemUpdate, List<Consumer<Boolean>> waiters) {}

    ItemWriter(final ItemStore items, final Proposer proposer, final Supplier<String> writeIds) {
        this.items = items;
        this.proposer = proposer;
        this.writeIds = writeIds;
    }

    boolean isWriting(final ItemId id) {
        return writes.containsKey(id);
    }

    /** Calls back with whether every item is chosen in the given version or a higher one. */
    void write(final Map<ItemId, ItemUpdate> itemUpdates, final Consumer<Boolean> callback) {
        if (itemUpdates.isEmpty()) {
            callback.accept(true);
            return;
        }
        final int[] remaining = {itemUpdates.size()};
        final boolean[] allWritten = {true};
        itemUpdates.forEach((id, itemUpdate) -> enqueue(id, itemUpdate, written -> {
            allWritten[0] &= written;
            if (--remaining[0] == 0) {
                callback.accept(allWritten[0]);
            }
        }));
        startNext();
    }

    private void enqueue(final ItemId id, final ItemUpdate itemUpdate, final Consumer<Boolean> callback) {
        final Write pending = writes.get(id);
        if (pending != null
                && !itemUpdate.version().isAbove(pending.itemUpdate().version())) {
            pending.waiters().add(callback);
            return;
        }
        final Write write = new Write(id, itemUpdate, new ArrayList<>(List.of(callback)));
        writes.put(id, write);
        queue.add(write);
    }

    private void startNext() {
        while (inFlight < MAX_CONCURRENT_WRITES && !queue.isEmpty()) {
            start(queue.poll());
        }
    }

    private void start(final Write write) {
        if (items.knows(write.id(), write.itemUpdate().version())) {
            finish(write, true);
            return;
        }
        inFlight++;
        final String writeId = writeIds.get();
        proposer.propose(
                write.id(),
                writeId,
                WRITE_TIMEOUT_MILLIS,
                current -> Optional.of(write.itemUpdate().appliedTo(current, writeId)),
                result -> {
                    inFlight--;
                    finish(write, result.isAccepted());
                    startNext();
                });
    }

    private void finish(final Write write, final boolean written) {
        writes.remove(write.id(), write);
        write.waiters().forEach(waiter -> waiter.accept(written));
    }
}
