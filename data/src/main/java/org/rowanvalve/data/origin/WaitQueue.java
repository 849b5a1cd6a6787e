package org.rowanvalve.data.origin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/** Requests that wait for a free slot at any origin of their service, ordered by priority and then by arrival. */
final class WaitQueue {
    private static final int CAPACITY = 256;
    private final Map<String, PriorityQueue<Place>> queues = new HashMap<>();
    private long serial;

    /**
     * A queued request.
     *
     * @param canLeave whether the request can leave the queue now
     * @param action run once when the request leaves the queue in its turn
     */
    record Place(int priority, long sequence, BooleanSupplier canLeave, Runnable action) {}

    /** Returns how many queued requests are served before a new one of this priority. */
    int countAhead(final String service, final int priority) {
        final PriorityQueue<Place> queue = queues.get(service);
        return queue == null
                ? 0
                : (int) queue.stream()
                        .filter(place -> place.priority() <= priority)
                        .count();
    }

    boolean isFull(final String service) {
        return queues.containsKey(service) && queues.get(service).size() >= CAPACITY;
    }

    Place add(final String service, final int priority, final BooleanSupplier canLeave, final Runnable action) {
        final Place place = new Place(priority, ++serial, canLeave, action);
        queues.computeIfAbsent(
                        service,
                        k -> new PriorityQueue<>(
                                Comparator.comparingInt(Place::priority).thenComparingLong(Place::sequence)))
                .add(place);
        return place;
    }

    boolean remove(final String service, final Place place) {
        return queues.containsKey(service) && queues.get(service).remove(place);
    }

    /**
     * Removes and returns the first request that can leave now, or null. Requests that cannot leave keep their
     * position.
     */
    Place next(final String service) {
        final PriorityQueue<Place> queue = queues.get(service);
        final List<Place> skipped = new ArrayList<>();
        Place place = queue == null ? null : queue.poll();
        while (place != null && !place.canLeave().getAsBoolean()) {
            skipped.add(place);
            place = queue.poll();
        }
        if (queue != null) {
            queue.addAll(skipped);
        }
        return place;
    }

    int size() {
        return queues.values().stream().mapToInt(PriorityQueue::size).sum();
    }
}
