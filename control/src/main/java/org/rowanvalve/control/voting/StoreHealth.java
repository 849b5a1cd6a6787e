package org.rowanvalve.control.voting;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;

/**
 * Tracks which stores respond. A write waits until every store has synced it, except for stores that have been silent
 * for {@link #SILENCE_TIMEOUT_MILLIS}.
 */
public final class StoreHealth {
    public static final long SILENCE_TIMEOUT_MILLIS = 400;
    private final Set<NodeId> stores;
    private final EventJournal journal;
    private final EventLoop loop;
    private final Set<NodeId> silentStores = new TreeSet<>();
    private final Map<NodeId, Long> firstMissedAt = new HashMap<>();
    private final Map<NodeId, Long> lastHeardAt = new HashMap<>();

    public StoreHealth(final Quorum quorum, final EventLoop loop, final EventJournal journal) {
        this.loop = loop;
        this.stores = quorum.stores();
        this.journal = journal;
    }

    /**
     * Whether every store is either in {@code synced} or marked as silent. Marks stores as silent that are not in
     * {@code synced} and have been waited for or have missed messages for {@link #SILENCE_TIMEOUT_MILLIS};
     * {@code waited} is the time in ms since the request was sent.
     */
    public boolean allReachableSynced(final Set<NodeId> synced, final long waited) {
        stores.stream()
                .filter(store -> !synced.contains(store)
                        && (waited >= SILENCE_TIMEOUT_MILLIS
                                || loop.now() - firstMissedAt.getOrDefault(store, loop.now())
                                        >= SILENCE_TIMEOUT_MILLIS))
                .forEach(this::markSilent);
        return stores.stream().allMatch(store -> synced.contains(store) || silentStores.contains(store));
    }

    /** Marks a store as silent: it has reported that its disk is unavailable, or this node has waited too long. */
    public void markSilent(final NodeId store) {
        if (stores.contains(store) && silentStores.add(store)) {
            journal.add(Event.of(EventCode.STORE_SILENT, "store", store.text()));
        }
    }

    /** Records that a message, such as a heartbeat, sent at {@code at} was not answered. */
    public void recordMissed(final NodeId from, final long at) {
        if (lastHeardAt.getOrDefault(from, Long.MIN_VALUE) < at) {
            firstMissedAt.putIfAbsent(from, at);
        }
    }

    /** Records that a message was received from this node. */
    public void recordContact(final NodeId from) {
        firstMissedAt.remove(from);
        lastHeardAt.put(from, loop.now());
    }

    /** Records that the store has synced a write of this node; the store is no longer silent. */
    public void recordSync(final NodeId from) {
        recordContact(from);
        if (silentStores.remove(from)) {
            journal.add(Event.of(EventCode.STORE_HEARD, "store", from.text()));
        }
    }

    public boolean isStore(final NodeId id) {
        return stores.contains(id);
    }

    /** The stores that writes do not wait for. */
    public Set<NodeId> silentStores() {
        return Set.copyOf(silentStores);
    }
}
