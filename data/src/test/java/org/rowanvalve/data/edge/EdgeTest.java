package org.rowanvalve.data.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.message.ForwardResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.NodeStatus;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.config.RouteMode;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.control.placement.PlacementPlan;
import org.rowanvalve.data.origin.AnsweringOrigins;
import org.rowanvalve.data.origin.OriginDispatcher;
import org.rowanvalve.data.origin.OriginTransport;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.data.request.ClientResponse;
import org.rowanvalve.data.settings.NodeSettings;

/** Forwarding of requests by an edge, on routes whose uncached requests may go through any shield. */
class EdgeTest extends EdgeFixture {
    @Test
    void requestsWithoutALeaseGoThroughTheNearestShield() {
        send(RouteMode.STATUS);
        assertEquals(N1, forward(0).to());
        assertTrue(forward(0).request().passThrough());
        assertFalse(forward(0).request().retry());
        assertEquals(-1, forward(0).request().shard());
        assertNull(forward(0).request().versions());
        assertTrue(
                forward(0).request().timeoutMs() < 1200 && forward(0).request().timeoutMs() > 1000);
        respond(0, good("x"));
        assertEquals(200, status());
    }

    @Test
    void aForwardAfterARejectionIsNotMarkedAsARetry() {
        send(RouteMode.AT_MOST_ONCE);
        respond(0, refused(500));
        respond(1, unsent());
        assertEquals(N2, forward(1).to());
        assertFalse(forward(1).request().retry() || forward(2).request().retry());
        respond(2, refused(500));
        assertEquals(503, status());
        assertEquals(RequestOutcome.REFUSED, clientResponses.get(0).fate());
    }

    @Test
    void readsAreRetriedAtAnotherShieldAtMostOnceRequestsAreNot() {
        send(RouteMode.STATUS);
        respond(0, silent());
        assertTrue(forward(1).request().retry());
        respond(1, good("x"));
        assertEquals(200, status());
        clientResponses.clear();
        forwards.clear();
        send(RouteMode.AT_MOST_ONCE);
        respond(0, silent());
        loop.run(1300);
        assertEquals(1, forwards.size());
        assertEquals(504, status());
        assertEquals(RequestOutcome.UNKNOWN, clientResponses.get(0).fate());
    }

    @Test
    void readsDoNotWaitForAShieldThatFallsSilent() {
        send(RouteMode.STATUS);
        loop.run(250);
        assertEquals(1, forwards.size(), "the shield is still reachable");
        silenceMs.put(N1, 1000L);
        loop.run(100);
        assertEquals(2, forwards.size());
        assertEquals(N2, forward(1).to());
        respond(0, good("first"));
        respond(1, good("second"));
        assertEquals(200, status());
        clientResponses.clear();
        forwards.clear();
        send(RouteMode.AT_MOST_ONCE);
        loop.run(900);
        assertEquals(1, forwards.size(), "at most once");
    }

    @Test
    void aKeyedRequestIsRetriedUnderItsKey() {
        send(RouteMode.KEYED);
        assertEquals(0, forward(0).request().shard());
        respond(0, silent());
        loop.run(70);
        assertEquals("k", forward(1).request().key());
        respond(1, refused(500));
        loop.run(200);
        respond(2, good("x"));
        assertEquals(200, status());
    }

    @Test
    void aRejectionBecomesUnknownOnceAnAttemptMayHaveBeenSent() {
        send(RouteMode.KEYED);
        respond(0, silent());
        loop.run(70);
        for (int i = 1; i < 20 && clientResponses.isEmpty(); i++) {
            respond(i, refused(500));
            loop.run(300);
        }
        assertEquals(504, status());
        assertEquals(RequestOutcome.UNKNOWN, clientResponses.get(0).fate());
    }

    @Test
    void aRejectionIsReturnedIfNothingWasSent() {
        send(RouteMode.KEYED);
        for (int i = 0; i < 20 && clientResponses.isEmpty(); i++) {
            respond(i, i % 2 == 0 ? unsent() : refused(500));
            loop.run(300);
        }
        assertEquals(503, status());
        assertEquals(RequestOutcome.REFUSED, clientResponses.get(0).fate());
        assertTrue(clientResponses.get(0).retryAfterMs() > 0);
        assertTrue(lastResponseAt < 10_000 + 1200, "before the client times out");
    }

    @Test
    void anUnknownOutcomeAtTheHolderIsReportedAsUnknown() {
        send(RouteMode.KEYED);
        respond(0, filled(RequestOutcome.UNKNOWN, 502, "lost", 0, null));
        assertEquals(504, status());
    }

    @Test
    void aResponseOfAnEarlierHolderIsNotAccepted() {
        send(RouteMode.KEYED);
        putItem(ItemId.PLAN, 2, new PlacementPlan(2, 1, List.of(new PlacementPlan.Assignment("n2", 1, 2))));
        respond(0, silent());
        loop.run(70);
        assertEquals(N2, forward(1).to());
        int forwardCount = 1;
        while (clientResponses.isEmpty()) {
            respond(forwardCount++, good("low token"));
            loop.run(300);
        }
        assertEquals(504, status());
        assertTrue(forwardCount > 2, "the current holder is asked for the recorded outcome");
    }

