package org.rowanvalve.data.origin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.LoadReport;
import org.rowanvalve.common.model.Ballot;
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
import org.rowanvalve.data.settings.NodeSettings;

/** Slots, the wait queue and the limits on retries. */
class OriginDispatcherTest {
    private final VirtualTimeLoop loop = new VirtualTimeLoop();
    private final EventJournal journal = new EventJournal(loop, 1000);
    private final ItemStore items = new ItemStore(loop, journal);
    private final ConfigurationView configuration = new ConfigurationView(items);
    private final Transport transport = (recipient, message, timeout, callback) -> {};
    private final List<String> sent = new ArrayList<>();
    private final List<Consumer<OriginTransport.OriginResponse>> open = new ArrayList<>();
    private final Map<String, OriginTransport.OriginResponse> responses = new HashMap<>();
    private final List<OriginDispatcher.Completion> ends = new ArrayList<>();
    private final List<NodeId> peers = new ArrayList<>();
    private boolean fresh = true;
    private boolean withoutQuorum;
    private final OriginDispatcher dispatcher = sender(0.2, 60);

    private OriginDispatcher sender(final double ratio, final double slack) {
        return sender(ratio, slack, Role.SHIELD);
    }

    private OriginDispatcher sender(final double ratio, final double slack, final Role role) {
        final Member self = new Member(NodeId.of("me"), role, "z", "127.0.0.1", 1, "b", NodeStatus.READY, "1");
        final OriginTransport originTransport = (origin, request, permission, callback) -> {
            if (!permission.mayWrite()) {
                callback.accept(
                        OriginTransport.OriginResponse.failure(OriginTransport.ExchangeResult.NOT_PERMITTED, "barred"));
                return () -> {};
            }
            sent.add(origin.instance() + " " + request.path());
            final OriginTransport.OriginResponse response = responses.get(origin.instance());
            if (response != null) {
                loop.execute(() -> callback.accept(response));
            } else {
                open.add(callback);
            }
            return () -> {};
        };
        final OriginTransport withoutValidation = new OriginTransport() {
            @Override
            public Exchange send(
                    final Origin origin,
                    final OutboundRequest request,
                    final Permission permission,
                    final Consumer<OriginResponse> callback) {
                return originTransport.send(origin, request, permission, callback);
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
                (shard, reason, grace, done) -> done.accept(true));
        return new OriginDispatcher(
                NodeSettings.builderFor(self).retryLimits(ratio, slack).build(),
                loop,
                transport,
                withoutValidation,
                configuration,
                leases,
                new OriginDispatcher.ClusterView(() -> fresh, () -> withoutQuorum, () -> peers, () -> 11),
                journal);
    }

    private void put(final ItemKind kind, final String name, final long version, final Object body) {
        items.merge(new ChosenItem(
                Ballot.ZERO, new Item(new ItemId(kind, name), new Version(version), Json.write(body), false, "")));
    }

    private void service(final double rateLimit) {
        put(ItemKind.SERVICE, "s", 1, new Service(ServiceKind.OPEN, 0, 1000, 5000, rateLimit, 0, ""));
    }

    private void origin(final String name, final int slots) {
        put(
                ItemKind.ORIGIN,
                name,
                1,
                new Origin("s", "10.0.0.1", 80, name, ServiceKind.OPEN, 0, 0, false, 1, "z", slots, 0));
    }

    private static OriginTransport.OriginResponse completeResponse() {
        return new OriginTransport.OriginResponse(
                OriginTransport.ExchangeResult.COMPLETE, 200, Map.of(), new byte[0], "");
    }

    private OriginRequest originRequest(
            final String path,
            final boolean atMostOnce,
            final int priority,
            final int maxAttempts,
            final long timeoutMs) {
        return new OriginRequest(
                OriginRequest.NO_SHARD,
                new OriginTransport.OutboundRequest("s", "GET", path, "id" + path, null, null, null, 0),
                atMostOnce,
                loop.now() + timeoutMs,
                priority,
                maxAttempts,
                false);
    }

    private void send(final OriginDispatcher sender, final OriginRequest request) {
        sender.send(request, ends::add);
        loop.run(1);
    }

    private void send(final String path) {
        send(dispatcher, originRequest(path, false, 0, 3, 2000));
    }

    @Test
    void requestsWithoutAFreeSlotWaitByPriority() {
        service(0);
        origin("a", 1);
        send("/1");
        send("/2");
        assertEquals(List.of("a /1", "a /2"), sent, "one more than the origin has slots");
        send(dispatcher, originRequest("/low", false, 5, 3, 2000));
        send(dispatcher, originRequest("/high", false, 1, 3, 2000));
        send(dispatcher, originRequest("/high2", false, 1, 3, 2000));
        assertEquals(2, sent.size());
        assertEquals(5, dispatcher.inFlight());
        for (int i = 0; i < 5; i++) {
            open.get(i).accept(completeResponse());
            loop.run(1);
        }
        assertEquals(List.of("a /1", "a /2", "a /high", "a /high2", "a /low"), sent);
        assertEquals(5, ends.size());
        assertEquals(0, dispatcher.inFlight());
    }

    @Test
    void requestWhoseTurnWouldComeTooLateIsRejectedAtOnce() {
        service(0);
        origin("a", 1);
        send("/1");
        send("/2");
        send(dispatcher, originRequest("/soon", false, 0, 3, 100));
        assertEquals(1, ends.size(), "not queued until the deadline");
        assertFalse(ends.get(0).mayHaveRun());
        assertEquals(
                OriginTransport.ExchangeResult.NOT_SENT, ends.get(0).response().result());
        assertTrue(ends.get(0).retryAfterMs() >= 250 && ends.get(0).retryAfterMs() <= 1000);
        send(dispatcher, originRequest("/later", false, 0, 3, 700));
        assertEquals(1, ends.size());
        loop.run(700);
        assertEquals(
                2,
                ends.stream()
                        .filter(e -> e.response().reason().equals("every origin is busy"))
                        .count(),
                "the remaining time is too short for a response");
    }

    @Test
    void requestsOfOtherShieldsTakeSlots() {
        service(0);
        origin("a", 1);
        peers.add(NodeId.of("n2"));
        dispatcher.onLoadReport(NodeId.of("n2"), new LoadReport(Map.of("a", 2)));
        send("/1");
        assertEquals(List.of(), sent);
        dispatcher.onLoadReport(NodeId.of("n2"), new LoadReport(Map.of()));
        loop.run(1);
        assertEquals(List.of("a /1"), sent);
    }

    /**
     * A queued request that waits for another origin than the one with a free slot must not keep the dispatcher
     * looping over the queue.
     */
    @Test
    void freeSlotAtAnOriginAlreadyTriedCausesNoEndlessLoop() {
        service(0);
        origin("a", 2);
        origin("b", 2);
        responses.put("a", OriginTransport.OriginResponse.failure(OriginTransport.ExchangeResult.NOT_EXECUTED, "full"));
        dispatcher.onLoadReport(NodeId.of("n2"), new LoadReport(Map.of("b", 4)));
        for (int i = 0; i < 10; i++) {
            responses.put("a", completeResponse());
            send("/earn" + i);
        }
        ends.clear();
        responses.put("a", OriginTransport.OriginResponse.failure(OriginTransport.ExchangeResult.NOT_EXECUTED, "full"));
        assertTimeoutPreemptively(Duration.ofSeconds(10), () -> send("/1"));
        assertEquals("a /1", sent.get(sent.size() - 1));
        assertEquals(0, ends.size(), "the request waits for the other origin");
        responses.put("b", completeResponse());
        assertTimeoutPreemptively(
                Duration.ofSeconds(10), () -> dispatcher.onLoadReport(NodeId.of("n2"), new LoadReport(Map.of())));
        loop.run(1);
        assertEquals("b /1", sent.get(sent.size() - 1));
        assertEquals(
                OriginTransport.ExchangeResult.COMPLETE, ends.get(0).response().result());
    }

    @Test
    void unreachableOriginDoesNotCountAsARetry() {
        service(0);
        for (final String n : List.of("a", "b", "c")) {
            origin(n, 4);
            responses.put(
                    n, OriginTransport.OriginResponse.failure(OriginTransport.ExchangeResult.NOT_SENT, "no circuit"));
        }
        origin("d", 4);
        responses.put("d", completeResponse());
        send(sender(0, 0), originRequest("/1", true, 0, 1, 2000));
        loop.run(10);
        assertEquals(4, sent.size());
        assertEquals(
                OriginTransport.ExchangeResult.COMPLETE, ends.get(0).response().result());
    }

    /**
     * The retry budget grows with requests: a request adds to it once, however many unreachable origins it was offered
     * to.
     */
    @Test
    void requestAddsToTheRetryBudgetOnce() {
        service(0);
        for (final String n : List.of("a", "b", "c", "d", "e")) {
            origin(n, 4);
            responses.put(
                    n, OriginTransport.OriginResponse.failure(OriginTransport.ExchangeResult.NOT_SENT, "no circuit"));
        }
        origin("f", 4);
        responses.put("f", OriginTransport.OriginResponse.failure(OriginTransport.ExchangeResult.NOT_EXECUTED, "full"));
        origin("g", 4);
        responses.put("g", OriginTransport.OriginResponse.failure(OriginTransport.ExchangeResult.NOT_EXECUTED, "full"));
        send(sender(0.2, 4000), originRequest("/1", false, 0, 3, 2000));
        loop.run(10);
        assertEquals(6, sent.size(), "one request must not add a full retry to the budget: " + sent);
        assertEquals(
                OriginTransport.ExchangeResult.NOT_EXECUTED,
                ends.get(0).response().result());
    }

    @Test
    void atMostOnceRequestIsNotSentAgainOnceItMayHaveRun() {
        service(0);
        origin("a", 4);
        origin("b", 4);
        for (final OriginTransport.ExchangeResult end :
                List.of(OriginTransport.ExchangeResult.LOST, OriginTransport.ExchangeResult.INVALID)) {
            sent.clear();
            ends.clear();
            responses.put("a", OriginTransport.OriginResponse.failure(end, "lost"));
            responses.put("b", OriginTransport.OriginResponse.failure(end, "lost"));
            send(sender(100, 100_000), originRequest("/1", true, 0, 5, 2000));
            loop.run(2100);
            assertEquals(1, sent.size(), end.name());
            assertTrue(ends.get(0).mayHaveRun());
        }
    }

    @Test
    void slowAtMostOnceRequestIsNotHedged() {
        service(0);
        origin("a", 4);
        origin("b", 4);
        send(sender(100, 100_000), originRequest("/1", true, 0, 5, 9000));
        loop.run(8000);
        assertEquals(1, sent.size());
        assertEquals(0, ends.size(), "the dispatcher still waits for the response");
        sent.clear();
        send(sender(100, 100_000), originRequest("/2", false, 0, 5, 9000));
        loop.run(8000);
        assertEquals(2, sent.size(), "a read is hedged to the other origin");
    }

    @Test
    void requestNotExecutedByAnOriginIsRetriedWithinAttemptsAndBudget() {
        service(0);
        for (final String n : List.of("a", "b", "c")) {
            origin(n, 4);
            responses.put(
                    n, OriginTransport.OriginResponse.failure(OriginTransport.ExchangeResult.NOT_EXECUTED, "full"));
        }
        send(sender(100, 100_000), originRequest("/1", true, 0, 2, 2000));
        loop.run(10);
        assertEquals(2, sent.size(), "as many as the route allows");
        assertFalse(ends.get(0).mayHaveRun());
        sent.clear();
        send(sender(0, 0), originRequest("/2", true, 0, 3, 2000));
        loop.run(10);
        assertEquals(1, sent.size(), "without a retry budget no second origin is tried");
    }

    @Test
    void originWhoseAddressWasTakenOverIsTriedOnce() {
        service(0);
        origin("a", 4);
        origin("b", 4);
        responses.put(
                "a",
                OriginTransport.OriginResponse.failure(OriginTransport.ExchangeResult.WRONG_INSTANCE, "status 421"));
        responses.put("b", completeResponse());
        final OriginDispatcher sender = sender(100, 100_000);
        for (int i = 0; i < 10; i++) {
            send(sender, originRequest("/" + i, true, 0, 3, 2000));
            loop.run(3000);
        }
        assertEquals(1, sent.stream().filter(line -> line.startsWith("a ")).count(), sent.toString());
        assertEquals(
                10,
                ends.stream()
                        .filter(e -> e.response().result() == OriginTransport.ExchangeResult.COMPLETE)
                        .count());
    }

    /** Only shields have a retry budget: there are many edges, and none of them knows what the others send. */
    @Test
    void edgeThatSendsDirectlyMakesNoRetry() {
        service(0);
        for (int i = 0; i < 40; i++) {
            origin("o" + i, 4);
            responses.put(
                    "o" + i,
                    OriginTransport.OriginResponse.failure(OriginTransport.ExchangeResult.NOT_EXECUTED, "full"));
        }
        send(sender(100, 60, Role.EDGE), originRequest("/1", false, 0, 40, 9000));
        loop.run(100);
        assertEquals(1, sent.size());
        sent.clear();
        send(sender(100, 60), originRequest("/2", false, 0, 40, 9000));
        loop.run(100);
        assertEquals(1 + 6, sent.size(), "a shield: 0.4 of 60, divided by at least four shields");
    }

    @Test
    void withoutAFreshViewNothingIsSentUnlessTheNodeIsIsolated() {
        service(0);
        origin("a", 4);
        fresh = false;
        send("/1");
        assertEquals(List.of(), sent);
        assertFalse(ends.get(0).mayHaveRun());
        withoutQuorum = true;
        send("/2");
        assertEquals(List.of("a /2"), sent);
    }

    @Test
    void drainingOriginsAndRemovedServicesGetNoRequests() {
        service(0);
        origin("a", 4);
        put(ItemKind.ORIGIN, "a", 2, new Origin("s", "10.0.0.1", 80, "a", ServiceKind.OPEN, 0, 0, true, 2, "z", 4, 0));
        send("/1");
        assertEquals(List.of(), sent);
        origin("b", 4);
        items.merge(
                new ChosenItem(Ballot.ZERO, new Item(new ItemId(ItemKind.SERVICE, "s"), new Version(2), "", true, "")));
        send("/2");
        assertEquals(List.of(), sent);
        assertEquals(
                List.of(false, false),
                ends.stream().map(OriginDispatcher.Completion::mayHaveRun).toList());
    }

    @Test
    void passedThroughRequestsGetATenthOfTheRateLimit() {
        service(100);
        origin("a", 0);
        responses.put("a", completeResponse());
        for (int i = 0; i < 200; i++) {
            dispatcher.send(originRequest("/" + i, false, 0, 3, 2000), ends::add);
            loop.run(50);
        }
        assertTrue(sent.size() >= 90 && sent.size() <= 101, "10 a second for 10 s, not " + sent.size());
        assertTrue(ends.stream()
                .filter(e -> e.response().result() == OriginTransport.ExchangeResult.NOT_SENT)
                .allMatch(e -> e.retryAfterMs() >= 1000 && !e.mayHaveRun()));
    }
}
