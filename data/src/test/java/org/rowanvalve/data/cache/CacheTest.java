package org.rowanvalve.data.cache;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.model.VersionVector;

class CacheTest {
    private static final VersionVector VERSIONS = new VersionVector(Map.of("p/1", 4L));
    private final Set<String> purged = new HashSet<>();
    private final Cache cache =
            new Cache(3000, response -> response.tagVersions().keySet().stream().noneMatch(purged::contains));

    private static CachedResponse copy(
            final long filledAt, final VersionVector versions, final Map<String, Long> tags, final int size) {
        return new CachedResponse(200, Map.of(), new byte[size], filledAt, 1000, versions, tags, "s");
    }

    @Test
    void aCopyIsValidUnderItsVersionsWithinItsLifetimeUntilATagIsPurged() {
        cache.put("k", copy(0, VERSIONS, Map.of("t1", 2L), 10));
        assertTrue(cache.findFresh("k", 999, VERSIONS).isPresent());
        assertFalse(cache.findFresh("k", 1000, VERSIONS).isPresent());
        assertTrue(cache.findUsable("k", 1000, VERSIONS).isPresent(), "kept for use while no fill is possible");
        assertTrue(cache.findUsable("k", 1000 + CachedResponse.STALE_GRACE_MS - 1, VERSIONS)
                .isPresent());
        purged.add("t1");
        assertFalse(cache.findUsable("k", 1000, VERSIONS).isPresent());
        assertEquals(0, cache.sizeBytes(), "an invalid copy is removed");
        purged.clear();
        cache.put("k", copy(0, VERSIONS, Map.of("t1", 2L), 10));
        assertFalse(
                cache.findFresh("k", 1, new VersionVector(Map.of("p/1", 5L))).isPresent());
        assertFalse(cache.findFresh("k", 1, VERSIONS).isPresent());
    }

    @Test
    void aCopyIsRemovedAfterTheStaleGracePeriod() {
        cache.put("k", copy(0, VERSIONS, Map.of(), 10));
        assertFalse(cache.findUsable("k", 1000 + CachedResponse.STALE_GRACE_MS, VERSIONS)
                .isPresent());
        assertEquals(0, cache.sizeBytes());
    }

    @Test
    void theLeastRecentlyUsedCopyIsEvictedWhenTheCacheIsFull() {
        cache.put("a", copy(0, VERSIONS, Map.of(), 1000));
        cache.put("b", copy(0, VERSIONS, Map.of(), 1000));
        cache.findFresh("a", 1, VERSIONS);
        cache.put("c", copy(0, VERSIONS, Map.of(), 1000));
        assertFalse(cache.findFresh("b", 1, VERSIONS).isPresent());
        assertTrue(cache.findFresh("a", 1, VERSIONS).isPresent());
        assertTrue(cache.sizeBytes() <= 3000);
        cache.put("a", copy(0, VERSIONS, Map.of(), 100));
        assertEquals(1256 + 356, cache.sizeBytes(), "the earlier copy is replaced");
        cache.put("d", copy(0, VERSIONS, Map.of(), 4000));
        assertEquals(0, cache.sizeBytes(), "a copy larger than the cache is not kept");
    }

    @Test
    void tagVersionsAreAddedToTheVersionVectorAndSeparatedAgain() {
        final CachedResponse response = copy(0, VERSIONS, Map.of("t1", 2L, "t9", 0L), 1);
        final VersionVector combined = response.versionsWithTags();
        assertEquals(Map.of("p/1", 4L, "t/t1", 2L, "t/t9", 0L), combined.versions());
        assertEquals(VERSIONS, CachedResponse.withoutTags(combined));
        assertEquals(response.tagVersions(), CachedResponse.tagVersions(combined));
        assertTrue(combined.covers(VERSIONS));
        assertEquals(Map.of(), CachedResponse.tagVersions(VERSIONS));
        assertEquals(VERSIONS, copy(0, VERSIONS, Map.of(), 1).versionsWithTags());
    }
}
