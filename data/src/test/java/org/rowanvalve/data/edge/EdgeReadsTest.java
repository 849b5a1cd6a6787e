package org.rowanvalve.data.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.message.ForwardResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.common.model.VersionVector;
import org.rowanvalve.control.config.Purge;
import org.rowanvalve.control.config.Route;
import org.rowanvalve.control.config.RouteMode;
import org.rowanvalve.data.origin.OriginDispatch;
import org.rowanvalve.data.request.ClientResponse;

/** Cacheable reads at an edge: coalescing of fills, and the fallback if no lease holder may fill the object. */
class EdgeReadsTest extends EdgeFixture {
    @Test
    void readsWithoutAHolderPassThroughUncached() {
        nearestShields.remove(N1);
        send(RouteMode.CACHED);
        assertTrue(forward(0).request().passThrough());
        respond(0, good("x"));
        assertEquals(200, status());
        send(RouteMode.CACHED);
        assertEquals(2, forwards.size(), "the response was not cached");
    }

    @Test
    void readsPassThroughWhenTheHolderFallsSilent() {
        send(RouteMode.CACHED);
        assertFalse(forward(0).request().passThrough());
        silenceMs.put(N1, 1000L);
        loop.run(350);
        assertTrue(forward(1).request().passThrough());
        respond(1, good("x"));
        respond(0, good("late"));
        assertEquals(200, status());
    }

    private VersionVector currentVersions() {
        return configuration.versionsOf(configuration.route("h", "/cached/1").orElseThrow(), "/cached/1");
    }

    @Test
    void aCopyServesWaitingAndLaterRequestsIncludingRanges() {
        send(RouteMode.CACHED);
        send(RouteMode.CACHED, "bytes=1-2", Map.of());
        assertEquals(1, forwards.size());
        respond(0, filled(RequestOutcome.DONE, 200, "abcd", 0, currentVersions()));
        assertEquals(
                List.of(200, 206),
                clientResponses.stream().map(ClientResponse::status).toList());
        send(RouteMode.CACHED, "bytes=9-", Map.of());
        send(RouteMode.CACHED);
        assertEquals(
                List.of(200, 206, 416, 200),
                clientResponses.stream().map(ClientResponse::status).toList());
        assertEquals(1, forwards.size());
        assertEquals("bc", new String(clientResponses.get(1).body()));
    }

    @Test
    void anObjectPurgedDuringItsFillIsFilledAgain() {
        send(RouteMode.CACHED);
        putItem(new ItemId(ItemKind.PURGE, "h.1"), 4, new Purge(null, "/cached/1", null, "h", null));
        respond(0, filled(RequestOutcome.DONE, 200, "old", 0, new VersionVector(Map.of())));
        loop.run(70);
        assertEquals(Map.of("p/h.1", 4L), forward(1).request().versions().versions());
        putItem(new ItemId(ItemKind.PURGE, "t.1"), 5, new Purge(null, null, null, null, "t1"));
        final Map<String, Long> tagged = new HashMap<>(currentVersions().versions());
        tagged.put("t/t1", 0L);
        respond(1, filled(RequestOutcome.DONE, 200, "old", 0, new VersionVector(tagged)));
        loop.run(130);
        tagged.put("t/t1", 5L);
        respond(2, filled(RequestOutcome.DONE, 200, "new", 0, new VersionVector(tagged)));
        assertEquals("new", new String(clientResponses.get(0).body()));
        assertEquals(1, clientResponses.size());
        putItem(new ItemId(ItemKind.PURGE, "t.1"), 6, new Purge(null, null, null, null, "t1"));
        send(RouteMode.CACHED);
        assertEquals(4, forwards.size(), "the cached copy has the purged tag");
    }

    /**
     * Guards against conditional headers of one client in a coalesced fill: a 304 response would not answer the other
     * clients.
     */
    @Test
    void conditionalHeadersOfOneClientAreNotSentWithASharedFill() {
        send(RouteMode.CACHED, null, Map.of("If-None-Match", "\"v1\"", "Accept-Language", "sw"));
        send(RouteMode.CACHED);
        assertEquals(Map.of("Accept-Language", "sw"), forward(0).request().headers());
        send(RouteMode.STATUS, null, Map.of("If-None-Match", "\"v1\""));
        assertEquals(Map.of("If-None-Match", "\"v1\""), forward(1).request().headers());
    }

    @Test
    void aRangeOfAnEarlierVersionGetsTheWholeObject() {
        send(RouteMode.CACHED, "bytes=1-2", Map.of("If-Range", "\"v0\""));
        respond(0, filled(RequestOutcome.DONE, 200, "abcd", 0, currentVersions()));
        send(RouteMode.CACHED, "bytes=1-2", Map.of("if-range", "\"v0\""));
        assertEquals(
                List.of(200, 200),
                clientResponses.stream().map(ClientResponse::status).toList());
    }

