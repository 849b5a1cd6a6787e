package org.rowanvalve.data.origin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.model.CancelCause;
import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.limit.AttemptAllowance;

/** A request whose response nobody waits for any more, wherever it waits or is worked on at the node that sends it. */
class CancelledRequestTest extends CancellationFixture {
    private String lastPlace() {
        return journal.recent().stream()
                .filter(entry -> entry.event().code() == EventCode.CANCELLED)
                .reduce((a, b) -> b)
                .map(entry -> String.valueOf(entry.event().facts().get("place")))
                .orElse("none");
    }

    @Test
    void oneThatWaitsForASlotLeavesTheQueueAtOnce() {
        service(0);
        origin("a", 1);
        final Order first = new Order("/1");
        new Order("/2");
        final Order waits = new Order("/waits");
        new Order("/stays");
        assertEquals(2, sent.size());
        waits.cancel();
        assertEndedUnsent(waits);
        assertEquals("queue", lastPlace());
        assertEquals(3, dispatcher.inFlight());
        sent.get(0).answer(new OriginTransport.Load(1, 0, 1));
        loop.run(5);
        assertEquals("/stays", sent.get(2).path, "who stays is next");
        assertEquals(0, first.attempts.unused());
    }

    @Test
    void oneThatWaitsForItsPaceGivesItsPlaceToTheNext() {
        service(PACED_RATE);
        origin("a", 0);
        final Order first = new Order("/1");
        new Order("/2");
        assertEquals(0, sent.size());
        assertEquals(2, dispatcher.inFlight());
        first.cancel();
        assertEndedUnsent(first);
        assertEquals(1, dispatcher.inFlight());
        new Order("/3");
        loop.run(110);
        assertEquals("/3", sent.get(0).path, "in the place that was given back");
        loop.run(50);
        assertEquals(1, sent.size());
        loop.run(50);
        assertEquals("/2", sent.get(1).path);
        loop.run(1000);
        assertEquals(2, sent.size());
    }

    @Test
    void oneWhoseConnectionIsBeingOpenedIsNotSent() {
        service(0);
        origin("a", 4);
        slowConnections = true;
        for (final boolean atMostOnce : new boolean[] {false, true}) {
            ends.clear();
            connecting.clear();
            final Order order = new Order(
                    "/" + atMostOnce,
                    atMostOnce,
                    atMostOnce ? OriginRequest.WhenCancelled.FINISH_SENT : OriginRequest.WhenCancelled.ABORT_SENT);
            order.cancel();
            assertEndedUnsent(order);
            assertEquals("connecting", lastPlace());
            assertTrue(connecting.get(0).aborted);
            assertFalse(connecting.get(0).permission.mayWrite(), "asked at the last moment");
            assertEquals(0, dispatcher.inFlight());
        }
    }

    @Test
    void oneThatIsRepeatableAndAtItsOriginIsAborted() {
        service(0);
        origin("a", 4);
        final Order order = new Order("/1");
        order.cancel();
        assertTrue(sent.get(0).aborted);
        assertEquals("origin", lastPlace());
        assertTrue(ends.get(0).mayHaveRun(), "nobody claims that it has not run");
        assertEquals(0, order.attempts.unused(), "its attempt stays used");
        assertEquals(0, dispatcher.inFlight());
    }

    @Test
    void oneThatMayRunOnceAndIsAtItsOriginGoesOn() {
        service(0);
        origin("a", 4);
        final Order order = new Order("/1", true, OriginRequest.WhenCancelled.FINISH_SENT);
        order.cancel();
        assertFalse(sent.get(0).aborted);
        assertEquals(0, ends.size());
        sent.get(0).answer(OriginTransport.Load.NONE);
        assertEquals(
                OriginTransport.ExchangeResult.COMPLETE, ends.get(0).response().result());
    }

