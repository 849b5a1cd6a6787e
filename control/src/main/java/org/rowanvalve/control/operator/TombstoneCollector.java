package org.rowanvalve.control.operator;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.control.config.ConfigurationView;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.consensus.Proposer;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.store.CollectionFloor;
import org.rowanvalve.control.store.ItemStore;

/**
 * Collects purges that copies within the present times to live are not older than, and origins that ended long ago. Runs
 * on the leader.
 *
 * <p>That no purged copy is served again does not depend on when a purge is collected: each node discards the copies
 * that it verified before it learned a collected purge ({@link ConfigurationView#purgesKnownSince}). A longer retention
 * only avoids that copies are discarded which could still be served.
 */
public final class TombstoneCollector {
    private static final long WRITE_TIMEOUT_MILLIS = 1000;
    private static final long ROUND_MS = 10_000;
    private static final int MIN_COLLECTED = 20;
    private final EventLoop loop;
    private final ItemStore items;
    private final ConfigurationView configuration;
    private final Proposer proposer;
    private final BooleanSupplier isLeader;

    public TombstoneCollector(
            final EventLoop loop,
            final ItemStore items,
            final ConfigurationView configuration,
            final Proposer proposer,
            final BooleanSupplier isLeader) {
        this.loop = loop;
        this.items = items;
        this.configuration = configuration;
        this.proposer = proposer;
        this.isLeader = isLeader;
    }

    /** Starts the periodic collection, which only the leader carries out. */
    public void start() {
        loop.scheduleRepeatedly(ROUND_MS, this::collect);
    }

    private long ageMs(final Item item) {
        return loop.now() - items.learnedAt(item.id());
    }

    private void collect() {
        if (!isLeader.getAsBoolean()) {
            return;
        }
        final List<Item> allItems = items.all().stream().map(ChosenItem::item).toList();
        final long longestTtlMs = configuration.longestPurgeableTtlMs();
        final CollectionFloor currentFloor = items.collectionFloor();
        final CollectionFloor nextFloor = new CollectionFloor(
                floorOf(
                        allItems,
                        ItemKind.PURGE,
                        currentFloor.purges(),
                        item -> ageMs(item) > longestTtlMs + longestTtlMs / 4 + CollectionFloor.MIN_RETENTION_MS),
                floorOf(allItems, ItemKind.ORIGIN, currentFloor.origins(), this::isExpired));
        if (!nextFloor.equals(currentFloor)) {
            final String writeId = "sweep-" + nextFloor.purges() + "-" + nextFloor.origins() + "-" + loop.now();
            proposer.propose(
                    CollectionFloor.ID,
                    writeId,
                    WRITE_TIMEOUT_MILLIS,
                    current -> {
                        final CollectionFloor floor = CollectionFloor.of(current);
                        return Optional.of(current.successor(
                                Json.write(Map.of(
                                        "purges",
                                        Math.max(floor.purges(), nextFloor.purges()),
                                        "origins",
                                        Math.max(floor.origins(), nextFloor.origins()))),
                                writeId));
                    },
                    result -> {});
        }
    }

    private boolean isExpired(final Item item) {
        final Origin origin = item.exists() ? Json.read(item.body(), Origin.class) : null;
        final long ttlMs = origin == null ? 0 : origin.ttlMs();
        return (origin == null || ttlMs > 0 || origin.draining())
                && ageMs(item) > ttlMs + ttlMs / 4 + CollectionFloor.MIN_RETENTION_MS;
    }

    /**
     * The highest version below every version that must be kept; the current floor if fewer than {@link #MIN_COLLECTED}
     * items would be collected.
     */
    private static long floorOf(
            final List<Item> allItems, final ItemKind kind, final long currentFloor, final Predicate<Item> expired) {
        final List<Item> ofKind =
                allItems.stream().filter(item -> item.id().kind() == kind).toList();
        final long lowestKept = ofKind.stream()
                .filter(expired.negate())
                .mapToLong(item -> item.version().number())
                .min()
                .orElse(Long.MAX_VALUE);
        final List<Item> collected = ofKind.stream()
                .filter(item -> item.version().number() < lowestKept)
                .toList();
        return collected.size() < MIN_COLLECTED
                ? currentFloor
                : collected.stream()
                        .mapToLong(item -> item.version().number())
                        .max()
                        .orElse(currentFloor);
    }
}
