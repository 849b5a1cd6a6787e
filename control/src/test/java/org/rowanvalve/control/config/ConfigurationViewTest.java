package org.rowanvalve.control.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.common.model.VersionVector;
import org.rowanvalve.control.store.CollectionFloor;
import org.rowanvalve.control.voting.VoterFixture;

/** Route matching by host and prefix, purges of a host's path and of tags, and request limits. */
class ConfigurationViewTest {
    private final VoterFixture net = new VoterFixture();
    private final ConfigurationView configuration = net.configuration;

    private static Route newRoute(
            final String host, final String prefix, final String service, final List<Route.WeightedService> split) {
        return new Route(prefix, service, RouteMode.CACHED, 1000, true, "", host, split, true, 0, 0, 0, 3, "");
    }

    private void putRoute(final String name, final String host, final String prefix, final String service) {
        net.put(new ItemId(ItemKind.ROUTE, name), 1, newRoute(host, prefix, service, List.of()));
    }

    private void putService(final String name) {
        net.put(new ItemId(ItemKind.SERVICE, name), 1, new Service(ServiceKind.OPEN, 0, 1, 1000, 0, 0, ""));
    }

    private String routeNameOf(final String host, final String path) {
        return configuration.route(host, path).map(ConfiguredRoute::name).orElse("none");
    }

    @Test
    void aRequestMatchesTheLongestPrefixOfItsHostsRoutes() {
        putService("s");
        putRoute("wide", "one", "/", "s");
        putRoute("narrow", "one", "/a/", "s");
        putRoute("narrower", "one", "/a/b/", "s");
        putRoute("other", "two", "/a/b/c/", "s");
        assertEquals("narrower", routeNameOf("one", "/a/b/c/1"));
        assertEquals("narrow", routeNameOf("one", "/a/c?x=/a/b/"));
        assertEquals("wide", routeNameOf("one", "/a"));
        assertEquals("other", routeNameOf("two", "/a/b/c/1"));
        assertEquals("none", routeNameOf("two", "/a/b/1"));
        assertEquals("none", routeNameOf("three", "/a/b/c/1"));
        putRoute("any", "", "/a/", "s");
        assertEquals("any", routeNameOf("three", "/a/1"));
        assertEquals(
                "narrow", routeNameOf("one", "/a/1"), "a host's own routes take precedence over routes without a host");
        net.items.merge(new ChosenItem(
                Ballot.ZERO, new Item(new ItemId(ItemKind.ROUTE, "narrow"), new Version(2), "", true, "")));
        assertEquals("wide", routeNameOf("one", "/a/1"));
    }

    @Test
    void aSplitRouteIsUsableOnlyIfAllItsServicesExist() {
        putService("s");
        net.put(
                new ItemId(ItemKind.ROUTE, "r"),
                1,
                newRoute("h", "/", "s", List.of(new Route.WeightedService("s", 9), new Route.WeightedService("t", 1))));
        assertFalse(configuration.route("h", "/x").orElseThrow().isUsable());
        putService("t");
        assertTrue(configuration.route("h", "/x").orElseThrow().isUsable());
    }

    private void putPurge(final String name, final long version, final Purge purge) {
        net.put(new ItemId(ItemKind.PURGE, name), version, purge);
    }

    @Test
    void aPurgeOfAHostsPathAffectsOnlyThatPath() {
        putService("s");
        putRoute("r", "h", "/", "s");
        final ConfiguredRoute configured = configuration.route("h", "/x").orElseThrow();
        final VersionVector withoutPurge = configuration.versionsOf(configured, "/x");
        putPurge("h.1", 4, new Purge(null, "/x", null, "h", null));
        assertEquals(
                Map.of("p/h.1", 4L), configuration.versionsOf(configured, "/x").versions());
        assertEquals(withoutPurge, configuration.versionsOf(configured, "/y"));
        putPurge("h.1", 6, new Purge(null, "/x", null, "h", null));
        assertEquals(
                Map.of("p/h.1", 6L), configuration.versionsOf(configured, "/x").versions());
        assertTrue(configuration.versionsOf(configured, "/x").covers(withoutPurge));
    }

    @Test
    void copiesOfAHostStayValidWhenAnotherOfItsRoutesMatchesThem() {
        putService("s");
        putRoute("r", "h", "/", "s");
        final VersionVector before =
                configuration.versionsOf(configuration.route("h", "/x/1").orElseThrow(), "/x/1");
        putRoute("r2", "h", "/x/", "s");
        assertEquals(
                before,
                configuration.versionsOf(configuration.route("h", "/x/1").orElseThrow(), "/x/1"));
        putRoute("own", "", "/y/", "s");
        assertNotEquals(
                before, configuration.versionsOf(configuration.route("", "/y/1").orElseThrow(), "/y/1"));
    }

