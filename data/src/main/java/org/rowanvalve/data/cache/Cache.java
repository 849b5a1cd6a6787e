package org.rowanvalve.data.cache;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.rowanvalve.common.model.VersionVector;

/** The cached responses of one node, bounded by their total size in bytes, with least-recently-used eviction. */
public final class Cache {
    /** Estimated size of an entry besides its body. */
    private static final int ENTRY_OVERHEAD_BYTES = 256;

    private final long capacityBytes;
    private final Predicate<CachedResponse> isValid;
    private long sizeBytes;
    private final LinkedHashMap<String, CachedResponse> entries = new LinkedHashMap<>(64, 0.75f, true);

    /** {@code isValid}: a condition that a copy must meet in addition to its age and its version vector. */
    public Cache(final long capacityBytes, final Predicate<CachedResponse> isValid) {
        this.capacityBytes = capacityBytes;
        this.isValid = isValid;
    }

    /**
     * Finds a copy that is within its lifetime and was filled under {@code versions}. {@code now}: monotonic time in
     * ms.
     */
    public Optional<CachedResponse> findFresh(final String key, final long now, final VersionVector versions) {
        return findUsable(key, now, versions).filter(copy -> copy.isFresh(now, versions));
    }

    /**
     * Finds a copy that was filled under {@code versions} and is within its lifetime or the stale grace period after
     * it. Removes the copy if it is no longer usable.
     */
    public Optional<CachedResponse> findUsable(final String key, final long now, final VersionVector versions) {
        final CachedResponse copy = entries.get(key);
        if (copy != null && !(copy.isUsable(now, versions) && isValid.test(copy))) {
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
