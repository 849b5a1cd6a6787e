package org.rowanvalve.data.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.AttemptGrantRequest;
import org.rowanvalve.common.message.AttemptGrantResponse;
import org.rowanvalve.common.message.CancelRequest;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.ForwardRequest;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.Ballot;
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
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.config.ConfigurationView;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.config.Route;
import org.rowanvalve.control.config.RouteMode;
import org.rowanvalve.control.config.Service;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.lease.LeaseHolder;
import org.rowanvalve.control.placement.PlacementPlan;
import org.rowanvalve.control.store.ItemStore;
import org.rowanvalve.data.VirtualTimeLoop;
import org.rowanvalve.data.origin.OriginDispatcher;
import org.rowanvalve.data.origin.OriginTransport;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.data.request.ClientResponse;
import org.rowanvalve.data.settings.NodeSettings;
import org.rowanvalve.data.shield.Shield;

/** Checks the number of origins that one request reaches, with an edge, three real shields and message faults. */
class RequestAttemptsTest {
    private static final int SHIELDS = 3;
    private static final int ORIGINS = 6;
    private final VirtualTimeLoop loop = new VirtualTimeLoop();
    private final EventJournal journal = new EventJournal(loop, 1000);
    private final ItemStore items = new ItemStore(loop, journal);
    private final ConfigurationView configuration = new ConfigurationView(items);
    private final Map<NodeId, Shield> shields = new TreeMap<>();
    private final Map<NodeId, Long> silence = new HashMap<>();
    private final Map<String, List<String>> arrivals = new HashMap<>();
    private final Map<String, Integer> mayHaveRun = new HashMap<>();
    private final List<ClientResponse> responses = new ArrayList<>();
    private Random random = new Random(0);
    private final Edge edge;
    private OriginTransport.ExchangeResult[] ends = {};
    /** Percentage of messages that are not sent. */
    private int unsent;

    /** Percentage of responses that are lost. */
    private int lost;

    /** Percentage of messages that are delivered late. */
    private int late;

    RequestAttemptsTest() {
        for (int i = 1; i <= SHIELDS; i++) {
            shields.put(NodeId.of("n" + i), shield("n" + i));
        }
        edge = new Edge(
                loop,
                this::transmit,
                configuration,
                () -> true,
                1,
                journal,
                1 << 20,
                new FixedRouting(shields.keySet(), silence),
                "boot-1");
    }

    private Shield shield(final String name) {
        final Transport toEdge = (recipient, msg, wait, then) -> {
            if (msg instanceof AttemptGrantRequest m) {
                final Consumer<Reply> once = once(then);
                loop.schedule(wait, () -> once.accept(Reply.failed(Reply.Failure.NO_RESPONSE)));
                deliverWithFaults(
                        () -> respond(new AttemptGrantResponse(edge.grantAttempts(NodeId.of(name), m.serial())), once),
                        () -> once.accept(Reply.failed(Reply.Failure.NOT_SENT)));
            }
        };
        final LeaseHolder leases = new LeaseHolder(
                loop,
                toEdge,
                items,
                LeaseTimings.DEFAULT,
                journal,
                () -> true,
                List::of,
                (s, reason, g, d) -> d.accept(true));
        final NodeSettings settings = NodeSettings.builderFor(
                        new Member(NodeId.of(name), Role.SHIELD, "z", "127.0.0.1", 1, "b", NodeStatus.READY, "1"))
                .retryLimits(100, 100_000)
                .build();
        final OriginDispatcher dispatcher = new OriginDispatcher(
                settings,
                loop,
                toEdge,
                new Origins(),
                configuration,
                leases,
                new OriginDispatcher.ClusterView(() -> true, () -> false, List::of, () -> 1),
                journal);
        return new Shield(
                loop, toEdge, configuration, leases, dispatcher, null, () -> true, () -> {}, settings, 1 << 20);
    }

    private static <T> Consumer<T> once(final Consumer<T> then) {
        final boolean[] called = {false};
        return x -> {
            if (!called[0]) {
                called[0] = true;
                then.accept(x);
            }
        };
    }

    /** Delivers a message in time, late or not at all. */
    private void deliverWithFaults(final Runnable deliver, final Runnable notSent) {
        final int roll = random.nextInt(100);
        if (roll < unsent) {
            loop.schedule(1, notSent);
        } else {
            loop.schedule(roll < unsent + late ? random.nextInt(1500) : 1, deliver);
        }
    }

    private void respond(final Message msg, final Consumer<Reply> then) {
        if (random.nextInt(100) >= lost) {
            loop.schedule(1, () -> then.accept(Reply.of(msg)));
        } else if (random.nextBoolean()) {
            loop.schedule(random.nextInt(500), () -> then.accept(Reply.failed(Reply.Failure.NO_RESPONSE)));
        }
    }

