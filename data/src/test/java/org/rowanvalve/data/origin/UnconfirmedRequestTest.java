package org.rowanvalve.data.origin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Requests whose callers have not yet confirmed, after a pause of the process, that they still wait. */
class UnconfirmedRequestTest extends CancellationFixture {
    private PendingRequest suspendedInTheQueue() {
        service(0);
        origin("a", 1);
        new PendingRequest("/1");
        new PendingRequest("/2");
        final PendingRequest pending = new PendingRequest("/suspended");
        pending.cancellation.suspend();
        sent.get(0).answer(new OriginTransport.Load(1, 0, 1));
        loop.run(5);
        assertEquals(2, sent.size(), "the turn has come, but the caller has not confirmed that it still waits");
        return pending;
    }

    @Test
    void unconfirmedRequestIsSentOnceItsCallerConfirmsIt() {
        final PendingRequest pending = suspendedInTheQueue();
        pending.cancellation.confirm();
        loop.run(5);
        assertEquals("/suspended", sent.get(2).path);
        assertEquals(0, pending.attempts.unused());
    }

    @Test
    void unconfirmedRequestIsNotSentOnceItsCallerCancelsIt() {
        final PendingRequest pending = suspendedInTheQueue();
        ends.clear();
        pending.cancel();
        loop.run(5);
        assertEndedUnsent(pending);
        assertEquals(2, sent.size());
    }

    @Test
    void unconfirmedRequestEndsAtItsDeadline() {
        final PendingRequest pending = suspendedInTheQueue();
        ends.clear();
        loop.run(3100);
        assertEndedUnsent(pending);
        assertEquals(2, sent.size());
    }

    @Test
    void requestUnconfirmedWhileConnectingIsSentOnceItIsConfirmed() {
        service(0);
        origin("a", 4);
        slowConnections = true;
        final PendingRequest pending = new PendingRequest("/1");
        pending.cancellation.suspend();
        assertFalse(connecting.get(0).permission.mayWrite(), "checked right before writing");
        connecting
                .get(0)
                .callback
                .accept(OriginTransport.OriginResponse.failure(
                        OriginTransport.ExchangeResult.NOT_PERMITTED, "not permitted"));
        loop.run(5);
        assertEquals(1, connecting.size());
        assertEquals(0, ends.size());
        pending.cancellation.confirm();
        loop.run(5);
        assertEquals(2, connecting.size(), "the only origin is tried again");
        assertTrue(connecting.get(1).permission.mayWrite());
    }
}
