package org.rowanvalve.data.cache;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.common.model.VersionVector;
import org.rowanvalve.control.config.ConfigurationView;
import org.rowanvalve.control.config.Purge;
import org.rowanvalve.control.config.Route;
import org.rowanvalve.control.config.RouteMode;
import org.rowanvalve.control.config.Service;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.store.ItemStore;
import org.rowanvalve.data.VirtualTimeLoop;

class CacheTest {
    private static final VersionVector VERSIONS = new VersionVector(Map.of("p/1", 4L));
    private static final String PATH = "/x";
    private final VirtualTimeLoop loop = new VirtualTimeLoop();
    private final ItemStore items = new ItemStore(loop, new EventJournal(loop, 100));
    private final ConfigurationView configuration = new ConfigurationView(items);
    private final Cache cache = new Cache(3000);
    private long version;

    private void put(final ItemKind kind, final String name, final Object body) {
        items.merge(new ChosenItem(
                Ballot.ZERO, new Item(new ItemId(kind, name), new Version(++version), Json.write(body), false, "")));
    }

    private void route(final RouteMode mode, final long ttlMs) {
        put(ItemKind.ROUTE, "r", new Route("/", "s", mode, ttlMs, true, "", "h", List.of(), true, 2000, 0, 0, 3, ""));
    }

    @BeforeEach
    void begin() {
        put(ItemKind.SERVICE, "s", new Service(ServiceKind.OPEN, 0, 1000, 5000, 0, 0, ""));
        route(RouteMode.CACHED, 1000);
    }

    private CopyRequirements at(final long now, final VersionVector versions) {
        return new CopyRequirements(
                configuration, configuration.route("h", PATH).orElseThrow(), versions, now);
    }

    private CopyRequirements at(final long now) {
        return at(now, VERSIONS);
    }

    private static CachedResponse copy(
            final long filledAt, final VersionVector versions, final Map<String, Long> tags, final int size) {
        return new CachedResponse(200, Map.of(), new byte[size], filledAt, filledAt + 1, versions, tags, "s");
    }

    @Test
    void aCopyIsValidUnderItsVersionsWithinItsLifetimeUntilATagIsPurged() {
        cache.put("k", copy(0, VERSIONS, Map.of("t1", 2L), 10));
        assertTrue(cache.findFresh("k", at(999)).isPresent());
        assertFalse(cache.findFresh("k", at(1000)).isPresent());
        assertTrue(cache.findUsable("k", at(1000)).isPresent(), "kept for use while no fill is possible");
        assertTrue(cache.findUsable("k", at(1000 + CopyRequirements.STALE_GRACE_MS - 1))
                .isPresent());
        put(ItemKind.PURGE, "t.1", new Purge(null, null, null, null, "t1"));
        assertFalse(cache.findUsable("k", at(1000)).isPresent());
        assertEquals(0, cache.sizeBytes(), "an invalid copy is removed");
        cache.put("k", copy(0, VERSIONS, Map.of("t1", version), 10));
        assertFalse(cache.findFresh("k", at(1, new VersionVector(Map.of("p/1", 5L))))
                .isPresent());
        assertFalse(cache.findFresh("k", at(1)).isPresent());
    }

    /** Guards against copies that keep the time to live of the route under which they were filled (STALE). */
    @Test
    void theRouteInForceDecidesHowLongACopyIsServed() {
        cache.put("k", copy(0, VERSIONS, Map.of(), 10));
        route(RouteMode.CACHED, 5000);
        assertTrue(cache.findFresh("k", at(4999)).isPresent(), "a longer time holds for copies that are there");
        route(RouteMode.CACHED, 100);
        assertFalse(cache.findFresh("k", at(100)).isPresent());
        assertTrue(
                cache.findUsable("k", at(99 + CopyRequirements.STALE_GRACE_MS)).isPresent());
        route(RouteMode.STATUS, 5000);
        assertFalse(cache.findUsable("k", at(1)).isPresent(), "no longer cacheable");
    }

    @Test
    void aCopyIsRemovedAfterTheStaleGracePeriod() {
        cache.put("k", copy(0, VERSIONS, Map.of(), 10));
        assertFalse(cache.findUsable("k", at(1000 + CopyRequirements.STALE_GRACE_MS))
                .isPresent());
        assertEquals(0, cache.sizeBytes());
    }

    @Test
    void theLeastRecentlyUsedCopyIsEvictedWhenTheCacheIsFull() {
        cache.put("a", copy(0, VERSIONS, Map.of(), 1000));
        cache.put("b", copy(0, VERSIONS, Map.of(), 1000));
        cache.findFresh("a", at(1));
        cache.put("c", copy(0, VERSIONS, Map.of(), 1000));
        assertFalse(cache.findFresh("b", at(1)).isPresent());
        assertTrue(cache.findFresh("a", at(1)).isPresent());
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
