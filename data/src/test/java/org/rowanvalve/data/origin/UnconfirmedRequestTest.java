package org.rowanvalve.data.origin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** After a pause of the process: a request whose caller has not said yet whether it still waits. */
class UnconfirmedRequestTest extends CancellationFixture {
    private Order suspendedInTheQueue() {
        service(0);
        origin("a", 1);
        new Order("/1");
        new Order("/2");
        final Order order = new Order("/suspended");
        order.cancellation.suspend();
        sent.get(0).answer(new OriginTransport.Load(1, 0, 1));
        loop.run(5);
        assertEquals(2, sent.size(), "its turn has come, but its caller has not said that it still waits");
        return order;
    }

    @Test
    void oneThatIsUnconfirmedIsSentOnceItsCallerSaysThatItStillWaits() {
        final Order order = suspendedInTheQueue();
        order.cancellation.confirm();
        loop.run(5);
        assertEquals("/suspended", sent.get(2).path);
        assertEquals(0, order.attempts.unused());
    }

    @Test
    void oneThatIsUnconfirmedIsNotSentOnceItsCallerSaysThatItHasLeft() {
        final Order order = suspendedInTheQueue();
        ends.clear();
        order.cancel();
        loop.run(5);
        assertEndedUnsent(order);
        assertEquals(2, sent.size());
    }

    @Test
    void oneThatIsUnconfirmedEndsAtItsDeadline() {
        final Order order = suspendedInTheQueue();
        ends.clear();
        loop.run(3100);
        assertEndedUnsent(order);
        assertEquals(2, sent.size());
    }

    @Test
    void oneThatIsUnconfirmedWhileItsConnectionIsBeingOpenedIsSentOnceItIsConfirmed() {
        service(0);
        origin("a", 4);
        slowConnections = true;
        final Order order = new Order("/1");
        order.cancellation.suspend();
        assertFalse(connecting.get(0).permission.mayWrite(), "asked at the last moment");
        connecting
                .get(0)
                .callback
                .accept(OriginTransport.OriginResponse.without(
                        OriginTransport.ExchangeResult.NOT_PERMITTED, "not permitted"));
        loop.run(5);
        assertEquals(1, connecting.size());
        assertEquals(0, ends.size());
        order.cancellation.confirm();
        loop.run(5);
        assertEquals(2, connecting.size(), "its only origin is not lost to it");
        assertTrue(connecting.get(1).permission.mayWrite());
    }
}
