package org.rowanvalve.data.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.message.OpenForwardsRequest;
import org.rowanvalve.common.model.CancelCause;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.control.config.RouteMode;
import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.data.request.ClientResponse;

/** Clients that disconnect at each stage of their request, and the cancellation of forwards that are no longer needed. */
class LeavingClientsTest extends EdgeFixture {
    private final class Client {
        private final Cancellation cancellation;
        private final List<ClientResponse> responses = new ArrayList<>();

        Client(final RouteMode mode) {
            this(mode, new Cancellation());
        }

        Client(final RouteMode mode, final Cancellation cancellation) {
            this.cancellation = cancellation;
            edge.handle(
                    new ClientRequest(
                            mode == RouteMode.KEYED || mode == RouteMode.AT_MOST_ONCE ? "POST" : "GET",
                            "h",
                            "/" + mode + "/1",
                            mode == RouteMode.KEYED ? "k" : null,
                            new byte[0],
                            null,
                            "id",
                            1200,
                            null,
                            Map.of()),
                    cancellation,
                    responses::add);
            loop.run(1);
        }

        void leave() {
            cancellation.request(CancelCause.CLIENT_LEFT);
            loop.run(1);
        }

        int status() {
            assertEquals(1, responses.size());
            return responses.get(0).status();
        }
    }

    private List<Long> cancelled() {
        return cancels.stream().map(cancel -> cancel.serial()).toList();
    }

    @Test
    void aRepeatableRequestEndsImmediatelyAndIsCancelledAtItsShield() {
        final Client client = new Client(RouteMode.STATUS);
        client.leave();
        assertEquals(503, client.status());
        assertEquals(List.of(forward(0).request().serial()), cancelled());
        assertEquals("boot-1", cancels.get(0).incarnation());
        assertEquals("boot-1", forward(0).request().incarnation());
        assertEquals(CancelCause.CLIENT_LEFT, cancels.get(0).cause());
        assertEquals(0, edge.openRequests());
        assertEquals(
                0, edge.grantAttempts(forward(0).to(), forward(0).request().serial()), "no further attempt is granted");
        respond(0, good("late"));
        loop.run(2000);
        assertEquals(1, forwards.size());
        assertEquals(1, cancels.size());
    }

    @Test
    void nothingIsSentForAClientThatLeftWhileItsRequestWasQueued() {
        final Client before = new Client(RouteMode.STATUS);
        assertEquals(1, forwards.size());
        before.cancellation.announce(CancelCause.CLIENT_LEFT);
        respond(0, refused(500));
        assertEquals(1, forwards.size(), "announced in another thread, and not yet delivered to the event loop");
        final Cancellation gone = new Cancellation();
        gone.announce(CancelCause.CLIENT_LEFT);
        edge.handle(
                new ClientRequest(
                        "GET", "h", "/" + RouteMode.STATUS + "/1", null, null, null, "id", 1200, null, Map.of()),
                gone,
                clientResponses::add);
        assertEquals(1, forwards.size());
        assertEquals(503, status());
    }

    /** The client has closed the connection, but no thread has read the close yet. */
    @Test
    void nothingIsSentForAClientWhoseCloseIsFoundByPolling() {
        final boolean[] closed = {false};
        final Client[] client = {null};
        client[0] = new Client(RouteMode.STATUS, new Cancellation(() -> {
            if (closed[0]) {
                client[0].cancellation.announce(CancelCause.CLIENT_LEFT);
            }
        }));
        assertEquals(List.of(1L), stillWaitedFor());
        closed[0] = true;
        assertEquals(List.of(), stillWaitedFor(), "a shield that queries learns of the close");
        respond(0, refused(500));
        loop.run(2000);
        assertEquals(1, forwards.size());
    }

    private List<Long> stillWaitedFor() {
        return edge.openForwards(new OpenForwardsRequest("boot-1", List.of(1L, 2L, 3L)));
    }

    @Test
    void aShieldLearnsWhichOfItsRequestsAreStillOpen() {
        final Client leads = new Client(RouteMode.CACHED);
        final Client joins = new Client(RouteMode.CACHED);
        new Client(RouteMode.STATUS);
        assertEquals(List.of(1L, 2L), stillWaitedFor());
        leads.leave();
        assertEquals(List.of(1L, 2L), stillWaitedFor(), "a client that joined the fill still waits");
        joins.leave();
        assertEquals(List.of(2L), stillWaitedFor());
        assertEquals(
                List.of(),
                edge.openForwards(new OpenForwardsRequest("boot-0", List.of(2L))),
                "a serial of another incarnation");
        respond(1, good("body"));
        assertEquals(List.of(), stillWaitedFor());
    }

