package org.rowanvalve.data.cache;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The cached responses of one node, bounded by their total size in bytes, with least-recently-used eviction. */
public final class Cache {
    /** Estimated size of an entry besides its body. */
    private static final int ENTRY_OVERHEAD_BYTES = 256;

    private final long capacityBytes;
    private long sizeBytes;
    private final LinkedHashMap<String, CachedResponse> entries = new LinkedHashMap<>(64, 0.75f, true);

    public Cache(final long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /** Finds a copy that is within the lifetime that the requirements allow. */
    public Optional<CachedResponse> findFresh(final String key, final CopyRequirements requirements) {
        return findUsable(key, requirements).filter(requirements::allowFresh);
    }

    /**
     * Finds a copy that is within the lifetime that the requirements allow, or the stale grace period after it. Removes the
     * copy if it is no longer usable.
     */
    public Optional<CachedResponse> findUsable(final String key, final CopyRequirements requirements) {
        final CachedResponse copy = entries.get(key);
        if (copy != null && !requirements.allowStale(copy)) {
            remove(key);
            return Optional.empty();
        }
        return Optional.ofNullable(copy);
    }

    /** Stores a copy, evicting the least recently used copies while the cache exceeds its capacity. */
    public void put(final String key, final CachedResponse copy) {
        remove(key);
        entries.put(key, copy);
        sizeBytes += copy.body().length + ENTRY_OVERHEAD_BYTES;
        final Iterator<Map.Entry<String, CachedResponse>> iterator =
                entries.entrySet().iterator();
        while (sizeBytes > capacityBytes && iterator.hasNext()) {
            sizeBytes -= iterator.next().getValue().body().length + ENTRY_OVERHEAD_BYTES;
            iterator.remove();
        }
    }

    long sizeBytes() {
        return sizeBytes;
    }

    private void remove(final String key) {
        final CachedResponse previous = entries.remove(key);
        if (previous != null) {
            sizeBytes -= previous.body().length + ENTRY_OVERHEAD_BYTES;
        }
    }
}
