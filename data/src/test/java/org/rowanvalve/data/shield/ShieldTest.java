package org.rowanvalve.data.shield;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.CancelRequest;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.ForwardRequest;
import org.rowanvalve.common.message.ForwardResponse;
import org.rowanvalve.common.message.LoadReport;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.OpenForwardsRequest;
import org.rowanvalve.common.message.OpenForwardsResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.CancelCause;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.LeaseTimings;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.NodeStatus;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.common.model.VersionVector;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.config.ConfigurationView;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.config.Route;
import org.rowanvalve.control.config.RouteMode;
import org.rowanvalve.control.config.Service;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.lease.LeaseHolder;
import org.rowanvalve.control.store.ItemStore;
import org.rowanvalve.data.VirtualTimeLoop;
import org.rowanvalve.data.origin.AnsweringOrigins;
import org.rowanvalve.data.origin.OriginDispatch;
import org.rowanvalve.data.origin.OriginDispatcher;
import org.rowanvalve.data.origin.OriginTransport;
import org.rowanvalve.data.routing.ShardRouting;
import org.rowanvalve.data.settings.NodeSettings;

/** Tests how a shield cancels, delays and refuses requests of edges, and the unused attempts that it reports. */
class ShieldTest {
    private static final NodeId EDGE = NodeId.of("edge");
    private final VirtualTimeLoop loop = new VirtualTimeLoop();
    private final EventJournal journal = new EventJournal(loop, 100);
    private final ItemStore items = new ItemStore(loop, journal);
    private final ConfigurationView configuration = new ConfigurationView(items);
    private LongConsumer connectionClosed;
    private final List<Consumer<Reply>> confirmations = new ArrayList<>();
    private final List<OriginTransport.OutboundRequest> sent = new ArrayList<>();
    private final Transport transport = new Transport() {
        @Override
        public void request(final NodeId to, final Message message, final long waitMs, final Consumer<Reply> then) {
            if (message instanceof OpenForwardsRequest) {
                confirmations.add(then);
            }
        }

        @Override
        public void onConnectionClosed(final LongConsumer listener) {
            connectionClosed = listener;
        }
    };
    private final List<ForwardResponse> responses = new ArrayList<>();
    private final NodeSettings settings = NodeSettings.builderFor(
                    new Member(NodeId.of("n1"), Role.SHIELD, "z", "127.0.0.1", 1, "b", NodeStatus.READY, "1"))
            .build();
    private final LeaseHolder leases = new LeaseHolder(
            loop,
            transport,
            items,
            LeaseTimings.DEFAULT,
            journal,
            () -> true,
            List::of,
            (s, reason, g, d) -> d.accept(true));
    private final OriginDispatcher dispatcher = new OriginDispatcher(
            settings,
            loop,
            transport,
            new AnsweringOrigins(loop, sent),
            configuration,
            leases,
            new OriginDispatcher.ClusterView(() -> true, () -> false, List::of, () -> 1),
            journal);
    private boolean viewFresh = true;
    private Long edgeRouteVersion;
    private String edgeService;
    private final Shield shield = new Shield(
            loop, transport, configuration, leases, dispatcher, null, () -> viewFresh, () -> {}, settings, 1 << 20);

    private void route(final RouteMode mode, final long latencyTargetMs) {
        put(new ItemId(ItemKind.SERVICE, "s"), new Service(ServiceKind.OPEN, 0, 1000, 5000, 0, 0, ""));
        put(
                new ItemId(ItemKind.ROUTE, "r"),
                new Route("/", "s", mode, 1000, true, "", "h", List.of(), true, 2000, latencyTargetMs, 0, 3, ""));
    }

    private void put(final ItemId id, final Object body) {
        items.merge(new ChosenItem(Ballot.ZERO, new Item(id, new Version(1), Json.write(body), false, "")));
    }

    private void forward(final VersionVector versions, final boolean passThrough, final Integer attempts) {
        forward(1, Transport.Responder.NO_CONNECTION, versions, passThrough, attempts);
    }

    private void forward(
            final long serial,
            final long connectionId,
            final VersionVector versions,
            final boolean passThrough,
            final Integer attempts) {
        final int shard =
                ShardRouting.shardOf(configuration.routeNamed("r").orElseThrow(), "/x", null, settings.shards(), 1, 0);
        shield.handle(
                EDGE,
                new ForwardRequest(
                        serial,
                        "r",
                        "GET",
                        "h",
                        "/x",
                        shard,
                        FencingToken.ZERO,
                        versions,
                        null,
                        null,
                        null,
                        1500,
                        "id",
                        passThrough,
                        false,
                        Map.of(),
                        attempts,
                        "boot-1",
                        edgeRouteVersion,
                        edgeService),
                new Transport.Responder() {
                    @Override
                    public void accept(final Message message) {
                        responses.add((ForwardResponse) message);
                    }

                    @Override
                    public long connectionId() {
                        return connectionId;
                    }
                });
        loop.run(1);
    }

