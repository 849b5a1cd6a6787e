package org.rowanvalve.data;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.rowanvalve.common.Mark;

final class Cache {
    private final long room;
    private final Predicate<CachedCopy> fit;
    private long size;
    private final LinkedHashMap<String, CachedCopy> map = new LinkedHashMap<>(64, 0.75f, true);

    /** {@code fit}: what a copy must be beside young enough and under the mark that is wanted. */
    Cache(final long room, final Predicate<CachedCopy> fit) {
        this.room = room;
        this.fit = fit;
    }

    Optional<CachedCopy> get(final String key, final long now, final Mark want) {
        return late(key, now, want).filter(c -> c.good(now, want));
    }

    Optional<CachedCopy> late(final String key, final long now, final Mark want) {
        final CachedCopy c = map.get(key);
        if (c != null && !(c.late(now, want) && fit.test(c))) {
            drop(key);
            return Optional.empty();
        }
        return Optional.ofNullable(c);
    }

    void put(final String key, final CachedCopy c) {
        drop(key);
        map.put(key, c);
        size += c.body().length + 256;
        final Iterator<Map.Entry<String, CachedCopy>> it = map.entrySet().iterator();
        while (size > room && it.hasNext()) {
            size -= it.next().getValue().body().length + 256;
            it.remove();
        }
    }

    long size() {
        return size;
    }

    private void drop(final String key) {
        final CachedCopy old = map.remove(key);
        if (old != null) {
            size -= old.body().length + 256;
        }
    }
}
