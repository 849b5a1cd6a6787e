package org.rowanvalve.data.origin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/** Requests that wait for a free slot at any origin of their service: the higher priority first, then the earlier. */
final class WaitQueue {
    private static final int CAPACITY = 256;
    private final Map<String, PriorityQueue<Place>> queues = new HashMap<>();
    private long serial;

    /** {@code canGo}: whether it could go now; {@code action} is run once when the turn has come. */
    record Place(int priority, long sequence, BooleanSupplier canGo, Runnable action) {}

    /** How many are served before one of this priority. */
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

    Place add(final String service, final int priority, final BooleanSupplier canGo, final Runnable action) {
        final Place place = new Place(priority, ++serial, canGo, action);
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

    /** The first in turn that could go now, or null; who could not keeps its place. */
    Place next(final String service) {
        final PriorityQueue<Place> queue = queues.get(service);
        final List<Place> skipped = new ArrayList<>();
        Place place = queue == null ? null : queue.poll();
        while (place != null && !place.canGo().getAsBoolean()) {
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
