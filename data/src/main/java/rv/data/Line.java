package rv.data;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

/** Requests that wait for a free slot at any origin of their service: the higher rank first, then the earlier. */
final class Line {
    private static final int ROOM = 256;
    private final Map<String, PriorityQueue<Place>> lines = new HashMap<>();
    private long serial;

    /** {@code go} is run once when the turn has come. */
    record Place(int rank, long seq, Runnable go) {
    }

    /** How many go before one of this rank. */
    int ahead(final String service, final int rank) {
        final PriorityQueue<Place> q = lines.get(service);
        return q == null ? 0 : (int) q.stream().filter(p -> p.rank() <= rank).count();
    }

    boolean full(final String service) {
        return lines.containsKey(service) && lines.get(service).size() >= ROOM;
    }

    Place add(final String service, final int rank, final Runnable go) {
        final Place p = new Place(rank, ++serial, go);
        lines.computeIfAbsent(service, k -> new PriorityQueue<>(Comparator.comparingInt(Place::rank).thenComparingLong(Place::seq))).add(p);
        return p;
    }

    boolean drop(final String service, final Place p) {
        return lines.containsKey(service) && lines.get(service).remove(p);
    }

    Place next(final String service) {
        final PriorityQueue<Place> q = lines.get(service);
        return q == null ? null : q.poll();
    }

    boolean any(final String service) {
        return lines.containsKey(service) && !lines.get(service).isEmpty();
    }

    int size() {
        return lines.values().stream().mapToInt(PriorityQueue::size).sum();
    }
}
