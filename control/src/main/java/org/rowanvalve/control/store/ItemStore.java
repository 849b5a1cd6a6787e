package org.rowanvalve.control.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.eclipse.collections.api.map.ImmutableMap;
import org.eclipse.collections.api.map.MutableMap;
import org.eclipse.collections.impl.factory.Maps;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.common.runtime.EventLoop;

/** The chosen items that a node has learned. The version of an item never decreases. */
public final class ItemStore {
    private final EventLoop loop;
    private final EventJournal journal;
    private final MutableMap<ItemId, ChosenItem> items = Maps.mutable.empty();
    private final Map<ItemId, Long> learnedAt = new HashMap<>();
    private final List<Consumer<Item>> listeners = new ArrayList<>();
    private final ItemDigest digest = new ItemDigest();
    private final ItemIndex index = new ItemIndex();
    private final Map<ItemKind, Long> highestVersions = new HashMap<>();
    private CollectionFloor collectionFloor = CollectionFloor.NONE;
    private long lastCollectedPurgeLearnedAt = Long.MIN_VALUE;
    private long configurationBytes;

    public ItemStore(final EventLoop loop, final EventJournal journal) {
        this.loop = loop;
        this.journal = journal;
    }

    /** {@code listener} gets each item right after it was learned, in the event loop. */
    public void addListener(final Consumer<Item> listener) {
        listeners.add(listener);
    }

    /** Learns a chosen item. Returns false if the known version is not lower or the item has been garbage collected. */
    public boolean merge(final ChosenItem chosen) {
        final Item item = chosen.item();
        final Item previous = get(item.id());
        if (!item.version().isAbove(previous.version())
                || collectionFloor.covers(item.id(), item.version().number())) {
            return false;
        }
        digest.replace(previous, item);
        if (item.id().kind().isConfiguration()) {
            configurationBytes +=
                    item.approximateBytes() - (previous.version().number() > 0 ? previous.approximateBytes() : 0);
        }
        items.put(item.id(), chosen);
        index.add(item.id());
        learnedAt.put(item.id(), loop.now());
        journal.add(Event.of(
                EventCode.LEARNED,
                "item",
                item.id().text(),
                "ver",
                item.version().number(),
                "gone",
                item.deleted()));
        listeners.forEach(listener -> listener.accept(item));
        highestVersions.merge(item.id().kind(), item.version().number(), Math::max);
        if (item.id().equals(CollectionFloor.ID)) {
            collect(CollectionFloor.of(item));
        }
        return true;
    }

    private void collect(final CollectionFloor floor) {
        collectionFloor = floor;
        final List<Item> collected = items.values().stream()
                .map(ChosenItem::item)
                .filter(item -> collectionFloor.covers(item.id(), item.version().number()))
                .toList();
        for (final Item item : collected) {
            if (item.id().kind() == ItemKind.PURGE) {
                lastCollectedPurgeLearnedAt = Math.max(lastCollectedPurgeLearnedAt, learnedAt(item.id()));
            }
            digest.replace(item, Item.none(item.id()));
            items.remove(item.id());
            index.remove(item.id());
            learnedAt.remove(item.id());
            listeners.forEach(listener -> listener.accept(Item.none(item.id())));
        }
        journal.add(Event.of(
                EventCode.SWEPT, "purges", floor.purges(), "origins", floor.origins(), "dropped", collected.size()));
    }

    public CollectionFloor collectionFloor() {
        return collectionFloor;
    }

    /**
     * The latest time at which this node learned a purge that has been garbage collected since, in ms of its monotonic
     * clock.
     */
    public long lastCollectedPurgeLearnedAt() {
        return lastCollectedPurgeLearnedAt;
    }

    /**
     * The version for a new state of an item. If the items of its kind share a version counter, it is above every
     * version that is known or collected for the kind.
     */
    public Version nextVersion(final Item next) {
        final ItemKind kind = next.id().kind();
        final long lowest = 1 + Math.max(collectionFloor.floor(kind), highestVersions.getOrDefault(kind, 0L));
        return kind.sharesVersionCounter() && lowest > next.version().number() ? new Version(lowest) : next.version();
    }

    /** The chosen item, or an item of version zero if none is known. */
    public Item get(final ItemId id) {
        final ChosenItem chosen = items.get(id);
        return chosen == null ? Item.none(id) : chosen.item();
    }

    /** Whether {@code version} of an item, or a newer one, is known as chosen. */
    public boolean knows(final ItemId id, final Version version) {
        return !version.isAbove(get(id).version());
    }

    /** The approximate size of the stored configuration, in bytes; a deleted item still counts with its name. */
    public long configurationBytes() {
        return configurationBytes;
    }

    public long now() {
        return loop.now();
    }

    /** When this node learned the item's version, in ms of its monotonic clock; 0 if it has none. */
    public long learnedAt(final ItemId id) {
        return learnedAt.getOrDefault(id, 0L);
    }

    public Collection<ChosenItem> all() {
        return items.values();
    }

    public List<ChosenItem> chosenItems(final Collection<ItemId> itemIds) {
        return itemIds.stream()
                .map(items::get)
                .filter(java.util.Objects::nonNull)
                .toList();
    }

    public ImmutableMap<ItemId, ChosenItem> snapshot() {
        return items.toImmutable();
    }

    /** The versions of all items in the given buckets of the digest with {@code bucketCount} buckets. */
    public Map<ItemId, Version> versions(final Collection<Integer> buckets, final int bucketCount) {
        final Map<ItemId, Version> versions = new HashMap<>();
        index.forEach(buckets, bucketCount, id -> versions.put(id, get(id).version()));
        return versions;
    }

    /** The chosen items that satisfy {@code filter}, in the given buckets of the {@code bucketCount} of the digest. */
    public List<ChosenItem> chosenItems(
            final Collection<Integer> buckets, final int bucketCount, final Predicate<Item> filter) {
        final List<ChosenItem> chosenItems = new ArrayList<>();
        index.forEach(buckets, bucketCount, id -> {
            final ChosenItem chosen = items.get(id);
            if (filter.test(chosen.item())) {
                chosenItems.add(chosen);
            }
        });
        return chosenItems;
    }

    public ItemDigest digest() {
        return digest;
    }
}
