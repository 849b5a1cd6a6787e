package org.rowanvalve.data.origin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.model.CancelCause;
import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.limit.AttemptAllowance;

/** Cancellation of a request in each state that it can have at the node that sends it. */
class CancelledRequestTest extends CancellationFixture {
    private String lastPlace() {
        return journal.recent().stream()
                .filter(entry -> entry.event().code() == EventCode.CANCELLED)
                .reduce((a, b) -> b)
                .map(entry -> String.valueOf(entry.event().facts().get("place")))
                .orElse("none");
    }

    @Test
    void requestCancelledWhileWaitingForASlotLeavesTheQueueAtOnce() {
        service(0);
        origin("a", 1);
        final PendingRequest first = new PendingRequest("/1");
        new PendingRequest("/2");
        final PendingRequest waiting = new PendingRequest("/waits");
        new PendingRequest("/stays");
        assertEquals(2, sent.size());
        waiting.cancel();
        assertEndedUnsent(waiting);
        assertEquals("queue", lastPlace());
        assertEquals(3, dispatcher.inFlight());
        sent.get(0).answer(new OriginTransport.Load(1, 0, 1));
        loop.run(5);
        assertEquals("/stays", sent.get(2).path, "the remaining request is next");
        assertEquals(0, first.attempts.unused());
    }

    @Test
    void requestCancelledWhileWaitingForTheRateReleasesItsTurn() {
        service(PACED_RATE);
        origin("a", 0);
        final PendingRequest first = new PendingRequest("/1");
        new PendingRequest("/2");
        assertEquals(0, sent.size());
        assertEquals(2, dispatcher.inFlight());
        first.cancel();
        assertEndedUnsent(first);
        assertEquals(1, dispatcher.inFlight());
        new PendingRequest("/3");
        loop.run(110);
        assertEquals("/3", sent.get(0).path, "sent in the released turn");
        loop.run(50);
        assertEquals(1, sent.size());
        loop.run(50);
        assertEquals("/2", sent.get(1).path);
        loop.run(1000);
        assertEquals(2, sent.size());
    }

    @Test
    void requestCancelledWhileConnectingIsNotSent() {
        service(0);
        origin("a", 4);
        slowConnections = true;
        for (final boolean atMostOnce : new boolean[] {false, true}) {
            ends.clear();
            connecting.clear();
            final PendingRequest pending = new PendingRequest(
                    "/" + atMostOnce,
                    atMostOnce,
                    atMostOnce ? OriginRequest.WhenCancelled.FINISH_SENT : OriginRequest.WhenCancelled.ABORT_SENT);
            pending.cancel();
            assertEndedUnsent(pending);
            assertEquals("connecting", lastPlace());
            assertTrue(connecting.get(0).aborted);
            assertFalse(connecting.get(0).permission.mayWrite(), "checked right before writing");
            assertEquals(0, dispatcher.inFlight());
        }
    }

    @Test
    void cancelledRepeatableRequestAtTheOriginIsAborted() {
        service(0);
        origin("a", 4);
        final PendingRequest pending = new PendingRequest("/1");
        pending.cancel();
        assertTrue(sent.get(0).aborted);
        assertEquals("origin", lastPlace());
        assertTrue(ends.get(0).mayHaveRun(), "the outcome is not reported as not executed");
        assertEquals(0, pending.attempts.unused(), "the attempt remains used");
        assertEquals(0, dispatcher.inFlight());
    }

    @Test
    void cancelledAtMostOnceRequestAtTheOriginContinues() {
        service(0);
        origin("a", 4);
        final PendingRequest pending = new PendingRequest("/1", true, OriginRequest.WhenCancelled.FINISH_SENT);
        pending.cancel();
        assertFalse(sent.get(0).aborted);
        assertEquals(0, ends.size());
        sent.get(0).answer(OriginTransport.Load.NONE);
        assertEquals(
                OriginTransport.ExchangeResult.COMPLETE, ends.get(0).response().result());
    }

    @Test
    void cancelledRequestThatContinuesIsNotRetried() {
        service(0);
        origin("a", 4);
        origin("b", 4);
        final PendingRequest fill = new PendingRequest("/1", false, OriginRequest.WhenCancelled.FINISH_SENT);
        fill.cancel();
        sent.get(0)
                .callback
                .accept(OriginTransport.OriginResponse.failure(OriginTransport.ExchangeResult.LOST, "reset"));
        loop.run(2000);
        assertEquals(1, sent.size());
        assertEquals(1, ends.size());
        assertEquals(0, askedForAttempts.size(), "the edge is not asked for another attempt");
    }

    @Test
    void requestCancelledWhileWaitingForAnAttemptIsNotSentWhenItIsGranted() {
        service(0);
        origin("a", 4);
        origin("b", 4);
        final PendingRequest pending = new PendingRequest("/1");
        sent.get(0)
                .callback
                .accept(OriginTransport.OriginResponse.failure(OriginTransport.ExchangeResult.LOST, "reset"));
        assertEquals(1, askedForAttempts.size());
        pending.cancel();
        assertEquals(1, ends.size());
        assertEquals("attempt", lastPlace());
        askedForAttempts.get(0).accept(1);
        loop.run(100);
        assertEquals(1, sent.size());
        assertEquals(1, pending.attempts.unused(), "the granted attempt is released");
    }

    /** Of two hedged attempts, the one that is still open is aborted when the other is answered. */
    @Test
    void hedgedAttemptIsAbortedOnceTheOtherIsAnswered() {
        service(0);
        origin("a", 4);
        origin("b", 4);
        for (int i = 0; i < 20; i++) {
            new PendingRequest("/earn" + i);
            sent.get(i).answer(OriginTransport.Load.NONE);
        }
        sent.clear();
        new PendingRequest("/1");
        loop.run(400);
        assertEquals(1, askedForAttempts.size(), "no timely response");
        askedForAttempts.get(0).accept(1);
        assertEquals(2, sent.size());
        sent.get(1).answer(OriginTransport.Load.NONE);
        assertTrue(sent.get(0).aborted);
        assertFalse(sent.get(1).aborted);
        assertEquals(0, dispatcher.inFlight());
    }

    @Test
    void slotOfAnAbortedRequestIsTakenUntilTheOriginReportsItsLoad() {
        service(0);
        origin("a", 2);
        final PendingRequest first = new PendingRequest("/1");
        new PendingRequest("/2");
        new PendingRequest("/3");
        assertEquals(3, sent.size(), "one more than the origin has slots");
        first.cancel();
        new PendingRequest("/4");
        assertEquals(3, sent.size(), "the aborted request may still be running at the origin");
        sent.get(1).answer(new OriginTransport.Load(1, 0, 2));
        loop.run(5);
        assertEquals(4, sent.size(), "the reported load shows that the aborted request has ended");
    }

    @Test
    void slotOfAnAbortedRequestIsFreeOnceItsWorkWouldHaveEnded() {
        service(0);
        origin("a", 1);
        new PendingRequest("/measured");
        loop.run(149);
        sent.get(0).answer(OriginTransport.Load.NONE);
        final PendingRequest first = new PendingRequest("/1");
        new PendingRequest("/2");
        first.cancel();
        new PendingRequest("/3");
        loop.run(100);
        assertEquals(3, sent.size());
        loop.run(100);
        assertEquals("/3", sent.get(3).path);
    }

    @Test
    void requestCancelledBeforeItsStartIsNotSent() {
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