    private void deliver(final Shield shield, final Message msg, final Consumer<Reply> then) {
        if (msg instanceof CancelRequest cancel) {
            shield.cancel(NodeId.of("edge"), cancel);
        } else {
            shield.handle(NodeId.of("edge"), (ForwardRequest) msg, m -> respond(m, then));
        }
    }

    private void transmit(final NodeId recipient, final Message msg, final long wait, final Consumer<Reply> then) {
        final Consumer<Reply> once = once(then);
        loop.schedule(wait, () -> once.accept(Reply.failed(Reply.Failure.NO_RESPONSE)));
        deliverWithFaults(
                () -> deliver(shields.get(recipient), msg, once),
                () -> once.accept(Reply.failed(Reply.Failure.NOT_SENT)));
    }

    /** Origins whose ends are drawn; silence where none is given. */
    private final class Origins implements OriginTransport {
        @Override
        public Exchange send(
                final Origin origin,
                final OutboundRequest request,
                final Permission gate,
                final Consumer<OriginResponse> then) {
            final ExchangeResult end = ends.length == 0 ? null : ends[random.nextInt(ends.length)];
            final boolean[] cut = {false};
            if (!gate.mayWrite()) {
                then.accept(OriginResponse.failure(ExchangeResult.NOT_PERMITTED, "barred"));
                return () -> {};
            }
            if (end != ExchangeResult.NOT_SENT) {
                arrivals.computeIfAbsent(request.requestId(), k -> new ArrayList<>())
                        .add(origin.instance());
            }
            if (end == null
                    || end == ExchangeResult.COMPLETE
                    || end == ExchangeResult.LOST
                    || end == ExchangeResult.INVALID) {
                mayHaveRun.merge(request.requestId(), 1, Integer::sum);
            }
            if (end == null) {
                loop.schedule(request.timeoutMs(), () -> {
                    if (!cut[0]) {
                        then.accept(OriginResponse.failure(ExchangeResult.LOST, "no answer in time"));
                    }
                });
            } else {
                loop.schedule(
                        1 + random.nextInt(400),
                        () -> then.accept(
                                end == ExchangeResult.COMPLETE
                                        ? new OriginResponse(end, 200, Map.of(), new byte[0], "")
                                        : OriginResponse.failure(end, end.name())));
            }
            return () -> cut[0] = true;
        }

        @Override
        public String error(final Origin origin, final OutboundRequest sent, final OriginResponse response) {
            return "";
        }
    }

    private void put(final ItemId id, final Object body) {
        items.merge(new ChosenItem(Ballot.ZERO, new Item(id, new Version(1), Json.write(body), false, "")));
    }

    private void configure(final int tries) {
        put(new ItemId(ItemKind.SERVICE, "s"), new Service(ServiceKind.OPEN, 0, 1000, 5000, 0, 0, ""));
        for (final RouteMode m : List.of(RouteMode.CACHED, RouteMode.STATUS, RouteMode.AT_MOST_ONCE)) {
            put(
                    new ItemId(ItemKind.ROUTE, m.code()),
                    new Route("/" + m + "/", "s", m, 1000, true, "", "h", List.of(), true, 4000, 400, 0, tries, ""));
        }
        put(ItemId.PLAN, new PlacementPlan(1, 1, List.of(new PlacementPlan.Assignment("n1", 1, 1))));
        for (int i = 0; i < ORIGINS; i++) {
            put(
                    new ItemId(ItemKind.ORIGIN, "o" + i),
                    new Origin("s", "10.0.0.1", 80, "o" + i, ServiceKind.OPEN, 0, 0, false, 1, "z", 4, 0));
        }
    }

    private void send(final RouteMode mode, final String id) {
        final String method = mode == RouteMode.AT_MOST_ONCE ? "POST" : "GET";
        edge.handle(
                new ClientRequest(
                        method, "h", "/" + mode + "/" + id, null, new byte[0], null, id, 3000, null, Map.of()),
                responses::add);
    }

    private int attemptCount(final String id) {
        return arrivals.getOrDefault(id, List.of()).size();
    }

    /** Guards against attempts counted per shield: with two attempts allowed, two shields once made two attempts each. */
    @Test
    void afterAShieldFallsSilentTheNextOneGetsOnlyTheUnreservedAttempts() {
        configure(3);
        ends = new OriginTransport.ExchangeResult[] {OriginTransport.ExchangeResult.COMPLETE};
        silence.put(NodeId.of("n1"), 1000L);
        send(RouteMode.STATUS, "earns its shield extra attempts");
        loop.run(500);
        silence.clear();
        responses.clear();
        ends = new OriginTransport.ExchangeResult[0];
        send(RouteMode.STATUS, "a");
        loop.run(100);
        assertEquals(1, attemptCount("a"));
        silence.put(NodeId.of("n1"), 1000L);
        loop.run(3000);
        assertEquals(3, attemptCount("a"), arrivals.toString());
        assertEquals(1, responses.size());
    }

