package org.rowanvalve.data;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Mark;

class CacheTest {
    private static final Mark M = new Mark(Map.of("p/1", 4L));
    private final Set<String> purged = new HashSet<>();
    private final Cache cache = new Cache(3000, c -> c.tags().keySet().stream().noneMatch(purged::contains));

    private static CachedCopy copy(final long born, final Mark mark, final Map<String, Long> tags, final int size) {
        return new CachedCopy(200, Map.of(), new byte[size], born, 1000, mark, tags, "s");
    }

    @Test
    void youngEnoughUnderThePresentMarkAndWithNoTagPurged() {
        cache.put("k", copy(0, M, Map.of("t1", 2L), 10));
        assertTrue(cache.get("k", 999, M).isPresent());
        assertFalse(cache.get("k", 1000, M).isPresent());
        assertTrue(cache.late("k", 1000, M).isPresent(), "kept for when no fill can be had");
        assertTrue(cache.late("k", 1000 + CachedCopy.GRACE - 1, M).isPresent());
        purged.add("t1");
        assertFalse(cache.late("k", 1000, M).isPresent());
        assertEquals(0, cache.size(), "and thrown away");
        purged.clear();
        cache.put("k", copy(0, M, Map.of("t1", 2L), 10));
        assertFalse(cache.get("k", 1, new Mark(Map.of("p/1", 5L))).isPresent());
        assertFalse(cache.get("k", 1, M).isPresent());
    }

    @Test
    void pastTheGraceItIsGone() {
        cache.put("k", copy(0, M, Map.of(), 10));
        assertFalse(cache.late("k", 1000 + CachedCopy.GRACE, M).isPresent());
        assertEquals(0, cache.size());
    }

    @Test
    void theOneUsedLongestAgoGoesFirstAndTheRoomIsKept() {
        cache.put("a", copy(0, M, Map.of(), 1000));
        cache.put("b", copy(0, M, Map.of(), 1000));
        cache.get("a", 1, M);
        cache.put("c", copy(0, M, Map.of(), 1000));
        assertFalse(cache.get("b", 1, M).isPresent());
        assertTrue(cache.get("a", 1, M).isPresent());
        assertTrue(cache.size() <= 3000);
        cache.put("a", copy(0, M, Map.of(), 100));
        assertEquals(1256 + 356, cache.size(), "replaced, not added");
        cache.put("d", copy(0, M, Map.of(), 4000));
        assertEquals(0, cache.size(), "what has no room is not kept");
    }

    @Test
    void tagsTravelWithTheMarkAndComeApartAgain() {
        final CachedCopy c = copy(0, M, Map.of("t1", 2L, "t9", 0L), 1);
        final Mark both = c.whole();
        assertEquals(Map.of("p/1", 4L, "t/t1", 2L, "t/t9", 0L), both.vers());
        assertEquals(M, CachedCopy.bare(both));
        assertEquals(c.tags(), CachedCopy.tags(both));
        assertTrue(both.covers(M));
        assertEquals(Map.of(), CachedCopy.tags(M));
        assertEquals(M, copy(0, M, Map.of(), 1).whole());
    }
}
