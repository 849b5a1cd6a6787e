package org.rowanvalve.data.cache;

import java.util.Map;
import org.rowanvalve.common.model.VersionVector;
import org.rowanvalve.control.config.Route;

/**
 * A response with its age and the versions it was filled under. {@code filledAt}: when, on this clock, the request that
 * brought it was sent; {@code tagVersions}: the versions of its tags' purges at that moment; {@code service}: which one
 * it came from.
 */
public record CachedResponse(
        int status,
        Map<String, String> headers,
        byte[] body,
        long filledAt,
        long ttlMs,
        VersionVector versions,
        Map<String, Long> tagVersions,
        String service) {
    static final long STALE_GRACE_MS = 1500;
    private static final String TAG_PREFIX = "t/";

    /** Whether a route may still be answered from it: one of the route's services gave it. */
    public boolean isFrom(final Route route) {
        return service == null || route.services().contains(service);
    }

    /** Whether the copy is within its lifetime at {@code now} and as new as {@code wanted}. */
    public boolean isFresh(final long now, final VersionVector wanted) {
        return now - filledAt < ttlMs && versions.equals(wanted);
    }

    /** Past its lifetime, but by no more than the route allows: for when no fill is possible. */
    boolean isUsable(final long now, final VersionVector wanted) {
        return now - filledAt < ttlMs + STALE_GRACE_MS && versions.equals(wanted);
    }

    /** The versions that go with this copy to other nodes: its own and its tags'. */
    public VersionVector versionsWithTags() {
        if (tagVersions.isEmpty()) {
            return versions;
        }
        final Map<String, Long> all = new java.util.TreeMap<>(versions.versions());
        tagVersions.forEach((tag, version) -> all.put(TAG_PREFIX + tag, version));
        return new VersionVector(all);
    }

    public static VersionVector withoutTags(final VersionVector marked) {
        final Map<String, Long> remaining = new java.util.TreeMap<>(marked.versions());
        remaining.keySet().removeIf(k -> k.startsWith(TAG_PREFIX));
        return remaining.size() == marked.versions().size() ? marked : new VersionVector(remaining);
    }

    public static Map<String, Long> tagVersions(final VersionVector marked) {
        final Map<String, Long> remaining = new java.util.TreeMap<>();
        marked.versions().tailMap(TAG_PREFIX).forEach((k, version) -> {
            if (k.startsWith(TAG_PREFIX)) {
                remaining.put(k.substring(TAG_PREFIX.length()), version);
            }
        });
        return remaining;
    }
}
