package org.rowanvalve.data.cache;

import java.util.Map;
import org.rowanvalve.common.model.VersionVector;
import org.rowanvalve.control.config.Route;

/**
 * A cached response: when it was requested from an origin, and the versions under which it was filled. How long it may be
 * served is up to {@link CopyRequirements}.
 *
 * @param filledAt the monotonic time of this node, in ms, at which the request for the response was sent
 * @param verifiedAt a monotonic time of this node, in ms, such that the copy covers every purge that this node learned
 *     earlier
 * @param tagVersions the versions of the newest purges of the response's tags when it was filled
 * @param service the service that gave the response, or null if it is not known
 */
public record CachedResponse(
        int status,
        Map<String, String> headers,
        byte[] body,
        long filledAt,
        long verifiedAt,
        VersionVector versions,
        Map<String, Long> tagVersions,
        String service) {
    private static final String TAG_PREFIX = "t/";

    /**
     * Whether {@code route} may be answered with this copy: its service is unknown or still one of the route's
     * services.
     */
    public boolean isFrom(final Route route) {
        return service == null || route.services().contains(service);
    }

    /** The versions sent to other nodes with this copy: those of its version vector and of its tags. */
    public VersionVector versionsWithTags() {
        if (tagVersions.isEmpty()) {
            return versions;
        }
        final Map<String, Long> combined = new java.util.TreeMap<>(versions.versions());
        tagVersions.forEach((tag, version) -> combined.put(TAG_PREFIX + tag, version));
        return new VersionVector(combined);
    }

    public static VersionVector withoutTags(final VersionVector combinedVersions) {
        final Map<String, Long> remaining = new java.util.TreeMap<>(combinedVersions.versions());
        remaining.keySet().removeIf(key -> key.startsWith(TAG_PREFIX));
        return remaining.size() == combinedVersions.versions().size() ? combinedVersions : new VersionVector(remaining);
    }

    public static Map<String, Long> tagVersions(final VersionVector combinedVersions) {
        final Map<String, Long> remaining = new java.util.TreeMap<>();
        combinedVersions.versions().tailMap(TAG_PREFIX).forEach((key, version) -> {
            if (key.startsWith(TAG_PREFIX)) {
                remaining.put(key.substring(TAG_PREFIX.length()), version);
            }
        });
        return remaining;
    }
}
