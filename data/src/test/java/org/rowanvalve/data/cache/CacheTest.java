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
    private static final VersionVector M = new VersionVector(Map.of("p/1", 4L));
    private final Set<String> purged = new HashSet<>();
    private final Cache cache =
            new Cache(3000, c -> c.tagVersions().keySet().stream().noneMatch(purged::contains));

    private static CachedResponse copy(
            final long born, final VersionVector mark, final Map<String, Long> tags, final int size) {
        return new CachedResponse(200, Map.of(), new byte[size], born, 1000, mark, tags, "s");
    }

    @Test
    void youngEnoughUnderThePresentMarkAndWithNoTagPurged() {
        cache.put("k", copy(0, M, Map.of("t1", 2L), 10));
        assertTrue(cache.findFresh("k", 999, M).isPresent());
        assertFalse(cache.findFresh("k", 1000, M).isPresent());
        assertTrue(cache.findUsable("k", 1000, M).isPresent(), "kept for when no fill can be had");
        assertTrue(cache.findUsable("k", 1000 + CachedResponse.STALE_GRACE_MS - 1, M)
                .isPresent());
        purged.add("t1");
        assertFalse(cache.findUsable("k", 1000, M).isPresent());
        assertEquals(0, cache.sizeBytes(), "and thrown away");
        purged.clear();
        cache.put("k", copy(0, M, Map.of("t1", 2L), 10));
        assertFalse(
                cache.findFresh("k", 1, new VersionVector(Map.of("p/1", 5L))).isPresent());
        assertFalse(cache.findFresh("k", 1, M).isPresent());
    }

    @Test
    void pastTheGraceItIsGone() {
        cache.put("k", copy(0, M, Map.of(), 10));
        assertFalse(
                cache.findUsable("k", 1000 + CachedResponse.STALE_GRACE_MS, M).isPresent());
        assertEquals(0, cache.sizeBytes());
    }

    @Test
    void theOneUsedLongestAgoGoesFirstAndTheRoomIsKept() {
        cache.put("a", copy(0, M, Map.of(), 1000));
        cache.put("b", copy(0, M, Map.of(), 1000));
        cache.findFresh("a", 1, M);
        cache.put("c", copy(0, M, Map.of(), 1000));
        assertFalse(cache.findFresh("b", 1, M).isPresent());
        assertTrue(cache.findFresh("a", 1, M).isPresent());
        assertTrue(cache.sizeBytes() <= 3000);
        cache.put("a", copy(0, M, Map.of(), 100));
        assertEquals(1256 + 356, cache.sizeBytes(), "replaced, not added");
        cache.put("d", copy(0, M, Map.of(), 4000));
        assertEquals(0, cache.sizeBytes(), "what has no room is not kept");
    }

    @Test
    void tagsTravelWithTheMarkAndComeApartAgain() {
        final CachedResponse c = copy(0, M, Map.of("t1", 2L, "t9", 0L), 1);
        final VersionVector both = c.versionsWithTags();
        assertEquals(Map.of("p/1", 4L, "t/t1", 2L, "t/t9", 0L), both.versions());
        assertEquals(M, CachedResponse.withoutTags(both));
        assertEquals(c.tagVersions(), CachedResponse.tagVersions(both));
        assertTrue(both.covers(M));
        assertEquals(Map.of(), CachedResponse.tagVersions(M));
        assertEquals(M, copy(0, M, Map.of(), 1).versionsWithTags());
    }
}