    /** A lease holder that responds but may not fill delays a read only briefly; the read then continues without a lease. */
    @Test
    void aReadWaitsAtMostAQuarterOfItsLatencyTargetForAHolderThatMayNotFill() {
        setLatencyTarget(RouteMode.CACHED, 400);
        final long startedAt = loop.now();
        send(RouteMode.CACHED);
        respond(0, refused(500));
        loop.run(70);
        assertFalse(forward(1).request().passThrough(), "the holder may have obtained the lease in the meantime");
        respond(1, refused(500));
        loop.run(30);
        assertTrue(forward(2).request().passThrough());
        assertFalse(forward(2).request().retry(), "nothing was sent");
        assertTrue(loop.now() - startedAt <= 110, "a quarter of the latency target of 400 ms");
        respond(2, good("x"));
        assertEquals(200, status());
        clientResponses.clear();
        forwards.clear();
        send(RouteMode.CACHED);
        respond(0, refused(1000));
        assertTrue(forward(1).request().passThrough(), "immediately if the holder needs longer");
    }

    @Test
    void aReadThatNoNodeMayFillIsRejectedImmediatelyWithRetryAfter() {
        setLatencyTarget(RouteMode.CACHED, 400);
        send(RouteMode.CACHED);
        nearestShields.clear();
        final long startedAt = loop.now();
        respond(0, refused(1000));
        assertEquals(503, status());
        assertEquals(startedAt, loop.now());
        assertEquals(1000, clientResponses.get(0).retryAfterMs());
    }

    /** A pass-through by another shield would use up as much of the rate limit, and its response would not be cached. */
    @Test
    void aReadOverTheRateLimitIsRejectedImmediately() {
        send(RouteMode.CACHED);
        respond(
                0,
                Reply.of(filled(RequestOutcome.REFUSED, 503, OriginDispatch.RATE_EXHAUSTED, 1000, null)
                        .as(ForwardResponse.class)
                        .orElseThrow()
                        .withUnusedAttempts(1)));
        assertEquals(1, forwards.size(), "no other shield is asked");
        assertEquals(503, status());
    }

    private void setTtl(final long version, final long ttlMs) {
        putItem(
                new ItemId(ItemKind.ROUTE, RouteMode.CACHED.code()),
                version,
                new Route("/cached/", "s", RouteMode.CACHED, ttlMs, true, "", "h", List.of(), true, 2000, 0, 0, 3, ""));
    }

    /** Guards against copies of fills that were under way when the time to live became shorter (STALE). */
    @Test
    void aFillIsKeptForTheTimeToLiveInForceOnceItIsComplete() {
        send(RouteMode.CACHED);
        setTtl(2, 100);
        loop.run(150);
        respond(0, filled(RequestOutcome.DONE, 200, "x", 0, currentVersions()));
        assertEquals(200, status());
        send(RouteMode.CACHED);
        assertEquals(2, forwards.size(), "the copy was too old when it came");
        respond(1, filled(RequestOutcome.DONE, 200, "y", 0, currentVersions()));
        setTtl(3, 1000);
        loop.run(500);
        send(RouteMode.CACHED);
        assertEquals(2, forwards.size(), "a longer time to live holds for the copy that is there");
    }

    /** Guards against answers that are older than the route allows because they were long under way (STALE). */
    @Test
    void aRequestThatJoinedAFillStartsOverIfTheResponseIsTooOldForIt() {
        send(RouteMode.CACHED);
        loop.run(2500);
        send(RouteMode.CACHED);
        assertEquals(1, forwards.size(), "the second request joined the fill");
        respond(0, filled(RequestOutcome.DONE, 200, "old", 0, currentVersions()));
        assertEquals(1, clientResponses.size(), "the request for which the fill was made is answered");
        assertEquals(2, forwards.size());
        respond(1, filled(RequestOutcome.DONE, 200, "new", 0, currentVersions()));
        assertEquals("new", new String(clientResponses.get(1).body()));
    }

    /** Guards against requests by a route with a short time to live that join a fill by another route. */
    @Test
    void aRequestByAnotherRouteStartsAFillOfItsOwn() {
        send(RouteMode.CACHED);
        putItem(
                new ItemId(ItemKind.ROUTE, "deeper"),
                1,
                new Route("/cached/1", "s", RouteMode.CACHED, 100, true, "", "h", List.of(), true, 2000, 0, 0, 3, ""));
        send(RouteMode.CACHED);
        assertEquals(2, forwards.size());
        assertEquals("deeper", forward(1).request().route());
    }
}
