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

/** Clients that leave, wherever their request is at the edge, and shields whose response nobody waits for. */
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
    void aRepeatableRequestEndsAtOnceAndIsTakenBackFromItsShield() {
        final Client client = new Client(RouteMode.STATUS);
        client.leave();
        assertEquals(503, client.status());
        assertEquals(List.of(at(0).fill().serial()), cancelled());
        assertEquals("boot-1", cancels.get(0).incarnation());
        assertEquals("boot-1", at(0).fill().incarnation());
        assertEquals(CancelCause.CLIENT_LEFT, cancels.get(0).cause());
        assertEquals(0, edge.openRequests());
        assertEquals(0, edge.grantAttempts(at(0).to(), at(0).fill().serial()), "no further attempt is granted");
        back(0, good("late"));
        loop.run(2000);
        assertEquals(1, asked.size());
        assertEquals(1, cancels.size());
    }

    @Test
    void nothingIsSentForAClientThatLeftWhileItsRequestWasInTheQueue() {
        final Client before = new Client(RouteMode.STATUS);
        assertEquals(1, asked.size());
        before.cancellation.announce(CancelCause.CLIENT_LEFT);
        back(0, refused(500));
        assertEquals(1, asked.size(), "announced in another thread, and not heard of yet");
        final Cancellation gone = new Cancellation();
        gone.announce(CancelCause.CLIENT_LEFT);
        edge.handle(
                new ClientRequest(
                        "GET", "h", "/" + RouteMode.STATUS + "/1", null, null, null, "id", 1200, null, Map.of()),
                gone,
                said::add);
        assertEquals(1, asked.size());
        assertEquals(503, status());
    }

    /** The connection holds the close, and no thread has read it yet. */
    @Test
    void nothingIsSentForAClientWhoseCloseIsFoundOnlyWhenItIsLookedFor() {
        final boolean[] closed = {false};
        final Client[] client = {null};
        client[0] = new Client(RouteMode.STATUS, new Cancellation(() -> {
            if (closed[0]) {
                client[0].cancellation.announce(CancelCause.CLIENT_LEFT);
            }
        }));
        assertEquals(List.of(1L), stillWaitedFor());
        closed[0] = true;
        assertEquals(List.of(), stillWaitedFor(), "a shield that asks is told");
        back(0, refused(500));
        loop.run(2000);
        assertEquals(1, asked.size());
    }

    private List<Long> stillWaitedFor() {
        return edge.openForwards(new OpenForwardsRequest("boot-1", List.of(1L, 2L, 3L)));
    }

    @Test
    void aShieldIsToldWhichOfItsRequestsAreStillWaitedFor() {
        final Client leads = new Client(RouteMode.CACHED);
        final Client joins = new Client(RouteMode.CACHED);
        new Client(RouteMode.STATUS);
        assertEquals(List.of(1L, 2L), stillWaitedFor());
        leads.leave();
        assertEquals(List.of(1L, 2L), stillWaitedFor(), "one who joined waits");
        joins.leave();
        assertEquals(List.of(2L), stillWaitedFor());
        assertEquals(List.of(), edge.openForwards(new OpenForwardsRequest("boot-0", List.of(2L))), "of another start");
        back(1, good("body"));
        assertEquals(List.of(), stillWaitedFor());
    }

    @Test
    void nothingIsSentForAClientThatLeftBetweenTwoTries() {
        final Client client = new Client(RouteMode.CACHED);
        back(0, refused(300));
        client.leave();
        assertEquals(503, client.status());
        loop.run(2000);
        assertEquals(1, asked.size());
        assertEquals(List.of(), cancels, "no shield has it");
    }

    @Test
    void aFillGoesOnWhileOneWaitsForItAndIsTakenBackWhenAllHaveLeft() {
        final Client leads = new Client(RouteMode.CACHED);
        final Client joins = new Client(RouteMode.CACHED);
        final Client stays = new Client(RouteMode.CACHED);
        leads.leave();
        joins.leave();
        assertEquals(List.of(), cancels);
        back(0, good("body"));
        assertEquals(200, stays.status());
        assertEquals("body", new String(stays.responses.get(0).body(), java.nio.charset.StandardCharsets.UTF_8));
        final Client alone = new Client(RouteMode.CACHED);
        final Client second = new Client(RouteMode.CACHED);
        assertEquals(2, asked.size());
        second.leave();
        alone.leave();
        assertEquals(List.of(at(1).fill().serial()), cancelled());
        assertEquals(503, alone.status());
        final Client later = new Client(RouteMode.CACHED);
        assertEquals(3, asked.size(), "who comes then begins a fill of its own");
        back(2, good("next"));
        assertEquals(200, later.status());
        assertEquals(0, edge.openRequests());
    }

    @Test
    void aFillWhoseLeaderHasLeftIsTriedAgainForThoseWhoStay() {
        final Client leads = new Client(RouteMode.CACHED);
        final Client stays = new Client(RouteMode.CACHED);
        leads.leave();
        back(0, refused(300));
        loop.run(100);
        assertEquals(2, asked.size());
        back(1, good("body"));
        assertEquals(200, stays.status());
    }

    /** Only the shield knows whether it was sent. */
    @Test
    void aRequestThatMayRunOnceEndsWithWhatItsShieldSaysOfIt() {
        for (final RouteMode mode : List.of(RouteMode.AT_MOST_ONCE, RouteMode.KEYED)) {
            asked.clear();
            cancels.clear();
            final Client ran = new Client(mode);
            ran.leave();
            assertEquals(List.of(), ran.responses, "nobody claims that it has not run");
            assertEquals(List.of(at(0).fill().serial()), cancelled());
            back(0, good("done"));
            assertEquals(200, ran.status());
            final Client unsent = new Client(mode);
            unsent.leave();
            back(1, refused(500));
            assertEquals(503, unsent.status());
            final Client unknown = new Client(mode);
            unknown.leave();
            back(2, silent());
            loop.run(2000);
            assertEquals(RequestOutcome.UNKNOWN, unknown.responses.get(0).fate());
            assertEquals(3, asked.size(), "no other shield is asked");
        }
    }

    @Test
    void aShieldThatWasReplacedIsToldOnceTheOtherHasAnswered() {
        final Client client = new Client(RouteMode.STATUS);
        silence.put(N1, 700L);
        loop.run(400);
        assertEquals(2, asked.size(), "another shield while the first is silent");
        assertEquals(List.of(), cancels);
        back(1, good("body"));
        assertEquals(200, client.status());
        assertEquals(List.of(at(0).fill().serial()), cancelled());
        assertEquals(CancelCause.ANSWERED, cancels.get(0).cause());
    }

    @Test
    void aShieldThatDidNotAnswerInTimeIsTold() {
        new Client(RouteMode.STATUS);
        back(0, silent());
        assertTrue(cancelled().contains(at(0).fill().serial()));
    }

    @Test
    void aShieldOfAnEarlierReleaseIsNotTold() {
        takesCancels = false;
        final Client client = new Client(RouteMode.STATUS);
        client.leave();
        assertEquals(503, client.status());
        assertEquals(List.of(), cancels);
    }
}