    @Test
    void aShieldMakesOnlyTheFurtherAttemptsThatTheEdgeGrants() {
        configure(3);
        send(RouteMode.STATUS, "a");
        loop.run(3500);
        assertEquals(3, attemptCount("a"), "one more attempt after each attempt without a response");
        ends = new OriginTransport.ExchangeResult[] {OriginTransport.ExchangeResult.NOT_EXECUTED};
        send(RouteMode.STATUS, "b");
        loop.run(3500);
        assertEquals(3, arrivals.get("b").size());
        send(RouteMode.AT_MOST_ONCE, "c");
        loop.run(3500);
        assertEquals(3, arrivals.get("c").size());
        assertEquals(RequestOutcome.REFUSED, responses.get(2).fate());
    }

    @Test
    void withoutRemainingAttemptsNoOtherShieldIsUsed() {
        configure(1);
        send(RouteMode.STATUS, "a");
        silence.put(NodeId.of("n1"), 1000L);
        loop.run(3500);
        assertEquals(1, attemptCount("a"));
        assertEquals(504, responses.get(0).status());
    }

    @Test
    void onlyTheShieldThatReceivedTheRequestIsGrantedAttempts() {
        configure(3);
        send(RouteMode.STATUS, "a");
        final NodeId n1 = NodeId.of("n1");
        assertEquals(0, edge.grantAttempts(NodeId.of("n2"), 1));
        assertEquals(0, edge.grantAttempts(n1, 99));
        assertEquals(1, edge.grantAttempts(n1, 1));
        assertEquals(1, edge.grantAttempts(n1, 1));
        assertEquals(0, edge.grantAttempts(n1, 1));
        loop.run(3500);
        assertEquals(0, edge.grantAttempts(n1, 1), "the request has ended");
    }

    /** Runs with lost, late and unsent messages, shields that fall silent and recover, and all results of origins. */
    @Test
    void noRequestExceedsTheAttemptsOfItsRouteAndNoAtMostOnceRequestRunsTwice() {
        int reached = 0;
        int several = 0;
        for (int seed = 0; seed < 200; seed++) {
            final RequestAttemptsTest one = new RequestAttemptsTest();
            one.random = new Random(seed);
            final int tries = 1 + seed % 4;
            one.runRandomRequests(tries);
            for (final Map.Entry<String, List<String>> entry : one.arrivals.entrySet()) {
                final int sent = entry.getValue().size();
                assertTrue(sent <= tries, "seed " + seed + ": " + entry.getKey() + " " + entry.getValue());
                reached++;
                several += sent > 1 ? 1 : 0;
            }
            for (final Map.Entry<String, ClientResponse> entry : one.responsesByRequest.entrySet()) {
                if (entry.getKey().startsWith(RouteMode.AT_MOST_ONCE.code())) {
                    final int ran = one.mayHaveRun.getOrDefault(entry.getKey(), 0);
                    assertTrue(ran <= 1, "seed " + seed + ": " + entry.getKey());
                    assertFalse(
                            ran > 0 && entry.getValue().fate() == RequestOutcome.REFUSED,
                            "seed " + seed + ": refused, and has run: " + entry.getKey());
                }
            }
        }
        assertTrue(reached > 2000 && several > 500, reached + " reached an origin, " + several + " several times");
    }

    private final Map<String, ClientResponse> responsesByRequest = new TreeMap<>();

    private void runRandomRequests(final int tries) {
        configure(tries);
        final OriginTransport.ExchangeResult[] results = {
            OriginTransport.ExchangeResult.COMPLETE,
            OriginTransport.ExchangeResult.COMPLETE,
            OriginTransport.ExchangeResult.NOT_SENT,
            OriginTransport.ExchangeResult.NOT_EXECUTED,
            OriginTransport.ExchangeResult.LOST,
            OriginTransport.ExchangeResult.INVALID,
            null
        };
        ends = new OriginTransport.ExchangeResult[4];
        for (int i = 0; i < ends.length; i++) {
            ends[i] = results[random.nextInt(results.length)];
        }
        unsent = random.nextInt(30);
        lost = random.nextInt(40);
        late = random.nextInt(40);
        final List<RouteMode> modes = List.of(RouteMode.STATUS, RouteMode.AT_MOST_ONCE, RouteMode.CACHED);
        final Set<String> open = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            final RouteMode mode = modes.get(random.nextInt(modes.size()));
            final String id = mode.code() + i;
            final String method = mode == RouteMode.AT_MOST_ONCE ? "POST" : "GET";
            open.add(id);
            edge.handle(
                    new ClientRequest(
                            method, "h", "/" + mode + "/" + id, null, new byte[0], null, id, 3000, null, Map.of()),
                    response -> {
                        assertTrue(open.remove(id), "answered once: " + id);
                        responsesByRequest.put(id, response);
                    });
            silence.put(NodeId.of("n" + (1 + random.nextInt(SHIELDS))), random.nextBoolean() ? 1000L : 0L);
            loop.run(random.nextInt(300));
        }
        loop.run(20_000);
        assertEquals(Set.of(), open, "each is answered");
    }
}
