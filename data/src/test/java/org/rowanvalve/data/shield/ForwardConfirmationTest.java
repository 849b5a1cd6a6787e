package org.rowanvalve.data.shield;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.message.OpenForwardsRequest;
import org.rowanvalve.common.message.OpenForwardsResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.CancelCause;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.data.VirtualTimeLoop;
import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.cancel.PauseMonitor;

/** Guards against requests that are sent after a pause although a cancel that arrived meanwhile is still unread. */
class ForwardConfirmationTest {
    private static final NodeId EDGE = NodeId.of("edge");
    private static final long PAUSE_MS = 1300;
    private final VirtualTimeLoop loop = new VirtualTimeLoop();
    private final List<Query> queries = new ArrayList<>();
    private final PauseMonitor pauses = new PauseMonitor(loop);
    private final OpenForwards openForwards = new OpenForwards();
    private final ForwardConfirmation confirmation = new ForwardConfirmation(
            loop,
            (to, message, waitMs, callback) -> queries.add(new Query(to, (OpenForwardsRequest) message, callback)),
            pauses,
            openForwards);

    private record Query(NodeId to, OpenForwardsRequest request, Consumer<Reply> callback) {
        void respond(final Long... open) {
            callback.accept(Reply.of(new OpenForwardsResponse(List.of(open))));
        }

        void fail() {
            callback.accept(Reply.failed(Reply.Failure.NO_RESPONSE));
        }

        List<Long> serials() {
            return request.serials().stream().sorted().toList();
        }
    }

    private Cancellation open(final NodeId edge, final String incarnation, final long serial) {
        final Cancellation cancellation = new Cancellation(pauses::check);
        final OpenForwards.Id id = new OpenForwards.Id(edge, incarnation, serial);
        openForwards.open(id, cancellation, 0, loop.now());
        confirmation.onOpen(id, cancellation);
        return cancellation;
    }

    private Cancellation open(final long serial) {
        return open(EDGE, "boot-1", serial);
    }

    private static void assertStanding(final Cancellation.State expected, final Cancellation... cancellations) {
        for (final Cancellation cancellation : cancellations) {
            assertEquals(expected, cancellation.poll());
        }
    }

    @Test
    void noEdgeIsAskedWithoutAPause() {
        final Cancellation request = open(1);
        loop.run(5000);
        assertStanding(Cancellation.State.WANTED, request);
        loop.pause(200);
        assertStanding(Cancellation.State.WANTED, request);
        loop.run(5000);
        assertEquals(0, queries.size());
    }

    /** The poll right before a send detects the pause even if no other job has run since. */
    @Test
    void afterAPauseRequestsAreUnconfirmedUntilTheirEdgeResponds() {
        final Cancellation confirmed = open(1);
        final Cancellation cancelled = open(2);
        final Cancellation ofOtherEdge = open(NodeId.of("edge-2"), "boot-7", 1);
        loop.run(400);
        loop.pause(PAUSE_MS);
        assertStanding(Cancellation.State.UNCONFIRMED, confirmed, cancelled, ofOtherEdge);
        loop.run(1);
        assertEquals(2, queries.size(), "one query for each edge");
        final Query query = queries.get(0).to().equals(EDGE) ? queries.get(0) : queries.get(1);
        assertEquals(List.of(1L, 2L), query.serials());
        assertEquals("boot-1", query.request().incarnation());
        query.respond(1L);
        assertStanding(Cancellation.State.WANTED, confirmed);
        assertStanding(Cancellation.State.CANCELLED, cancelled);
        assertStanding(Cancellation.State.UNCONFIRMED, ofOtherEdge);
    }

    @Test
    void requestsReadSoonAfterAPauseAreUnconfirmed() {
        loop.run(400);
        loop.pause(PAUSE_MS);
        loop.run(300);
        final List<Cancellation> read =
                IntStream.rangeClosed(1, 20).mapToObj(this::open).toList();
        read.forEach(request -> assertStanding(Cancellation.State.UNCONFIRMED, request));
        loop.run(1);
        assertEquals(1, queries.size(), "one query for all requests read at a time");
        loop.run(PauseMonitor.CATCH_UP_MS);
        assertStanding(Cancellation.State.WANTED, open(21));
    }

    @Test
    void anEdgeThatDoesNotRespondIsAskedAgainAndThenCountsAsDisconnected() {
        final Cancellation request = open(1);
        final Cancellation answered = open(2);
        loop.run(400);
        loop.pause(PAUSE_MS);
        loop.run(1);
        openForwards.close(new OpenForwards.Id(EDGE, "boot-1", 2));
        queries.get(0).fail();
        loop.run(150);
        assertEquals(List.of(1L), queries.get(1).serials(), "answered requests are left out");
        assertStanding(Cancellation.State.UNCONFIRMED, request);
        for (int i = 1; i < queries.size() && i < 100; i++) {
            queries.get(i).fail();
            loop.run(150);
        }
        assertEquals(CancelCause.EDGE_DISCONNECTED, request.cause());
        assertStanding(Cancellation.State.UNCONFIRMED, answered);
    }

    /** The request may have been cancelled between the response and the end of the second pause. */
    @Test
    void aResponseFromBeforeASecondPauseIsIgnored() {
        final Cancellation request = open(1);
        loop.run(400);
        loop.pause(PAUSE_MS);
        loop.run(1);
        loop.pause(PAUSE_MS);
        queries.get(0).respond(1L);
        assertStanding(Cancellation.State.UNCONFIRMED, request);
        loop.run(1);
        queries.get(1).respond(1L);
        assertStanding(Cancellation.State.WANTED, request);
    }

    @Test
    void anEdgeOfAnEarlierReleaseIsNotAsked() {
        final Cancellation request = open(EDGE, null, 1);
        loop.run(400);
        loop.pause(PAUSE_MS);
        assertStanding(Cancellation.State.WANTED, request);
        loop.run(1);
        assertEquals(0, queries.size());
    }

    private static Fill.Waiter waiter(final Cancellation cancellation) {
        return new Fill.Waiter(new ForwardedRequest(null, null, cancellation, 0), 0, response -> {});
    }

    @Test
    void aFillIsConfirmedOnceOneOfItsRequestsIsConfirmed() {
        final Cancellation query = open(1);
        final Cancellation second = open(2);
        final Fill fill = new Fill("/x", null, 0);
        fill.join(waiter(query));
        fill.join(waiter(second));
        loop.run(400);
        loop.pause(PAUSE_MS);
        assertStanding(Cancellation.State.UNCONFIRMED, fill.cancellation());
        final List<String> settled = new ArrayList<>();
        fill.cancellation().onSettled(() -> settled.add("settled"));
        loop.run(1);
        query.request(CancelCause.CLIENT_LEFT);
        assertEquals(List.of(), settled, "the second request may still wait");
        queries.get(0).respond(2L);
        assertEquals(List.of("settled"), settled);
        assertStanding(Cancellation.State.WANTED, fill.cancellation());
        second.request(CancelCause.CLIENT_LEFT);
        assertStanding(Cancellation.State.CANCELLED, fill.cancellation());
    }
}
