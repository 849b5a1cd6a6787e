package org.rowanvalve.data;

import java.util.Map;
import org.rowanvalve.common.Mark;
import org.rowanvalve.control.Match;

/**
 * {@code born}: when, on this clock, the fill that brought it was sent; {@code tags}: the versions of its tags' purges at
 * that moment; {@code service}: which one it came from.
 */
record CachedCopy(
        int status,
        Map<String, String> heads,
        byte[] body,
        long born,
        long life,
        Mark mark,
        Map<String, Long> tags,
        String service) {
    static final long GRACE = 1500;
    private static final String TAG = "t/";

    /** Whether a route may still be answered from it: one of its services gave it. */
    boolean of(final Match route) {
        return service == null || route.services().contains(service);
    }

    boolean good(final long now, final Mark want) {
        return now - born < life && mark.equals(want);
    }

    /** Past its lifetime, but not by more than an object may have changed before: for when no fill can be had. */
    boolean late(final long now, final Mark want) {
        return now - born < life + GRACE && mark.equals(want);
    }

    /** The mark that goes with this copy to other nodes: its own and its tags'. */
    Mark whole() {
        if (tags.isEmpty()) {
            return mark;
        }
        final Map<String, Long> all = new java.util.TreeMap<>(mark.vers());
        tags.forEach((t, v) -> all.put(TAG + t, v));
        return new Mark(all);
    }

    static Mark bare(final Mark m) {
        final Map<String, Long> own = new java.util.TreeMap<>(m.vers());
        own.keySet().removeIf(k -> k.startsWith(TAG));
        return own.size() == m.vers().size() ? m : new Mark(own);
    }

    static Map<String, Long> tags(final Mark m) {
        final Map<String, Long> own = new java.util.TreeMap<>();
        m.vers().tailMap(TAG).forEach((k, v) -> {
            if (k.startsWith(TAG)) {
                own.put(k.substring(TAG.length()), v);
            }
        });
        return own;
    }
}