    private void cancel(final long serial, final String incarnation) {
        shield.cancel(EDGE, new CancelRequest(incarnation, serial, CancelCause.CLIENT_LEFT));
    }

    /** Forwards a request of an edge that knows a purge which this node does not know, so that the request waits. */
    private void forwardBehind(final long serial, final long connectionId) {
        forward(serial, connectionId, new VersionVector(Map.of("p/h.1", 9L)), false, 1);
    }

    /** Guards against requests that are sent to an origin right before the process ends, which breaks them off. */
    @Test
    void aShieldThatIsAboutToEndRefusesRequestsUnsent() {
        route(RouteMode.STATUS, 1600);
        shield.close();
        forward(null, true, 1);
        assertEquals(RequestOutcome.REFUSED, responses.get(0).fate());
        assertEquals(500, responses.get(0).retryAfterMs(), "the edge asks another shield at once");
        assertEquals(List.of(), sent);
    }

    @Test
    void aRequestCancelledWhileItWaitsIsRefusedUnsent() {
        route(RouteMode.STATUS, 1600);
        forwardBehind(1, 0);
        forwardBehind(2, 0);
        cancel(1, "boot-1");
        cancel(1, "boot-1");
        loop.run(60);
        assertEquals(1, responses.size());
        assertEquals(OriginDispatch.CANCELLED, responses.get(0).reason());
        assertEquals(1, responses.get(0).unusedAttempts());
    }

    @Test
    void aRequestCancelledBeforeItArrivesIsRefused() {
        route(RouteMode.STATUS, 1600);
        cancel(1, "boot-1");
        forwardBehind(1, 0);
        assertEquals(OriginDispatch.CANCELLED, responses.get(0).reason());
        forwardBehind(1, 0);
        assertEquals(1, responses.size(), "an early cancel applies to one request only");
    }

    /** Serials start anew with each incarnation of an edge. */
    @Test
    void aCancelOfAnotherIncarnationOfTheEdgeIsIgnored() {
        route(RouteMode.STATUS, 1600);
        cancel(1, "boot-0");
        forwardBehind(1, 0);
        cancel(1, "boot-0");
        loop.run(60);
        assertEquals(0, responses.size());
    }

    @Test
    void requestsAreCancelledWhenTheirConnectionEnds() {
        route(RouteMode.STATUS, 1600);
        forwardBehind(1, 7);
        forwardBehind(2, 8);
        forwardBehind(3, 7);
        connectionClosed.accept(7);
        loop.run(60);
        assertEquals(2, responses.size());
    }

    /**
     * The first message after the pause is another shield's load report, which frees the slot that the requests wait
     * for.
     */
    @Test
    void aRequestThatWaitedThroughAPauseIsSentOnceItsEdgeHasConfirmedIt() {
        final NodeId other = NodeId.of("n2");
        route(RouteMode.STATUS, 1600);
        put(
                new ItemId(ItemKind.ORIGIN, "o"),
                new Origin("s", "10.0.0.1", 80, "o", ServiceKind.OPEN, 0, 0, false, 1, "z", 1, 0));
        dispatcher.onLoadReport(other, new LoadReport(Map.of("o", 9)));
        forward(1, 0, null, true, 1);
        forward(2, 0, null, true, 1);
        assertEquals(2, dispatcher.inFlight());
        loop.pause(1300);
        dispatcher.onLoadReport(other, new LoadReport(Map.of()));
        assertEquals(0, sent.size(), "the edge has not confirmed the requests");
        loop.run(1);
        confirmations.get(0).accept(Reply.of(new OpenForwardsResponse(List.of(2L))));
        loop.run(100);
        assertEquals(1, sent.size());
        assertEquals(
                List.of(RequestOutcome.REFUSED, RequestOutcome.DONE),
                responses.stream().map(ForwardResponse::fate).toList());
    }

    /** Guards against memory growth by cancels of requests that were answered long ago. */
    @Test
    void theNumberOfEarlyCancelsKeptIsBounded() {
        final OpenForwards forwards = new OpenForwards();
        for (int i = 0; i < 3 * OpenForwards.MAX_EARLY_CANCELS; i++) {
            forwards.cancel(new OpenForwards.Id(EDGE, "boot-1", i), CancelCause.ANSWERED, 5);
        }
        assertEquals(OpenForwards.MAX_EARLY_CANCELS, forwards.earlyCancelCount());
        forwards.cancel(
                new OpenForwards.Id(EDGE, "boot-1", -1), CancelCause.ANSWERED, 6 + OpenForwards.EARLY_CANCEL_TTL_MS);
        assertEquals(1, forwards.earlyCancelCount());
    }

