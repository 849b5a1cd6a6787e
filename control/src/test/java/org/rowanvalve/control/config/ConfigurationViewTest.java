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

/** Hosts, prefixes, purges of a host's path and of tags. */
class ConfigurationViewTest {
    private final VoterFixture net = new VoterFixture();
    private final ConfigurationView configuration = net.configuration;

    private static Route match(
            final String host, final String prefix, final String service, final List<Route.WeightedService> split) {
        return new Route(prefix, service, RouteMode.CACHED, 1000, true, "", host, split, true, 0, 0, 0, 3, "");
    }

    private void route(final String name, final String host, final String prefix, final String service) {
        net.put(new ItemId(ItemKind.ROUTE, name), 1, match(host, prefix, service, List.of()));
    }

    private void service(final String name) {
        net.put(new ItemId(ItemKind.SERVICE, name), 1, new Service(ServiceKind.OPEN, 0, 1, 1000, 0, 0, ""));
    }

    private String at(final String host, final String path) {
        return configuration.route(host, path).map(ConfiguredRoute::name).orElse("none");
    }

    @Test
    void theLongestPrefixOfTheHostsOwnRoutes() {
        service("s");
        route("wide", "one", "/", "s");
        route("narrow", "one", "/a/", "s");
        route("narrower", "one", "/a/b/", "s");
        route("other", "two", "/a/b/c/", "s");
        assertEquals("narrower", at("one", "/a/b/c/1"));
        assertEquals("narrow", at("one", "/a/c?x=/a/b/"));
        assertEquals("wide", at("one", "/a"));
        assertEquals("other", at("two", "/a/b/c/1"));
        assertEquals("none", at("two", "/a/b/1"));
        assertEquals("none", at("three", "/a/b/c/1"));
        route("any", "", "/a/", "s");
        assertEquals("any", at("three", "/a/1"));
        assertEquals("narrow", at("one", "/a/1"), "a host's own routes go first");
        net.items.merge(new ChosenItem(
                Ballot.ZERO, new Item(new ItemId(ItemKind.ROUTE, "narrow"), new Version(2), "", true, "")));
        assertEquals("wide", at("one", "/a/1"));
    }

    @Test
    void aSplitRouteIsFitOnlyWhileAllItsServicesStand() {
        service("s");
        net.put(
                new ItemId(ItemKind.ROUTE, "r"),
                1,
                match("h", "/", "s", List.of(new Route.WeightedService("s", 9), new Route.WeightedService("t", 1))));
        assertFalse(configuration.route("h", "/x").orElseThrow().isUsable());
        service("t");
        assertTrue(configuration.route("h", "/x").orElseThrow().isUsable());
    }

    private void purge(final String name, final long ver, final Purge purge) {
        net.put(new ItemId(ItemKind.PURGE, name), ver, purge);
    }

    @Test
    void aPurgeOfAHostsPathMarksThatPathOnly() {
        service("s");
        route("r", "h", "/", "s");
        final ConfiguredRoute row = configuration.route("h", "/x").orElseThrow();
        final VersionVector none = configuration.versionsOf(row, "/x");
        purge("h.1", 4, new Purge(null, "/x", null, "h", null));
        assertEquals(Map.of("p/h.1", 4L), configuration.versionsOf(row, "/x").versions());
        assertEquals(none, configuration.versionsOf(row, "/y"));
        purge("h.1", 6, new Purge(null, "/x", null, "h", null));
        assertEquals(Map.of("p/h.1", 6L), configuration.versionsOf(row, "/x").versions());
        assertTrue(configuration.versionsOf(row, "/x").covers(none));
    }

    @Test
    void aHostsRouteThatChangesKeepsItsCopiesAndAnotherRouteGoesOnWithThem() {
        service("s");
        route("r", "h", "/", "s");
        final VersionVector before =
                configuration.versionsOf(configuration.route("h", "/x/1").orElseThrow(), "/x/1");
        route("r2", "h", "/x/", "s");
        assertEquals(
                before,
                configuration.versionsOf(configuration.route("h", "/x/1").orElseThrow(), "/x/1"));
        route("own", "", "/y/", "s");
        assertNotEquals(
                before, configuration.versionsOf(configuration.route("", "/y/1").orElseThrow(), "/y/1"));
    }

    @Test
    void tagsAreCleanUntilPurgedAnew() {
        final Map<String, Long> bare = Map.of("t1", 0L, "t2", 0L);
        assertTrue(configuration.areTagsCurrent(bare));
        net.loop.run(500);
        purge("t.1", 3, new Purge(null, null, null, null, "t1"));
        assertFalse(configuration.areTagsCurrent(bare));
        assertTrue(configuration.areTagsCurrent(Map.of("t1", 3L, "t2", 0L)));
        assertEquals(net.loop.now(), configuration.tagPurge("t1").learnedAt());
        assertEquals(0, configuration.tagPurge("t2").version());
    }

    /** Else a node that was up then and one that started later never agree on a copy with that tag. */
    @Test
    void whatIsDroppedMarksNothing() {
        service("s");
        route("r", "h", "/", "s");
        purge("h.1", 4, new Purge(null, "/x", null, "h", null));
        purge("t.1", 5, new Purge(null, null, null, null, "t1"));
        purge("t.2", 6, new Purge(null, null, null, null, "t2"));
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
    void limitsAreTheStatedOnesOrPlain() {
        assertEquals(RequestLimits.DEFAULTS, configuration.limits());
        net.put(RequestLimits.ID, 1, new RequestLimits(300, 400, 500, 600, null));
        assertEquals(new RequestLimits(300, 400, 500, 600, ""), configuration.limits());
        net.items.merge(new ChosenItem(Ballot.ZERO, new Item(RequestLimits.ID, new Version(2), "", true, "")));
        assertEquals(RequestLimits.DEFAULTS, configuration.limits());
    }
}