    @Test
    void nothingIsSentForAClientThatLeftBetweenTwoAttempts() {
        final Client client = new Client(RouteMode.CACHED);
        respond(0, refused(300));
        client.leave();
        assertEquals(503, client.status());
        loop.run(2000);
        assertEquals(1, forwards.size());
        assertEquals(List.of(), cancels, "no shield has the request");
    }

    @Test
    void aFillContinuesWhileOneClientWaitsAndIsCancelledWhenAllHaveLeft() {
        final Client leads = new Client(RouteMode.CACHED);
        final Client joins = new Client(RouteMode.CACHED);
        final Client stays = new Client(RouteMode.CACHED);
        leads.leave();
        joins.leave();
        assertEquals(List.of(), cancels);
        respond(0, good("body"));
        assertEquals(200, stays.status());
        assertEquals("body", new String(stays.responses.get(0).body(), java.nio.charset.StandardCharsets.UTF_8));
        final Client alone = new Client(RouteMode.CACHED);
        final Client second = new Client(RouteMode.CACHED);
        assertEquals(2, forwards.size());
        second.leave();
        alone.leave();
        assertEquals(List.of(forward(1).request().serial()), cancelled());
        assertEquals(503, alone.status());
        final Client later = new Client(RouteMode.CACHED);
        assertEquals(3, forwards.size(), "a later request starts a new fill");
        respond(2, good("next"));
        assertEquals(200, later.status());
        assertEquals(0, edge.openRequests());
    }

    @Test
    void aFillWhoseLeaderHasLeftIsRetriedForTheRemainingClients() {
        final Client leads = new Client(RouteMode.CACHED);
        final Client stays = new Client(RouteMode.CACHED);
        leads.leave();
        respond(0, refused(300));
        loop.run(100);
        assertEquals(2, forwards.size());
        respond(1, good("body"));
        assertEquals(200, stays.status());
    }

    /** Only the shield knows whether the request was sent to an origin. */
    @Test
    void anAtMostOnceRequestEndsWithTheOutcomeReportedByItsShield() {
        for (final RouteMode mode : List.of(RouteMode.AT_MOST_ONCE, RouteMode.KEYED)) {
            forwards.clear();
            cancels.clear();
            final Client ran = new Client(mode);
            ran.leave();
            assertEquals(List.of(), ran.responses, "no response claims that the request has not run");
            assertEquals(List.of(forward(0).request().serial()), cancelled());
            respond(0, good("done"));
            assertEquals(200, ran.status());
            final Client unsent = new Client(mode);
            unsent.leave();
            respond(1, refused(500));
            assertEquals(503, unsent.status());
            final Client unknown = new Client(mode);
            unknown.leave();
            respond(2, silent());
            loop.run(2000);
            assertEquals(RequestOutcome.UNKNOWN, unknown.responses.get(0).fate());
            assertEquals(3, forwards.size(), "no other shield is asked");
        }
    }

    @Test
    void aReplacedShieldIsCancelledOnceTheOtherHasAnswered() {
        final Client client = new Client(RouteMode.STATUS);
        silenceMs.put(N1, 700L);
        loop.run(400);
        assertEquals(2, forwards.size(), "another shield receives the request while the first is silent");
        assertEquals(List.of(), cancels);
        respond(1, good("body"));
        assertEquals(200, client.status());
        assertEquals(List.of(forward(0).request().serial()), cancelled());
        assertEquals(CancelCause.ANSWERED, cancels.get(0).cause());
    }

    @Test
    void aShieldThatDidNotAnswerInTimeIsCancelled() {
        new Client(RouteMode.STATUS);
        respond(0, silent());
        assertTrue(cancelled().contains(forward(0).request().serial()));
    }

    @Test
    void aShieldOfAnEarlierReleaseReceivesNoCancellation() {
        takesCancels = false;
        final Client client = new Client(RouteMode.STATUS);
        client.leave();
        assertEquals(503, client.status());
        assertEquals(List.of(), cancels);
    }
}