    @Test
    void tagsAreCurrentUntilTheyArePurged() {
        final Map<String, Long> unpurged = Map.of("t1", 0L, "t2", 0L);
        assertTrue(configuration.areTagsCurrent(unpurged));
        net.loop.run(500);
        putPurge("t.1", 3, new Purge(null, null, null, null, "t1"));
        assertFalse(configuration.areTagsCurrent(unpurged));
        assertTrue(configuration.areTagsCurrent(Map.of("t1", 3L, "t2", 0L)));
        assertEquals(net.loop.now(), configuration.tagPurge("t1").learnedAt());
        assertEquals(0, configuration.tagPurge("t2").version());
    }

    /**
     * Guards against version vectors that include garbage-collected purges. A node that knew the purge and a node that
     * started later would never agree on a cached copy with that tag.
     */
    @Test
    void garbageCollectedPurgesHaveNoEffect() {
        putService("s");
        putRoute("r", "h", "/", "s");
        putPurge("h.1", 4, new Purge(null, "/x", null, "h", null));
        putPurge("t.1", 5, new Purge(null, null, null, null, "t1"));
        putPurge("t.2", 6, new Purge(null, null, null, null, "t2"));
        net.put(CollectionFloor.ID, 1, new CollectionFloor(5, 0));
        assertEquals(
                Map.of(),
                configuration
                        .versionsOf(configuration.route("h", "/x").orElseThrow(), "/x")
                        .versions());
        assertEquals(0, configuration.tagPurge("t1").version());
        assertEquals(6, configuration.tagPurge("t2").version());
    }

    @Test
    void limitsAreTheConfiguredOnesOrTheDefaults() {
        assertEquals(RequestLimits.DEFAULTS, configuration.limits());
        net.put(RequestLimits.ID, 1, new RequestLimits(300, 400, 500, 600, null));
        assertEquals(new RequestLimits(300, 400, 500, 600, ""), configuration.limits());
        net.items.merge(new ChosenItem(Ballot.ZERO, new Item(RequestLimits.ID, new Version(2), "", true, "")));
        assertEquals(RequestLimits.DEFAULTS, configuration.limits());
    }

    /**
     * Guards against purged copies that are served again (STALE): what was verified before a purge that is collected by now
     * cannot be told from what the purge ended.
     */
    @Test
    void purgesAreKnownSinceTheLastOneThatWasCollected() {
        net.loop.run(1000);
        putPurge("h.1", 4, new Purge(null, "/x", null, "h", null));
        final long learnedAt = net.loop.now();
        net.loop.run(500);
        putPurge("h.2", 6, new Purge(null, "/y", null, "h", null));
        assertTrue(configuration.purgesKnownSince() < learnedAt, "both purges are known");
        net.loop.run(70_000);
        net.put(CollectionFloor.ID, 1, new CollectionFloor(5, 0));
        assertEquals(learnedAt, configuration.purgesKnownSince());
    }

    /** Guards against purges that were chosen and collected while this node had no contact with a majority. */
    @Test
    void purgesAreKnownSinceTheEndOfALongGapBetweenConfirmations() {
        configuration.onConfirmed(100);
        assertEquals(100, configuration.purgesKnownSince(), "the first confirmation ends a gap");
        configuration.onConfirmed(100 + ConfigurationView.MAX_CONFIRMATION_GAP_MS);
        configuration.onConfirmed(90);
        assertEquals(100, configuration.purgesKnownSince());
        final long later = 101 + 2 * ConfigurationView.MAX_CONFIRMATION_GAP_MS;
        configuration.onConfirmed(later);
        assertEquals(later, configuration.purgesKnownSince());
    }

    /** Guards against a purge that no longer holds for its own path once its name is declared for another one. */
    @Test
    void aPurgeThatIsDeclaredForAnotherPathStillHoldsForTheFirstOne() {
        putService("s");
        putRoute("own", "", "/", "s");
        net.loop.run(1000);
        putPurge("p", 1, new Purge("own", "/x", null, null, null));
        net.loop.run(1000);
        putPurge("p", 2, new Purge("own", "/x", null, null, null));
        assertTrue(configuration.purgesKnownSince() < net.loop.now(), "the same purge again");
        putPurge("p", 3, new Purge("own", "/y", null, null, null));
        assertEquals(net.loop.now(), configuration.purgesKnownSince());
    }

    /** Guards against purges that do nothing because they write the host in another case than requests (STALE). */
    @Test
    void hostsOfRoutesAndPurgesAreComparedWithoutRegardToCase() {
        putService("s");
        putRoute("r", "Shop.Example", "/", "s");
        putPurge("h.1", 4, new Purge(null, "/x", null, "SHOP.example", null));
        final ConfiguredRoute configured =
                configuration.route("shop.example", "/x").orElseThrow();
        assertEquals(
                Map.of("p/h.1", 4L), configuration.versionsOf(configured, "/x").versions());
        assertEquals("h", new Purge(null, "/x", null, "H:80", null).host());
    }
}
