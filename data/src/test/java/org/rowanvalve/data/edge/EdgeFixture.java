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

/** An edge on a loop of virtual time, whose shields answer by hand. */
abstract class EdgeFixture {
    static final NodeId N1 = NodeId.of("n1");
    static final NodeId N2 = NodeId.of("n2");
    final VirtualTimeLoop loop = new VirtualTimeLoop();
    final EventJournal journal = new EventJournal(loop, 1000);
    final ItemStore items = new ItemStore(loop, journal);
    final ConfigurationView configuration = new ConfigurationView(items);
    final List<Asked> asked = new ArrayList<>();
    final List<ClientResponse> said = new ArrayList<>();
    final Map<NodeId, Long> silence = new HashMap<>();
    final List<NodeId> near = new ArrayList<>(List.of(N1, N2, NodeId.of("n3"), NodeId.of("n4")));
    boolean fresh = true;
    boolean alone;
    boolean takesCancels = true;
    long heard;
    OriginDispatcher direct;
    final List<CancelRequest> cancels = new ArrayList<>();
    final Transport transport = (recipient, msg, wait, then) -> {
        if (msg instanceof CancelRequest cancel) {
            cancels.add(cancel);
        } else {
            asked.add(new Asked(recipient, (ForwardRequest) msg, then));
        }
    };
    final Edge edge = new Edge(
            loop,
            transport,
            configuration,
            () -> fresh,
            1,
            journal,
            1 << 20,
            new FixedRouting(near, silence) {
                @Override
                public boolean isWithoutQuorum() {
                    return alone;
                }

                @Override
                public OriginDispatcher directDispatcher() {
                    return direct;
                }

                @Override
                public boolean takesCancels(final NodeId id) {
                    return takesCancels;
                }
            },
            "boot-1");

    record Asked(NodeId to, ForwardRequest fill, Consumer<Reply> then) {}

    void put(final ItemId id, final long ver, final Object body) {
        items.merge(new ChosenItem(Ballot.ZERO, new Item(id, new Version(ver), Json.write(body), false, "")));
    }

    @BeforeEach
    void begin() {
        put(new ItemId(ItemKind.SERVICE, "s"), 1, new Service(ServiceKind.OPEN, 0, 1000, 5000, 0, 0, ""));
        for (final RouteMode m : List.of(RouteMode.CACHED, RouteMode.STATUS, RouteMode.KEYED, RouteMode.AT_MOST_ONCE)) {
            put(
                    new ItemId(ItemKind.ROUTE, m.code()),
                    1,
                    new Route("/" + m + "/", "s", m, 1000, true, "", "h", List.of(), true, 2000, 0, 0, 3, ""));
        }
        put(ItemId.PLAN, 1, new PlacementPlan(1, 1, List.of(new PlacementPlan.Assignment("n1", 1, 1))));
    }

    void aim(final RouteMode mode, final long ms) {
        put(
                new ItemId(ItemKind.ROUTE, mode.code()),
                2,
                new Route("/" + mode + "/", "s", mode, 1000, true, "", "h", List.of(), true, 2000, ms, 0, 3, ""));
    }

    void ask(final RouteMode mode, final String range, final Map<String, String> heads) {
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
                        heads),
                response -> {
                    said.add(response);
                    heard = loop.now();
                });
        loop.run(1);
    }

    void ask(final RouteMode mode) {
        ask(mode, null, Map.of());
    }

    Asked at(final int i) {
        return asked.get(i);
    }

    void back(final int i, final Reply reply) {
        at(i).then().accept(reply);
    }

    static Reply filled(
            final RequestOutcome fate, final int status, final String why, final long retry, final VersionVector mark) {
        return Reply.of(new ForwardResponse(
                fate, why, status, new FencingToken(1, 1), Map.of(), why.getBytes(), 0, mark, retry, "s"));
    }

    static Reply good(final String body) {
        return filled(RequestOutcome.DONE, 200, body, 0, null);
    }

    /** A refusal says that the attempt given with the request was not used. */
    static Reply refused(final long retry) {
        return Reply.of(filled(RequestOutcome.REFUSED, 503, "no", retry, null)
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
        assertEquals(1, said.size(), "answered once");
        return said.get(0).status();
    }
}
