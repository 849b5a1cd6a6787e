package org.rowanvalve.data.origin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.CancelCause;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.LeaseTimings;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.NodeStatus;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.config.ConfigurationView;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.config.Service;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.lease.LeaseHolder;
import org.rowanvalve.control.store.ItemStore;
import org.rowanvalve.data.VirtualTimeLoop;
import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.limit.AttemptAllowance;
import org.rowanvalve.data.settings.NodeSettings;

/** A request whose response nobody waits for any more, wherever it waits or is worked on at the node that sends it. */
class CancelledRequestTest {
    /** Of which this node has a tenth: one request each 100 ms. */
    private static final double PACED_RATE = 100;

    private final VirtualTimeLoop loop = new VirtualTimeLoop();
    private final EventJournal journal = new EventJournal(loop, 1000);
    private final ItemStore items = new ItemStore(loop, journal);
    private final ConfigurationView configuration = new ConfigurationView(items);
    private final Transport transport = (recipient, msg, wait, then) -> {};
    private final List<Sent> sent = new ArrayList<>();
    private final List<Connecting> connecting = new ArrayList<>();
    private final List<OriginDispatcher.Completion> ends = new ArrayList<>();
    private final List<IntConsumer> askedForAttempts = new ArrayList<>();
    private boolean slowConnections;
    private final OriginDispatcher dispatcher = dispatcher();

    /** A request whose bytes have left. */
    private static final class Sent implements OriginTransport.Exchange {
        private final String origin;
        private final String path;
        private final Consumer<OriginTransport.OriginResponse> callback;
        private boolean aborted;

        Sent(final String origin, final String path, final Consumer<OriginTransport.OriginResponse> callback) {
            this.origin = origin;
            this.path = path;
            this.callback = callback;
        }

        @Override
        public void abort() {
            aborted = true;
        }

        void answer(final OriginTransport.Load load) {
            callback.accept(new OriginTransport.OriginResponse(
                    OriginTransport.ExchangeResult.COMPLETE, 200, Map.of(), new byte[0], "", List.of(), load));
        }
    }

    /** A connection that is being opened for a request. */
    private final class Connecting implements OriginTransport.Exchange {
        private final OriginTransport.Permission permission;
        private final Consumer<OriginTransport.OriginResponse> callback;
        private boolean aborted;

        Connecting(
                final OriginTransport.Permission permission, final Consumer<OriginTransport.OriginResponse> callback) {
            this.permission = permission;
            this.callback = callback;
        }

        @Override
        public void abort() {
            aborted = true;
        }
    }

    private OriginDispatcher dispatcher() {
        final Member self = new Member(NodeId.of("me"), Role.SHIELD, "z", "127.0.0.1", 1, "b", NodeStatus.READY, "1");
        final OriginTransport origins = new OriginTransport() {
            @Override
            public Exchange send(
                    final Origin origin,
                    final OutboundRequest request,
                    final Permission permission,
                    final Consumer<OriginResponse> callback) {
                if (slowConnections) {
                    connecting.add(new Connecting(permission, callback));
                    return connecting.get(connecting.size() - 1);
                }
                if (!permission.mayWrite()) {
                    callback.accept(OriginResponse.without(ExchangeResult.NOT_PERMITTED, "not permitted"));
                    return () -> {};
                }
                sent.add(new Sent(origin.instance(), request.path(), callback));
                return sent.get(sent.size() - 1);
            }

            @Override
            public String error(final Origin origin, final OutboundRequest request, final OriginResponse response) {
                return "";
            }
        };
        final LeaseHolder leases = new LeaseHolder(
                loop,
                transport,
                items,
                LeaseTimings.DEFAULT,
                journal,
                () -> true,
                List::of,
                (s, g, d) -> d.accept(true));
        return new OriginDispatcher(
                NodeSettings.builderFor(self).retryLimits(0.2, 60).build(),
                loop,
                transport,
                origins,
                configuration,
                leases,
                new OriginDispatcher.Surroundings(() -> true, () -> true, List::of, () -> 1),
                journal);
    }

    private void put(final ItemKind kind, final String name, final Object body) {
        items.merge(new ChosenItem(
                Ballot.ZERO, new Item(new ItemId(kind, name), new Version(1), Json.write(body), false, "")));
    }

    private void service(final double rateLimit) {
        put(ItemKind.SERVICE, "s", new Service(ServiceKind.OPEN, 0, 1000, 5000, rateLimit, 0, ""));
    }

    private void origin(final String name, final int slots) {
        put(
                ItemKind.ORIGIN,
                name,
                new Origin("s", "10.0.0.1", 80, name, ServiceKind.OPEN, 0, 0, false, 1, "z", slots, 0));
    }

    private final class Order {
        private final Cancellation cancellation = new Cancellation();
        private final AttemptAllowance attempts;

        Order(final String path, final boolean atMostOnce, final OriginRequest.WhenCancelled whenCancelled) {
            attempts = AttemptAllowance.of(1, askedForAttempts::add);
            dispatcher.send(
                    new OriginRequest(
                            OriginRequest.NO_SHARD,
                            new OriginTransport.OutboundRequest("s", "GET", path, "id" + path, null, null, null, 0),
                            atMostOnce,
                            loop.now() + 3000,
                            0,
                            attempts,
                            false,
                            cancellation,
                            whenCancelled),
                    ends::add);
            loop.run(1);
        }

        Order(final String path) {
            this(path, false, OriginRequest.WhenCancelled.ABORT_SENT);
        }

        void cancel() {
            cancellation.request(CancelCause.CLIENT_LEFT);
        }
    }

    private String lastPlace() {
        return journal.recent().stream()
                .filter(entry -> entry.event().code() == EventCode.CANCELLED)
                .reduce((a, b) -> b)
                .map(entry -> String.valueOf(entry.event().facts().get("place")))
                .orElse("none");
    }

    private void assertEndedUnsent(final Order order) {
        assertEquals(1, ends.size());
        assertFalse(ends.get(0).mayHaveRun());
        assertEquals(1, order.attempts.unused(), "its attempt comes back");
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