    /** The edge knows a purge that this node does not know. */
    @Test
    void aReadWaitsForAnUpdateForAtMostAQuarterOfItsLatencyTarget() {
        route(RouteMode.CACHED, 200);
        forward(new VersionVector(Map.of("p/h.1", 9L)), false, 1);
        loop.run(40);
        assertEquals(0, responses.size(), "the node may still learn of the purge");
        loop.run(60);
        assertEquals("the holder's frame is behind", responses.get(0).reason());
        responses.clear();
        route(RouteMode.STATUS, 200);
        items.merge(new ChosenItem(
                Ballot.ZERO,
                new Item(
                        new ItemId(ItemKind.ROUTE, "r"),
                        new Version(2),
                        Json.write(new Route(
                                "/", "s", RouteMode.STATUS, 0, true, "", "h", List.of(), true, 2000, 200, 0, 3, "")),
                        false,
                        "")));
        forward(new VersionVector(Map.of("p/h.1", 9L)), false, 1);
        loop.run(300);
        assertEquals(0, responses.size(), "requests other than cached reads wait longer");
    }

    private void setRouteService(final String service, final long version) {
        items.merge(new ChosenItem(
                Ballot.ZERO,
                new Item(
                        new ItemId(ItemKind.ROUTE, "r"),
                        new Version(version),
                        Json.write(new Route(
                                "/", service, RouteMode.STATUS, 0, true, "", "h", List.of(), true, 2000, 0, 0, 3, "")),
                        false,
                        "")));
    }

    private void addServiceWithOrigin(final String service) {
        put(new ItemId(ItemKind.SERVICE, service), new Service(ServiceKind.OPEN, 0, 1000, 5000, 0, 0, ""));
        put(
                new ItemId(ItemKind.ORIGIN, "o-" + service),
                new Origin(service, "10.0.0.1", 80, "o-" + service, ServiceKind.OPEN, 0, 0, false, 4, "z", 1, 0));
    }

    /** Guards against a request that is handled by an older version of its route than its edge uses. */
    @Test
    void aRequestWaitsForTheRouteVersionOfItsEdgeAndIsRefusedUnsentWithoutIt() {
        route(RouteMode.STATUS, 0);
        addServiceWithOrigin("s");
        addServiceWithOrigin("t");
        edgeRouteVersion = 2L;
        edgeService = "t";
        forward(null, true, 1);
        loop.run(200);
        setRouteService("t", 2);
        loop.run(100);
        assertEquals(
                List.of("t"),
                sent.stream().map(OriginTransport.OutboundRequest::service).toList());
        edgeRouteVersion = 3L;
        forward(null, true, 1);
        loop.run(450);
        assertEquals("the holder's frame is behind", responses.get(1).reason());
        assertEquals(1, responses.get(1).unusedAttempts());
        viewFresh = false;
        forward(null, true, 1);
        assertEquals(500, responses.get(2).retryAfterMs(), "the edge asks another shield at once");
        assertEquals(1, sent.size());
    }

    /** Guards against an edge that goes back to an older route version because one shield is ahead of another. */
    @Test
    void aRequestUsesTheRouteVersionOfItsEdgeAlthoughThisNodeKnowsANewerOne() {
        route(RouteMode.STATUS, 0);
        addServiceWithOrigin("s");
        addServiceWithOrigin("t");
        setRouteService("t", 2);
        edgeRouteVersion = 1L;
        edgeService = "s";
        forward(null, true, 1);
        edgeService = null;
        forward(null, true, 1);
        edgeService = "removed";
        forward(null, true, 1);
        loop.run(10);
        assertEquals(
                List.of("s", "t", "t"),
                sent.stream().map(OriginTransport.OutboundRequest::service).toList(),
                "this node's own version is used if the edge's view is not confirmed or its service is removed");
    }

    @Test
    void aRequestThatWasNotSentReportsItsAttemptsAsUnused() {
        route(RouteMode.CACHED, 200);
        forward(null, false, 1);
        assertEquals("not the holder", responses.get(0).reason());
        assertEquals(1, responses.get(0).unusedAttempts());
        forward(null, true, 2);
        assertEquals(
                "no origin of the service is known or left to try",
                responses.get(1).reason());
        assertEquals(2, responses.get(1).unusedAttempts());
        forward(null, true, null);
        assertEquals(0, responses.get(2).unusedAttempts(), "an edge that states no attempts has granted none");
    }
}
