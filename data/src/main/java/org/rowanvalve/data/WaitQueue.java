package org.rowanvalve.data;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/** Requests that wait for a free slot at any origin of their service: the higher rank first, then the earlier. */
final class WaitQueue {
    private static final int ROOM = 256;
    private final Map<String, PriorityQueue<Place>> lines = new HashMap<>();
    private long serial;

    /** {@code fits}: whether it could go now; {@code go} is run once when the turn has come. */
    record Place(int rank, long seq, BooleanSupplier fits, Runnable go) {}

    /** How many go before one of this rank. */
    int ahead(final String service, final int rank) {
        final PriorityQueue<Place> q = lines.get(service);
        return q == null ? 0 : (int) q.stream().filter(p -> p.rank() <= rank).count();
    }

    boolean full(final String service) {
        return lines.containsKey(service) && lines.get(service).size() >= ROOM;
    }

    Place add(final String service, final int rank, final BooleanSupplier fits, final Runnable go) {
        final Place p = new Place(rank, ++serial, fits, go);
        lines.computeIfAbsent(
                        service,
                        k -> new PriorityQueue<>(
                                Comparator.comparingInt(Place::rank).thenComparingLong(Place::seq)))
                .add(p);
        return p;
    }

    boolean drop(final String service, final Place p) {
        return lines.containsKey(service) && lines.get(service).remove(p);
    }

    /** The first in turn that could go now, or null; who could not keeps its place. */
    Place next(final String service) {
        final PriorityQueue<Place> q = lines.get(service);
        final List<Place> kept = new ArrayList<>();
        Place p = q == null ? null : q.poll();
        while (p != null && !p.fits().getAsBoolean()) {
            kept.add(p);
            p = q.poll();
        }
        if (q != null) {
            q.addAll(kept);
        }
        return p;
    }

    int size() {
        return lines.values().stream().mapToInt(PriorityQueue::size).sum();
    }
}
