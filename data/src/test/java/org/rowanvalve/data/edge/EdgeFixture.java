package org.rowanvalve.data.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.CancelRequest;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.ForwardRequest;
import org.rowanvalve.common.message.ForwardResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.common.model.VersionVector;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.config.ConfigurationView;
import org.rowanvalve.control.config.Route;
import org.rowanvalve.control.config.RouteMode;
import org.rowanvalve.control.config.Service;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.placement.PlacementPlan;
import org.rowanvalve.control.store.ItemStore;
import org.rowanvalve.data.VirtualTimeLoop;
import org.rowanvalve.data.origin.OriginDispatcher;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.data.request.ClientResponse;

/** An edge on a virtual-time event loop. The test itself supplies the responses of the shields. */
abstract class EdgeFixture {
    static final NodeId N1 = NodeId.of("n1");
    static final NodeId N2 = NodeId.of("n2");
    final VirtualTimeLoop loop = new VirtualTimeLoop();
    final EventJournal journal = new EventJournal(loop, 1000);
    final ItemStore items = new ItemStore(loop, journal);
    final ConfigurationView configuration = new ConfigurationView(items);
    final List<SentForward> forwards = new ArrayList<>();
    final List<ClientResponse> clientResponses = new ArrayList<>();
    final Map<NodeId, Long> silenceMs = new HashMap<>();
    final List<NodeId> nearestShields = new ArrayList<>(List.of(N1, N2, NodeId.of("n3"), NodeId.of("n4")));
    boolean viewFresh = true;
    boolean withoutQuorum;
    boolean takesCancels = true;
    long lastResponseAt;
    OriginDispatcher direct;
    final List<CancelRequest> cancels = new ArrayList<>();
    final Transport transport = (recipient, msg, wait, callback) -> {
        if (msg instanceof CancelRequest cancel) {
            cancels.add(cancel);
        } else {
            forwards.add(new SentForward(recipient, (ForwardRequest) msg, callback));
        }
    };
    final Edge edge = new Edge(
            loop,
            transport,
            configuration,
            () -> viewFresh,
            1,
            journal,
            1 << 20,
            new FixedRouting(nearestShields, silenceMs) {
                @Override
                public boolean isWithoutQuorum() {
                    return withoutQuorum;
                }

                @Override
                public OriginDispatcher directDispatcher() {
                    return direct;
                }

                @Override
                public boolean supportsCancel(final NodeId id) {
                    return takesCancels;
                }
            },
            "boot-1");

    record SentForward(NodeId to, ForwardRequest request, Consumer<Reply> callback) {}

    void putItem(final ItemId id, final long version, final Object body) {
        items.merge(new ChosenItem(Ballot.ZERO, new Item(id, new Version(version), Json.write(body), false, "")));
    }

    @BeforeEach
    void begin() {
        putItem(new ItemId(ItemKind.SERVICE, "s"), 1, new Service(ServiceKind.OPEN, 0, 1000, 5000, 0, 0, ""));
        for (final RouteMode m : List.of(RouteMode.CACHED, RouteMode.STATUS, RouteMode.KEYED, RouteMode.AT_MOST_ONCE)) {
            putItem(
                    new ItemId(ItemKind.ROUTE, m.code()),
                    1,
                    new Route("/" + m + "/", "s", m, 1000, true, "", "h", List.of(), true, 2000, 0, 0, 3, ""));
        }
        putItem(ItemId.PLAN, 1, new PlacementPlan(1, 1, List.of(new PlacementPlan.Assignment("n1", 1, 1))));
    }

    void setLatencyTarget(final RouteMode mode, final long ms) {
        putItem(
                new ItemId(ItemKind.ROUTE, mode.code()),
                2,
                new Route("/" + mode + "/", "s", mode, 1000, true, "", "h", List.of(), true, 2000, ms, 0, 3, ""));
    }

    void send(final RouteMode mode, final String range, final Map<String, String> headers) {
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
                        range,
                        headers),
                response -> {
                    clientResponses.add(response);
                    lastResponseAt = loop.now();
                });
        loop.run(1);
    }

    void send(final RouteMode mode) {
        send(mode, null, Map.of());
    }

    SentForward forward(final int i) {
        return forwards.get(i);
    }

    void respond(final int i, final Reply reply) {
        forward(i).callback().accept(reply);
    }

    static Reply filled(
            final RequestOutcome fate,
            final int status,
            final String reason,
            final long retryAfterMs,
            final VersionVector versions) {
        return Reply.of(new ForwardResponse(
                fate,
                reason,
                status,
                new FencingToken(1, 1),
                Map.of(),
                reason.getBytes(),
                0,
                versions,
                retryAfterMs,
                "s"));
    }

    static Reply good(final String body) {
        return filled(RequestOutcome.DONE, 200, body, 0, null);
    }

    /** A rejection which reports that the attempt reserved for the shield was not used. */
    static Reply refused(final long retryAfterMs) {
        return Reply.of(filled(RequestOutcome.REFUSED, 503, "no", retryAfterMs, null)
                .as(ForwardResponse.class)
                .orElseThrow()
                .withUnusedAttempts(1));
    }

    static Reply silent() {
        return Reply.failed(Reply.Failure.NO_RESPONSE);
    }

    static Reply unsent() {
        return Reply.failed(Reply.Failure.NOT_SENT);
    }

    int status() {
        assertEquals(1, clientResponses.size(), "answered once");
        return clientResponses.get(0).status();
    }
}
