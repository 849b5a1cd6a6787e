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

/** Guards against requests that are sent after a pause, before what took them back has been read. */
class ForwardConfirmationTest {
    private static final NodeId EDGE = NodeId.of("edge");
    private static final long PAUSE_MS = 1300;
    private final VirtualTimeLoop loop = new VirtualTimeLoop();
    private final List<Asked> asked = new ArrayList<>();
    private final PauseMonitor pauses = new PauseMonitor(loop);
    private final OpenForwards openForwards = new OpenForwards();
    private final ForwardConfirmation confirmation = new ForwardConfirmation(
            loop,
            (to, message, waitMs, then) -> asked.add(new Asked(to, (OpenForwardsRequest) message, then)),
            pauses,
            openForwards);

    private record Asked(NodeId to, OpenForwardsRequest request, Consumer<Reply> then) {
        void answer(final Long... open) {
            then.accept(Reply.of(new OpenForwardsResponse(List.of(open))));
        }

        void fail() {
            then.accept(Reply.failed(Reply.Failure.NO_RESPONSE));
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

    private static void assertStanding(final Cancellation.Standing expected, final Cancellation... all) {
        for (final Cancellation one : all) {
            assertEquals(expected, one.poll());
        }
    }

    @Test
    void withoutAPauseNobodyIsAsked() {
        final Cancellation request = open(1);
        loop.run(5000);
        assertStanding(Cancellation.Standing.WANTED, request);
        loop.pause(200);
        assertStanding(Cancellation.Standing.WANTED, request);
        loop.run(5000);
        assertEquals(0, asked.size());
    }

    /** Nothing else need have run since: the check right before the send sees the pause. */
    @Test
    void afterAPauseNoneIsWantedUntilItsEdgeHasSaidSo() {
        final Cancellation stays = open(1);
        final Cancellation left = open(2);
        final Cancellation other = open(NodeId.of("edge-2"), "boot-7", 1);
        loop.run(400);
        loop.pause(PAUSE_MS);
        assertStanding(Cancellation.Standing.UNCONFIRMED, stays, left, other);
        loop.run(1);
        assertEquals(2, asked.size(), "one question for each edge");
        final Asked first = asked.get(0).to().equals(EDGE) ? asked.get(0) : asked.get(1);
        assertEquals(List.of(1L, 2L), first.serials());
        assertEquals("boot-1", first.request().incarnation());
        first.answer(1L);
        assertStanding(Cancellation.Standing.WANTED, stays);
        assertStanding(Cancellation.Standing.CANCELLED, left);
        assertStanding(Cancellation.Standing.UNCONFIRMED, other);
    }

    @Test
    void whatIsReadSoonAfterAPauseMayBeOldToo() {
        loop.run(400);
        loop.pause(PAUSE_MS);
        loop.run(300);
        final List<Cancellation> read =
                IntStream.rangeClosed(1, 20).mapToObj(this::open).toList();
        read.forEach(request -> assertStanding(Cancellation.Standing.UNCONFIRMED, request));
        loop.run(1);
        assertEquals(1, asked.size(), "one question for all that was read at a time");
        loop.run(PauseMonitor.CATCH_UP_MS);
        assertStanding(Cancellation.Standing.WANTED, open(21));
    }

    @Test
    void anEdgeThatDoesNotAnswerIsAskedAgainAndThenCountsAsGone() {
        final Cancellation request = open(1);
        final Cancellation answered = open(2);
        loop.run(400);
        loop.pause(PAUSE_MS);
        loop.run(1);
        openForwards.close(new OpenForwards.Id(EDGE, "boot-1", 2));
        asked.get(0).fail();
        loop.run(150);
        assertEquals(List.of(1L), asked.get(1).serials(), "what was answered meanwhile is of no interest");
        assertStanding(Cancellation.Standing.UNCONFIRMED, request);
        for (int i = 1; i < asked.size() && i < 100; i++) {
            asked.get(i).fail();
            loop.run(150);
        }
        assertEquals(CancelCause.EDGE_DISCONNECTED, request.cause());
        assertStanding(Cancellation.Standing.UNCONFIRMED, answered);
    }

    /** Its request may have been taken back between the answer and the end of the second pause. */
    @Test
    void anAnswerFromBeforeASecondPauseDoesNotCount() {
        final Cancellation request = open(1);
        loop.run(400);
        loop.pause(PAUSE_MS);
        loop.run(1);
        loop.pause(PAUSE_MS);
        asked.get(0).answer(1L);
        assertStanding(Cancellation.Standing.UNCONFIRMED, request);
        loop.run(1);
        asked.get(1).answer(1L);
        assertStanding(Cancellation.Standing.WANTED, request);
    }

    @Test
    void anEdgeOfAnEarlierReleaseIsNotAsked() {
        final Cancellation request = open(EDGE, null, 1);
        loop.run(400);
        loop.pause(PAUSE_MS);
        assertStanding(Cancellation.Standing.WANTED, request);
        loop.run(1);
        assertEquals(0, asked.size());
    }

    private static Fill.Waiter waiter(final Cancellation cancellation) {
        return new Fill.Waiter(new ForwardedRequest(null, null, cancellation), 0, response -> {});
    }

    @Test
    void aFillIsWantedOnceOneWhoJoinedItIsKnownToWait() {
        final Cancellation first = open(1);
        final Cancellation second = open(2);
        final Fill fill = new Fill("/x", null);
        fill.join(waiter(first));
        fill.join(waiter(second));
        loop.run(400);
        loop.pause(PAUSE_MS);
        assertStanding(Cancellation.Standing.UNCONFIRMED, fill.cancellation());
        final List<String> settled = new ArrayList<>();
        fill.cancellation().onSettled(() -> settled.add("settled"));
        loop.run(1);
        first.request(CancelCause.CLIENT_LEFT);
        assertEquals(List.of(), settled, "the second may wait");
        asked.get(0).answer(2L);
        assertEquals(List.of("settled"), settled);
        assertStanding(Cancellation.Standing.WANTED, fill.cancellation());
        second.request(CancelCause.CLIENT_LEFT);
        assertStanding(Cancellation.Standing.CANCELLED, fill.cancellation());
    }
}
