package org.rowanvalve.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Ballot;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Mark;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Ver;

/** Hosts, prefixes, purges of a host's path and of tags. */
class ViewTest {
    private final Voters net = new Voters();
    private final ConfigView view = net.view;

    private static Match match(
            final String host, final String prefix, final String service, final List<Match.Part> split) {
        return new Match(prefix, service, Match.CACHED, 1000, true, "", host, split, true, 0, 0, 0, 3, "");
    }

    private void route(final String name, final String host, final String prefix, final String service) {
        net.put(new ItemId(Kind.ROUTE, name), 1, match(host, prefix, service, List.of()));
    }

    private void service(final String name) {
        net.put(new ItemId(Kind.SERVICE, name), 1, new Service("open", 0, 1, 1000, 0, 0, ""));
    }

    private String at(final String host, final String path) {
        return view.route(host, path).map(ConfiguredRoute::name).orElse("none");
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
        net.held.merge(
                new Msg.Chosen(Ballot.ZERO, new Item(new ItemId(Kind.ROUTE, "narrow"), new Ver(2), "", true, "")));
        assertEquals("wide", at("one", "/a/1"));
    }

    @Test
    void aSplitRouteIsFitOnlyWhileAllItsServicesStand() {
        service("s");
        net.put(
                new ItemId(Kind.ROUTE, "r"),
                1,
                match("h", "/", "s", List.of(new Match.Part("s", 9), new Match.Part("t", 1))));
        assertFalse(view.route("h", "/x").orElseThrow().fit());
        service("t");
        assertTrue(view.route("h", "/x").orElseThrow().fit());
    }

    private void purge(final String name, final long ver, final Purge p) {
        net.put(new ItemId(Kind.PURGE, name), ver, p);
    }

    @Test
    void aPurgeOfAHostsPathMarksThatPathOnly() {
        service("s");
        route("r", "h", "/", "s");
        final ConfiguredRoute row = view.route("h", "/x").orElseThrow();
        final Mark none = view.mark(row, "/x");
        purge("h.1", 4, new Purge(null, "/x", null, "h", null));
        assertEquals(Map.of("p/h.1", 4L), view.mark(row, "/x").vers());
        assertEquals(none, view.mark(row, "/y"));
        purge("h.1", 6, new Purge(null, "/x", null, "h", null));
        assertEquals(Map.of("p/h.1", 6L), view.mark(row, "/x").vers());
        assertTrue(view.mark(row, "/x").covers(none));
    }

    @Test
    void aHostsRouteThatChangesKeepsItsCopiesAndAnotherRouteGoesOnWithThem() {
        service("s");
        route("r", "h", "/", "s");
        final Mark before = view.mark(view.route("h", "/x/1").orElseThrow(), "/x/1");
        route("r2", "h", "/x/", "s");
        assertEquals(before, view.mark(view.route("h", "/x/1").orElseThrow(), "/x/1"));
        route("own", "", "/y/", "s");
        assertNotEquals(before, view.mark(view.route("", "/y/1").orElseThrow(), "/y/1"));
    }

    @Test
    void tagsAreCleanUntilPurgedAnew() {
        final Map<String, Long> bare = Map.of("t1", 0L, "t2", 0L);
        assertTrue(view.clean(bare));
        net.loop.run(500);
        purge("t.1", 3, new Purge(null, null, null, null, "t1"));
        assertFalse(view.clean(bare));
        assertTrue(view.clean(Map.of("t1", 3L, "t2", 0L)));
        assertEquals(net.loop.now(), view.tagged("t1").at());
        assertEquals(0, view.tagged("t2").ver());
    }

    /** Else a node that was up then and one that started later never agree on a copy with that tag. */
    @Test
    void whatIsDroppedMarksNothing() {
        service("s");
        route("r", "h", "/", "s");
        purge("h.1", 4, new Purge(null, "/x", null, "h", null));
        purge("t.1", 5, new Purge(null, null, null, null, "t1"));
        purge("t.2", 6, new Purge(null, null, null, null, "t2"));
        net.put(Sweep.ID, 1, new Sweep(5, 0));
        assertEquals(
                Map.of(), view.mark(view.route("h", "/x").orElseThrow(), "/x").vers());
        assertEquals(0, view.tagged("t1").ver());
        assertEquals(6, view.tagged("t2").ver());
    }

    @Test
    void limitsAreTheStatedOnesOrPlain() {
        assertEquals(Limits.PLAIN, view.limits());
        net.put(Limits.ID, 1, new Limits(300, 400, 500, 600, null));
        assertEquals(new Limits(300, 400, 500, 600, ""), view.limits());
        net.held.merge(new Msg.Chosen(Ballot.ZERO, new Item(Limits.ID, new Ver(2), "", true, "")));
        assertEquals(Limits.PLAIN, view.limits());
    }
}
