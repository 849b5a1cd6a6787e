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
 * Which stores are heard from: what is accepted is synced at both, or at one once the other has been silent for a
 * while.
 */
public final class StoreHealth {
    public static final long SILENCE_TIMEOUT_MILLIS = 400;
    private final Set<NodeId> stores;
    private final EventJournal journal;
    private final EventLoop loop;
    private final Set<NodeId> silent = new TreeSet<>();
    private final Map<NodeId, Long> firstMissedAt = new HashMap<>();
    private final Map<NodeId, Long> lastHeardAt = new HashMap<>();

    public StoreHealth(final Quorum quorum, final EventLoop loop, final EventJournal journal) {
        this.loop = loop;
        this.stores = quorum.stores();
        this.journal = journal;
    }

    /** {@code waited}: how long the stores that are not among {@code synced} have been waited for. */
    public boolean allReachableSynced(final Set<NodeId> synced, final long waited) {
        stores.stream()
                .filter(s -> !synced.contains(s)
                        && (waited >= SILENCE_TIMEOUT_MILLIS
                                || loop.now() - firstMissedAt.getOrDefault(s, loop.now()) >= SILENCE_TIMEOUT_MILLIS))
                .forEach(this::markSilent);
        return stores.stream().allMatch(s -> synced.contains(s) || silent.contains(s));
    }

    /** By its own report, or by ours. */
    public void markSilent(final NodeId store) {
        if (stores.contains(store) && silent.add(store)) {
            journal.add(Event.of(EventCode.STORE_SILENT, "store", store.text()));
        }
    }

    /** A message sent at {@code at} was not answered; heartbeats count too. */
    public void recordMissed(final NodeId from, final long at) {
        if (lastHeardAt.getOrDefault(from, Long.MIN_VALUE) < at) {
            firstMissedAt.putIfAbsent(from, at);
        }
    }

    /** Anything was received from this node. */
    public void recordContact(final NodeId from) {
        firstMissedAt.remove(from);
        lastHeardAt.put(from, loop.now());
    }

    /** The store synced something for this node. */
    public void recordSync(final NodeId from) {
        recordContact(from);
        if (silent.remove(from)) {
            journal.add(Event.of(EventCode.STORE_HEARD, "store", from.text()));
        }
    }

    public boolean isStore(final NodeId id) {
        return stores.contains(id);
    }

    /** Stores that are no longer waited for. */
    public Set<NodeId> silent() {
        return Set.copyOf(silent);
    }
}