    @Test
    void whatGoesOnIsNotSentOnceMore() {
        service(0);
        origin("a", 4);
        origin("b", 4);
        final Order fill = new Order("/1", false, OriginRequest.WhenCancelled.FINISH_SENT);
        fill.cancel();
        sent.get(0)
                .callback
                .accept(OriginTransport.OriginResponse.without(OriginTransport.ExchangeResult.LOST, "reset"));
        loop.run(2000);
        assertEquals(1, sent.size());
        assertEquals(1, ends.size());
        assertEquals(0, askedForAttempts.size(), "its edge is not asked for a further attempt");
    }

    @Test
    void oneThatWaitsForAFurtherAttemptIsNotSentWhenItIsGranted() {
        service(0);
        origin("a", 4);
        origin("b", 4);
        final Order order = new Order("/1");
        sent.get(0)
                .callback
                .accept(OriginTransport.OriginResponse.without(OriginTransport.ExchangeResult.LOST, "reset"));
        assertEquals(1, askedForAttempts.size());
        order.cancel();
        assertEquals(1, ends.size());
        assertEquals("attempt", lastPlace());
        askedForAttempts.get(0).accept(1);
        loop.run(100);
        assertEquals(1, sent.size());
        assertEquals(1, order.attempts.unused(), "the granted one comes back");
    }

    /** A hedged attempt ends when its twin has answered, and the other way round. */
    @Test
    void theTwinOfAnAnsweredAttemptIsAborted() {
        service(0);
        origin("a", 4);
        origin("b", 4);
        for (int i = 0; i < 20; i++) {
            new Order("/earn" + i);
            sent.get(i).answer(OriginTransport.Load.NONE);
        }
        sent.clear();
        new Order("/1");
        loop.run(400);
        assertEquals(1, askedForAttempts.size(), "no answer for long");
        askedForAttempts.get(0).accept(1);
        assertEquals(2, sent.size());
        sent.get(1).answer(OriginTransport.Load.NONE);
        assertTrue(sent.get(0).aborted);
        assertFalse(sent.get(1).aborted);
        assertEquals(0, dispatcher.inFlight());
    }

    @Test
    void theSlotOfAnAbortedRequestCountsAsTakenUntilTheOriginTellsItsLoad() {
        service(0);
        origin("a", 2);
        final Order first = new Order("/1");
        new Order("/2");
        new Order("/3");
        assertEquals(3, sent.size(), "one more than its slots");
        first.cancel();
        new Order("/4");
        assertEquals(3, sent.size(), "it may still be at work there");
        sent.get(1).answer(new OriginTransport.Load(1, 0, 2));
        loop.run(5);
        assertEquals(4, sent.size(), "it is not");
    }

    @Test
    void theSlotOfAnAbortedRequestIsFreeOnceItsWorkWouldHaveEnded() {
        service(0);
        origin("a", 1);
        new Order("/measured");
        loop.run(149);
        sent.get(0).answer(OriginTransport.Load.NONE);
        final Order first = new Order("/1");
        new Order("/2");
        first.cancel();
        new Order("/3");
        loop.run(100);
        assertEquals(3, sent.size());
        loop.run(100);
        assertEquals("/3", sent.get(3).path);
    }

    @Test
    void whatWasCancelledBeforeItBeganIsNotSent() {
        service(0);
        origin("a", 4);
        final Cancellation cancellation = new Cancellation();
        cancellation.request(CancelCause.CLIENT_LEFT);
        dispatcher.send(
                new OriginRequest(
                        OriginRequest.NO_SHARD,
                        new OriginTransport.OutboundRequest("s", "GET", "/1", "id", null, null, null, 0),
                        false,
                        loop.now() + 3000,
                        0,
                        AttemptAllowance.of(1),
                        false,
                        cancellation,
                        OriginRequest.WhenCancelled.ABORT_SENT),
                ends::add);
        loop.run(10);
        assertEquals(0, sent.size());
        assertFalse(ends.get(0).mayHaveRun());
    }
}
