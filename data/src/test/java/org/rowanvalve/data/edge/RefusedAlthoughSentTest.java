package org.rowanvalve.data.edge;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.model.CancelCause;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.control.config.Route;
import org.rowanvalve.control.config.RouteMode;
import org.rowanvalve.control.placement.PlacementPlan;
import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.data.request.ClientResponse;

/**
 * Guards against a response "not executed" to a request of which an earlier forward may have reached an origin, and against
 * a second execution of such a request.
 */
class RefusedAlthoughSentTest extends EdgeFixture {
    private final Cancellation client = new Cancellation();
    private final List<ClientResponse> responses = new ArrayList<>();

    private void sendKeyed() {
        edge.handle(
                new ClientRequest(
                        "POST", "h", "/" + RouteMode.KEYED + "/1", "k", new byte[0], null, "id", 1200, null, Map.of()),
                client,
                responses::add);
        loop.run(1);
    }

    private RequestOutcome outcome() {
        assertEquals(1, responses.size(), "answered once");
        return responses.get(0).fate();
    }

    /** The client ends its sending side, which counts as leaving, and still reads the response. */
    @Test
    void clientThatLeavesBetweenTwoForwardsIsNotRefusedIfTheFirstHadNoResponse() {
        sendKeyed();
        respond(0, silent());
        client.request(CancelCause.CLIENT_LEFT);
        loop.run(1);
        assertEquals(RequestOutcome.UNKNOWN, outcome());
    }

    @Test
    void clientThatLeavesAfterALaterUnsentForwardIsNotRefusedIfTheFirstHadNoResponse() {
        sendKeyed();
        respond(0, silent());
        loop.run(100);
        respond(1, unsent());
        client.request(CancelCause.CLIENT_LEFT);
        loop.run(1);
        assertEquals(RequestOutcome.UNKNOWN, outcome());
    }

    /** A holder that refuses a later forward knows nothing of what an earlier holder has sent. */
    @Test
    void clientThatLeavesAfterALaterRefusalIsNotRefusedIfTheFirstHadNoResponse() {
        sendKeyed();
        respond(0, silent());
        loop.run(100);
        respond(1, refused(500));
        client.request(CancelCause.CLIENT_LEFT);
        loop.run(1);
        assertEquals(RequestOutcome.UNKNOWN, outcome());
    }

    @Test
    void clientThatLeavesAfterForwardsThatSentNothingIsRefused() {
        sendKeyed();
        respond(0, unsent());
        client.request(CancelCause.CLIENT_LEFT);
        loop.run(1);
        assertEquals(RequestOutcome.REFUSED, outcome());
    }

    /** Sends a request that may run once, and moves its shard before the response of the first holder is there. */
    private void sendOnceAndMoveTheShard() {
        putItem(
                new ItemId(ItemKind.ROUTE, RouteMode.AT_MOST_ONCE.code()),
                2,
                new Route(
                        "/" + RouteMode.AT_MOST_ONCE + "/",
                        "s",
                        RouteMode.AT_MOST_ONCE,
                        1000,
                        false,
                        "",
                        "h",
                        List.of(),
                        false,
                        2000,
                        0,
                        0,
                        3,
                        ""));
        edge.handle(
                new ClientRequest(
                        "GET", "h", "/" + RouteMode.AT_MOST_ONCE + "/1", null, null, null, "id", 1200, null, Map.of()),
                client,
                responses::add);
        loop.run(1);
        assertEquals(1, forwards.size());
        putItem(ItemId.PLAN, 2, new PlacementPlan(2, 1, List.of(new PlacementPlan.Assignment("n2", 1, 2))));
        send(RouteMode.KEYED);
    }

    /** Guards against answers of the only run that are withheld because the shard moved while the origin worked. */
    @Test
    void answerOfTheOnlyRunIsDeliveredThoughItsHolderIsAnEarlierOne() {
        sendOnceAndMoveTheShard();
        respond(0, good("executed"));
        loop.run(1000);
        assertEquals(2, forwards.size(), "the request itself is not forwarded again");
        assertEquals(RequestOutcome.DONE, outcome());
        assertArrayEquals(
                "executed".getBytes(StandardCharsets.UTF_8), responses.get(0).body());
    }

    /** The response comes from an earlier holder, which sent the request before the edge learned of the next one. */
    @Test
    void requestThatAnEarlierHolderExecutedIsNotForwardedToTheNextHolder() {
        sendOnceAndMoveTheShard();
        respond(0, filled(RequestOutcome.UNKNOWN, 504, "lost", 0, null));
        loop.run(1000);
        assertEquals(2, forwards.size(), "the request itself is not forwarded again");
        assertEquals(RequestOutcome.UNKNOWN, outcome());
    }
}
