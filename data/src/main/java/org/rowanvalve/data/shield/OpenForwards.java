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
 * The requests of edges that this shield has not answered, and those that were taken back before they came: a message may
 * overtake another on a connection of its own. What was taken back is remembered for a while, and for a bounded number of
 * requests; one that comes later than that is bounded by its own time-out only.
 */
final class OpenForwards {
    /** Requests that were taken back and are remembered; at some 100 bytes each. */
    static final int MAX_REMEMBERED = 4096;
    /** Longer than a request and its cancel are apart on two connections, of which one is given up for silence. */
    static final long REMEMBERED_MS = 10_000;

    /** Connections that ended and are remembered, for requests whose handling is put off meanwhile. */
    private static final int MAX_ENDED_CONNECTIONS = 256;

    private final Map<Id, Open> open = new HashMap<>();
    private final LinkedHashSet<Long> endedConnections = new LinkedHashSet<>();
    private final LinkedHashMap<Id, Early> early = new LinkedHashMap<>();

    /** One request: serials are counted from each start of an edge. */
    record Id(NodeId edge, String incarnation, long serial) {}

    private record Open(Cancellation cancellation, long connectionId) {}

    private record Early(CancelCause cause, long at) {}

    /**
     * A request that came on this connection; {@code cancellation} is requested at once if it was taken back before.
     */
    void open(final Id id, final Cancellation cancellation, final long connectionId, final long now) {
        final Early cancelled = early.remove(id);
        if (cancelled != null && now - cancelled.at() < REMEMBERED_MS) {
            cancellation.request(cancelled.cause());
        } else if (endedConnections.contains(connectionId)) {
            cancellation.request(CancelCause.EDGE_DISCONNECTED);
        }
        open.put(id, new Open(cancellation, connectionId));
    }

    boolean isOpen(final Id id) {
        return open.containsKey(id);
    }

    void forEach(final BiConsumer<Id, Cancellation> action) {
        open.forEach((id, known) -> action.accept(id, known.cancellation()));
    }

    /** The request is answered. */
    void close(final Id id) {
        open.remove(id);
    }

    void cancel(final Id id, final CancelCause cause, final long now) {
        final Open known = open.get(id);
        if (known != null) {
            known.cancellation().request(cause);
            return;
        }
        early.put(id, new Early(cause, now));
        forgetOld(now);
    }

    private void forgetOld(final long now) {
        final Iterator<Early> eldest = early.values().iterator();
        while (eldest.hasNext()) {
            final boolean old = now - eldest.next().at() >= REMEMBERED_MS;
            if (!old && early.size() <= MAX_REMEMBERED) {
                return;
            }
            eldest.remove();
        }
    }

    /** Requests that came on this connection can no longer be answered. */
    void cancelAll(final long connectionId) {
        endedConnections.add(connectionId);
        if (endedConnections.size() > MAX_ENDED_CONNECTIONS) {
            endedConnections.remove(endedConnections.iterator().next());
        }
        final List<Open> lost = open.values().stream()
                .filter(known -> known.connectionId() == connectionId)
                .toList();
        lost.forEach(known -> known.cancellation().request(CancelCause.EDGE_DISCONNECTED));
    }

    int size() {
        return open.size();
    }

    int rememberedCount() {
        return early.size();
    }
}
