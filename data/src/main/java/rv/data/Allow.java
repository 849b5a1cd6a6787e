package rv.data;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** Extra tries to a service: a fifth of this sender's requests plus its part of the small allowance, in 10 s. */
public final class Allow {
    private static final long WINDOW = 10_000;
    private static final double PLUS = 48;
    private final Map<String, ArrayDeque<Long>> first = new HashMap<>();
    private final Map<String, ArrayDeque<Long>> extra = new HashMap<>();

    private static int count(final Map<String, ArrayDeque<Long>> map, final String service, final long now) {
        final ArrayDeque<Long> q = map.computeIfAbsent(service, k -> new ArrayDeque<>());
        while (!q.isEmpty() && now - q.peekFirst() >= WINDOW) {
            q.removeFirst();
        }
        return q.size();
    }

    public void first(final String service, final long now) {
        count(first, service, now);
        first.get(service).addLast(now);
    }

    public boolean extra(final String service, final long now, final int senders) {
        final double most = 0.18 * count(first, service, now) + PLUS / Math.max(4, senders);
        if (count(extra, service, now) + 1 > most) {
            return false;
        }
        extra.get(service).addLast(now);
        return true;
    }
}
