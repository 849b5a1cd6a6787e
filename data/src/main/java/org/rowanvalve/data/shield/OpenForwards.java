package org.rowanvalve.data.shield;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.rowanvalve.common.model.CancelCause;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.data.cancel.Cancellation;

/**
 * The requests of edges that this shield has not answered yet, and the cancels that arrived before their requests. A
 * cancel can overtake its request, because the two may be sent on different connections. Such early cancels are kept
 * for a limited time and up to a limited number; a request that arrives after its cancel was evicted is bounded only by
 * its own time-out.
 */
final class OpenForwards {
    /** The largest number of early cancels kept, at about 100 bytes each. */
    static final int MAX_EARLY_CANCELS = 4096;
    /**
     * Exceeds the longest delay between a request and its cancel on two connections, of which one is closed because its
     * peer is silent.
     */
    static final long EARLY_CANCEL_TTL_MS = 10_000;

    /**
     * The largest number of ended connections kept, for requests that are handled only after their connection has
     * ended.
     */
    private static final int MAX_ENDED_CONNECTIONS = 256;

    private final Map<Id, OpenRequest> open = new HashMap<>();
    private final LinkedHashSet<Long> endedConnections = new LinkedHashSet<>();
    private final LinkedHashMap<Id, EarlyCancel> earlyCancels = new LinkedHashMap<>();

    /** Identifies a request. Serials start anew with each incarnation of an edge. */
    record Id(NodeId edge, String incarnation, long serial) {}

    private record OpenRequest(Cancellation cancellation, long connectionId) {}

    private record EarlyCancel(CancelCause cause, long at) {}

    /**
     * Adds a request that was received on the connection {@code connectionId}. Requests {@code cancellation} at once if
     * the request was already cancelled, or if the connection has ended.
     */
    void open(final Id id, final Cancellation cancellation, final long connectionId, final long now) {
        final EarlyCancel earlyCancel = earlyCancels.remove(id);
        if (earlyCancel != null && now - earlyCancel.at() < EARLY_CANCEL_TTL_MS) {
            cancellation.request(earlyCancel.cause());
        } else if (endedConnections.contains(connectionId)) {
            cancellation.request(CancelCause.EDGE_DISCONNECTED);
        }
        open.put(id, new OpenRequest(cancellation, connectionId));
    }

    boolean isOpen(final Id id) {
        return open.containsKey(id);
    }

    void forEach(final BiConsumer<Id, Cancellation> action) {
        open.forEach((id, openRequest) -> action.accept(id, openRequest.cancellation()));
    }

    /** Removes a request that has been answered. */
    void close(final Id id) {
        open.remove(id);
    }

    void cancel(final Id id, final CancelCause cause, final long now) {
        final OpenRequest openRequest = open.get(id);
        if (openRequest != null) {
            openRequest.cancellation().request(cause);
            return;
        }
        earlyCancels.put(id, new EarlyCancel(cause, now));
        evictEarlyCancels(now);
    }

    private void evictEarlyCancels(final long now) {
        final Iterator<EarlyCancel> eldest = earlyCancels.values().iterator();
        while (eldest.hasNext()) {
            final boolean expired = now - eldest.next().at() >= EARLY_CANCEL_TTL_MS;
            if (!expired && earlyCancels.size() <= MAX_EARLY_CANCELS) {
                return;
            }
            eldest.remove();
        }
    }

    /**
     * Cancels the requests that were received on a connection which has ended, since their responses cannot be sent.
     */
    void cancelAll(final long connectionId) {
        endedConnections.add(connectionId);
        if (endedConnections.size() > MAX_ENDED_CONNECTIONS) {
            endedConnections.remove(endedConnections.iterator().next());
        }
        final List<OpenRequest> unanswerable = open.values().stream()
                .filter(openRequest -> openRequest.connectionId() == connectionId)
                .toList();
        unanswerable.forEach(openRequest -> openRequest.cancellation().request(CancelCause.EDGE_DISCONNECTED));
    }

    int size() {
        return open.size();
    }

    int earlyCancelCount() {
        return earlyCancels.size();
    }
}
