package org.rowanvalve.data.cache;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.rowanvalve.common.model.VersionVector;

/** Cached responses of one node, up to a number of bytes; the least recently used go first. */
public final class Cache {
    private final long capacityBytes;
    private final Predicate<CachedResponse> isValid;
    private long sizeBytes;
    private final LinkedHashMap<String, CachedResponse> entries = new LinkedHashMap<>(64, 0.75f, true);

    /** {@code isValid}: what a copy must satisfy besides its age and the version vector asked for. */
    public Cache(final long capacityBytes, final Predicate<CachedResponse> isValid) {
        this.capacityBytes = capacityBytes;
        this.isValid = isValid;
    }

    /** A copy within its lifetime and under these versions. {@code now}: monotonic ms. */
    public Optional<CachedResponse> findFresh(final String key, final long now, final VersionVector versions) {
        return findUsable(key, now, versions).filter(copy -> copy.isFresh(now, versions));
    }

    /**
     * A copy under these versions, within its lifetime or not too long past it; one that is no longer usable is
     * removed.
     */
    public Optional<CachedResponse> findUsable(final String key, final long now, final VersionVector versions) {
        final CachedResponse copy = entries.get(key);
        if (copy != null && !(copy.isUsable(now, versions) && isValid.test(copy))) {
            remove(key);
            return Optional.empty();
        }
        return Optional.ofNullable(copy);
    }

    /** Stores a copy; the least recently used ones go where the cache is full. */
    public void put(final String key, final CachedResponse copy) {
        remove(key);
        entries.put(key, copy);
        sizeBytes += copy.body().length + 256;
        final Iterator<Map.Entry<String, CachedResponse>> iterator =
                entries.entrySet().iterator();
        while (sizeBytes > capacityBytes && iterator.hasNext()) {
            sizeBytes -= iterator.next().getValue().body().length + 256;
            iterator.remove();
        }
    }

    long sizeBytes() {
        return sizeBytes;
    }

    private void remove(final String key) {
        final CachedResponse previous = entries.remove(key);
        if (previous != null) {
            sizeBytes -= previous.body().length + 256;
        }
    }
}