    /** Guards against keyed requests that are not answered because their shard moved while their origin worked. */
    @Test
    void aKeyedResponseOfAnEarlierHolderIsAskedOfTheCurrentHolder() {
        send(RouteMode.KEYED);
        putItem(ItemId.PLAN, 2, new PlacementPlan(2, 1, List.of(new PlacementPlan.Assignment("n2", 1, 2))));
        send(RouteMode.CACHED);
        respond(0, good("low token"));
        loop.run(100);
        assertEquals(N2, forward(2).to());
        assertEquals(forward(0).request().key(), forward(2).request().key());
        respond(
                2,
                Reply.of(new ForwardResponse(
                        RequestOutcome.DONE,
                        "",
                        200,
                        new FencingToken(1, 2),
                        Map.of(),
                        "recorded".getBytes(StandardCharsets.UTF_8),
                        0,
                        null,
                        0)));
        assertEquals(200, status());
    }

    @Test
    void withAStaleViewOnlyRequestsWithoutALeaseAreForwardedAndOnlyWithoutQuorum() {
        viewFresh = false;
        send(RouteMode.STATUS);
        send(RouteMode.CACHED);
        assertEquals(
                List.of(503, 503),
                clientResponses.stream().map(ClientResponse::status).toList());
        assertEquals(0, forwards.size());
        withoutQuorum = true;
        send(RouteMode.STATUS);
        send(RouteMode.CACHED);
        assertTrue(forward(0).request().passThrough() && forward(1).request().passThrough());
        edge.handle(
                new ClientRequest("GET", "h", "/nowhere/1", null, new byte[0], null, "id", 1200, null, Map.of()),
                clientResponses::add);
        assertEquals(503, clientResponses.get(2).status(), "no 404 without a confirmed view");
    }

    /** Keyed requests need a lease holder; the edge sends other requests to origins itself while no shield is reachable. */
    @Test
    void anEdgeWithoutReachableShieldsSendsReadsToOrigins() {
        final AnsweringOrigins port = new AnsweringOrigins(loop, new ArrayList<>());
        final List<OriginTransport.OutboundRequest> sent = port.sent();
        final Member self = new Member(NodeId.of("e"), Role.EDGE, "z", "127.0.0.1", 1, "b", NodeStatus.READY, "1");
        direct = new OriginDispatcher(
                NodeSettings.builderFor(self).build(),
                loop,
                transport,
                port,
                configuration,
                null,
                new OriginDispatcher.ClusterView(() -> viewFresh, () -> withoutQuorum, List::of, () -> 2),
                journal);
        putItem(
                new ItemId(ItemKind.ORIGIN, "o"),
                1,
                new Origin("s", "10.0.0.1", 80, "o", ServiceKind.OPEN, 0, 0, false, 1, "z", 4, 0));
        send(RouteMode.STATUS);
        loop.run(5);
        assertEquals(1, forwards.size(), "a shield is reachable");
        forwards.clear();
        nearestShields.clear();
        send(RouteMode.STATUS);
        send(RouteMode.CACHED, "bytes=1-2", Map.of("If-None-Match", "\"v1\""));
        loop.run(5);
        assertEquals(
                List.of(200, 206),
                clientResponses.stream().map(ClientResponse::status).toList());
        assertEquals(Map.of("x", "y"), clientResponses.get(0).headers());
        assertEquals(
                List.of("/status/1", "/cached/1"),
                sent.stream().map(OriginTransport.OutboundRequest::path).toList());
        assertEquals(Map.of(), sent.get(1).headers());
        assertEquals("id", sent.get(0).requestId());
        send(RouteMode.KEYED);
        loop.run(1200);
        assertEquals(2, sent.size());
    }

    @Test
    void withoutReachableShieldsReadsAreRejectedImmediately() {
        nearestShields.clear();
        final long startedAt = loop.now();
        send(RouteMode.STATUS);
        send(RouteMode.CACHED);
        assertEquals(
                List.of(503, 503),
                clientResponses.stream().map(ClientResponse::status).toList());
        assertTrue(loop.now() - startedAt < 10);
        send(RouteMode.KEYED);
        loop.run(1200);
        assertEquals(503, clientResponses.get(2).status());
    }

    /** Guards against a shield that runs a request under an older version of the route than the edge used. */
    @Test
    void aForwardCarriesTheRouteVersionAndTheSelectedService() {
        setLatencyTarget(RouteMode.STATUS, 100);
        send(RouteMode.STATUS);
        assertEquals(2L, forward(0).request().routeVersion());
        assertEquals("s", forward(0).request().service());
        respond(0, good("x"));
        viewFresh = false;
        withoutQuorum = true;
        send(RouteMode.STATUS);
        assertEquals(2L, forward(1).request().routeVersion());
        assertNull(forward(1).request().service(), "a view that is not confirmed decides nothing for a shield");
    }

    /** Guards against a request that joins a fill which started before the route changed. */
    @Test
    void aNewerVersionOfTheRouteStartsANewFill() {
        send(RouteMode.CACHED);
        send(RouteMode.CACHED);
        assertEquals(1, forwards.size());
        setLatencyTarget(RouteMode.CACHED, 100);
        send(RouteMode.CACHED);
        assertEquals(2, forwards.size());
        assertEquals(2L, forward(1).request().routeVersion());
    }
}
