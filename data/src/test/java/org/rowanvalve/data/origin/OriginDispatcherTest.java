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

/** Slots, the waiting line, and how often a request may be sent. */
class OriginDispatcherTest {
    private final VirtualTimeLoop loop = new VirtualTimeLoop();
    private final EventJournal journal = new EventJournal(loop, 1000);
    private final ItemStore items = new ItemStore(loop, journal);
    private final ConfigurationView configuration = new ConfigurationView(items);
    private final Transport transport = (recipient, msg, wait, then) -> {};
    private final List<String> sent = new ArrayList<>();
    private final List<Consumer<OriginTransport.OriginResponse>> open = new ArrayList<>();
    private final Map<String, OriginTransport.OriginResponse> says = new HashMap<>();
    private final List<OriginDispatcher.Completion> ends = new ArrayList<>();
    private final List<NodeId> peers = new ArrayList<>();
    private boolean fresh = true;
    private boolean alone;
    private final OriginDispatcher dispatcher = sender(0.2, 60);

    private OriginDispatcher sender(final double ratio, final double slack) {
        return sender(ratio, slack, Role.SHIELD);
    }

    private OriginDispatcher sender(final double ratio, final double slack, final Role role) {
        final Member self = new Member(NodeId.of("me"), role, "z", "127.0.0.1", 1, "b", NodeStatus.READY, "1");
        final OriginTransport originTransport = (origin, request, gate, then) -> {
            if (!gate.mayWrite()) {
                then.accept(
                        OriginTransport.OriginResponse.without(OriginTransport.ExchangeResult.NOT_PERMITTED, "barred"));
                return () -> {};
            }
            sent.add(origin.instance() + " " + request.path());
            final OriginTransport.OriginResponse now = says.get(origin.instance());
            if (now != null) {
                loop.execute(() -> then.accept(now));
            } else {
                open.add(then);
            }
            return () -> {};
        };
        final OriginTransport plain = new OriginTransport() {
            @Override
            public Exchange send(
                    final Origin origin,
                    final OutboundRequest request,
                    final Permission gate,
                    final Consumer<OriginResponse> then) {
                return originTransport.send(origin, request, gate, then);
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
                NodeSettings.builderFor(self).retryLimits(ratio, slack).build(),
                loop,
                transport,
                plain,
                configuration,
                leases,
                new OriginDispatcher.Surroundings(() -> fresh, () -> alone, () -> peers, () -> 11),
                journal);
    }

    private void put(final ItemKind kind, final String name, final long ver, final Object body) {
        items.merge(new ChosenItem(
                Ballot.ZERO, new Item(new ItemId(kind, name), new Version(ver), Json.write(body), false, "")));
    }

    private void service(final double ceiling) {
        put(ItemKind.SERVICE, "s", 1, new Service(ServiceKind.OPEN, 0, 1000, 5000, ceiling, 0, ""));
    }

    private void origin(final String name, final int slots) {
        put(
                ItemKind.ORIGIN,
                name,
                1,
                new Origin("s", "10.0.0.1", 80, name, ServiceKind.OPEN, 0, 0, false, 1, "z", slots, 0));
    }

    private static OriginTransport.OriginResponse whole() {
        return new OriginTransport.OriginResponse(
                OriginTransport.ExchangeResult.COMPLETE, 200, Map.of(), new byte[0], "");
    }

    private OriginRequest order(
            final String path, final boolean once, final int rank, final int tries, final long span) {
        return new OriginRequest(
                OriginRequest.NO_SHARD,
                new OriginTransport.OutboundRequest("s", "GET", path, "id" + path, null, null, null, 0),
                once,
                loop.now() + span,
                rank,
                tries,
                false);
    }

    private void send(final OriginDispatcher by, final OriginRequest o) {
        by.send(o, ends::add);
        loop.run(1);
    }

    private void send(final String path) {
        send(dispatcher, order(path, false, 0, 3, 2000));
    }

    @Test
    void whatFindsNoFreeSlotWaitsItsTurnByRank() {
        service(0);
        origin("a", 1);
        send("/1");
        send("/2");
        assertEquals(List.of("a /1", "a /2"), sent, "one more than its slots");
        send(dispatcher, order("/low", false, 5, 3, 2000));
        send(dispatcher, order("/high", false, 1, 3, 2000));
        send(dispatcher, order("/high2", false, 1, 3, 2000));
        assertEquals(2, sent.size());
        assertEquals(5, dispatcher.inFlight());
        for (int i = 0; i < 5; i++) {
            open.get(i).accept(whole());
            loop.run(1);
        }
        assertEquals(List.of("a /1", "a /2", "a /high", "a /high2", "a /low"), sent);
        assertEquals(5, ends.size());
        assertEquals(0, dispatcher.inFlight());
    }

    @Test
    void aTurnThatWouldComeTooLateIsRefusedAtOnce() {
        service(0);
        origin("a", 1);
        send("/1");
        send("/2");
        send(dispatcher, order("/soon", false, 0, 3, 100));
        assertEquals(1, ends.size(), "not held until its cutoff");
        assertFalse(ends.get(0).mayHaveRun());
        assertEquals(
                OriginTransport.ExchangeResult.NOT_SENT, ends.get(0).response().result());
        assertTrue(ends.get(0).retryAfterMs() >= 250 && ends.get(0).retryAfterMs() <= 1000);
        send(dispatcher, order("/later", false, 0, 3, 700));
        assertEquals(1, ends.size());
        loop.run(700);
        assertEquals(
                2,
                ends.stream()
                        .filter(e -> e.response().reason().equals("every origin is busy"))
                        .count(),
                "its time to be served has passed");
    }

    @Test
    void otherShieldsRequestsTakeSlotsToo() {
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

    /** A request waits for another origin than the one that has room: the line is not turned round and round. */
    @Test
    void roomAtAnOriginThatWasTriedAlreadyDoesNotTurnTheLineForEver() {
        service(0);
        origin("a", 2);
        origin("b", 2);
        says.put("a", OriginTransport.OriginResponse.without(OriginTransport.ExchangeResult.NOT_EXECUTED, "full"));
        dispatcher.onLoadReport(NodeId.of("n2"), new LoadReport(Map.of("b", 4)));
        for (int i = 0; i < 10; i++) {
            says.put("a", whole());
            send("/earn" + i);
        }
        ends.clear();
        says.put("a", OriginTransport.OriginResponse.without(OriginTransport.ExchangeResult.NOT_EXECUTED, "full"));
        assertTimeoutPreemptively(Duration.ofSeconds(10), () -> send("/1"));
        assertEquals("a /1", sent.get(sent.size() - 1));
        assertEquals(0, ends.size(), "it waits for the other");
        says.put("b", whole());
        assertTimeoutPreemptively(
                Duration.ofSeconds(10), () -> dispatcher.onLoadReport(NodeId.of("n2"), new LoadReport(Map.of())));
        loop.run(1);
        assertEquals("b /1", sent.get(sent.size() - 1));
        assertEquals(
                OriginTransport.ExchangeResult.COMPLETE, ends.get(0).response().result());
    }

    @Test
    void anOriginThatCannotBeReachedIsNoExtraTry() {
        service(0);
        for (final String n : List.of("a", "b", "c")) {
            origin(n, 4);
            says.put(n, OriginTransport.OriginResponse.without(OriginTransport.ExchangeResult.NOT_SENT, "no circuit"));
        }
        origin("d", 4);
        says.put("d", whole());
        send(sender(0, 0), order("/1", true, 0, 1, 2000));
        loop.run(10);
        assertEquals(4, sent.size());
        assertEquals(
                OriginTransport.ExchangeResult.COMPLETE, ends.get(0).response().result());
    }

    /** The budget goes by requests, so what one request earns does not rise with the origins that cannot be reached. */
    @Test
    void aRequestEarnsItsPartOfATryOnce() {
        service(0);
        for (final String n : List.of("a", "b", "c", "d", "e")) {
            origin(n, 4);
            says.put(n, OriginTransport.OriginResponse.without(OriginTransport.ExchangeResult.NOT_SENT, "no circuit"));
        }
        origin("f", 4);
        says.put("f", OriginTransport.OriginResponse.without(OriginTransport.ExchangeResult.NOT_EXECUTED, "full"));
        origin("g", 4);
        says.put("g", OriginTransport.OriginResponse.without(OriginTransport.ExchangeResult.NOT_EXECUTED, "full"));
        send(sender(0.2, 4000), order("/1", false, 0, 3, 2000));
        loop.run(10);
        assertEquals(6, sent.size(), "no extra try was earned by one request: " + sent);
        assertEquals(
                OriginTransport.ExchangeResult.NOT_EXECUTED,
                ends.get(0).response().result());
    }

    @Test
    void whatMayRunOnceIsNeverSentAgainOnceItMayHaveRun() {
        service(0);
        origin("a", 4);
        origin("b", 4);
        for (final OriginTransport.ExchangeResult end :
                List.of(OriginTransport.ExchangeResult.LOST, OriginTransport.ExchangeResult.INVALID)) {
            sent.clear();
            ends.clear();
            says.put("a", OriginTransport.OriginResponse.without(end, "lost"));
            says.put("b", OriginTransport.OriginResponse.without(end, "lost"));
            send(sender(100, 100_000), order("/1", true, 0, 5, 2000));
            loop.run(2100);
            assertEquals(1, sent.size(), end.name());
            assertTrue(ends.get(0).mayHaveRun());
        }
    }

    @Test
    void silenceIsNoReasonToSendItAgainEither() {
        service(0);
        origin("a", 4);
        origin("b", 4);
        send(sender(100, 100_000), order("/1", true, 0, 5, 9000));
        loop.run(8000);
        assertEquals(1, sent.size());
        assertEquals(0, ends.size(), "and the answer is waited for");
        sent.clear();
        send(sender(100, 100_000), order("/2", false, 0, 5, 9000));
        loop.run(8000);
        assertEquals(2, sent.size(), "a read is tried elsewhere, as far as there are origins");
    }

    @Test
    void oneThatTurnedItAwayHasNotRunItAndTheNextIsAskedWithinTriesAndBudget() {
        service(0);
        for (final String n : List.of("a", "b", "c")) {
            origin(n, 4);
            says.put(n, OriginTransport.OriginResponse.without(OriginTransport.ExchangeResult.NOT_EXECUTED, "full"));
        }
        send(sender(100, 100_000), order("/1", true, 0, 2, 2000));
        loop.run(10);
        assertEquals(2, sent.size(), "as many as its route allows");
        assertFalse(ends.get(0).mayHaveRun());
        sent.clear();
        send(sender(0, 0), order("/2", true, 0, 3, 2000));
        loop.run(10);
        assertEquals(1, sent.size(), "no budget, no second origin");
    }

    @Test
    void anAddressThatAnotherHasTakenIsAskedOnce() {
        service(0);
        origin("a", 4);
        origin("b", 4);
        says.put(
                "a",
                OriginTransport.OriginResponse.without(OriginTransport.ExchangeResult.WRONG_INSTANCE, "status 421"));
        says.put("b", whole());
        final OriginDispatcher by = sender(100, 100_000);
        for (int i = 0; i < 10; i++) {
            send(by, order("/" + i, true, 0, 3, 2000));
            loop.run(3000);
        }
        assertEquals(1, sent.stream().filter(t -> t.startsWith("a ")).count(), sent.toString());
        assertEquals(
                10,
                ends.stream()
                        .filter(e -> e.response().result() == OriginTransport.ExchangeResult.COMPLETE)
                        .count());
    }

    /** The budget is the shields' to spend: edges are many, and none knows what the others do. */
    @Test
    void anEdgeThatSendsItselfMakesNoExtraTry() {
        service(0);
        for (int i = 0; i < 40; i++) {
            origin("o" + i, 4);
            says.put(
                    "o" + i,
                    OriginTransport.OriginResponse.without(OriginTransport.ExchangeResult.NOT_EXECUTED, "full"));
        }
        send(sender(100, 60, Role.EDGE), order("/1", false, 0, 40, 9000));
        loop.run(100);
        assertEquals(1, sent.size());
        sent.clear();
        send(sender(100, 60), order("/2", false, 0, 40, 9000));
        loop.run(100);
        assertEquals(1 + 6, sent.size(), "a shield: 0.4 of 60 over four at least");
    }

    @Test
    void withoutAFrameNothingLeavesUnlessNobodyCanBeHeard() {
        service(0);
        origin("a", 4);
        fresh = false;
        send("/1");
        assertEquals(List.of(), sent);
        assertFalse(ends.get(0).mayHaveRun());
        alone = true;
        send("/2");
        assertEquals(List.of("a /2"), sent);
    }

    @Test
    void aLeavingOriginGetsNothingMoreAndADroppedServiceNeither() {
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
    void whatPassesNoHolderHasATenthOfTheCeiling() {
        service(100);
        origin("a", 0);
        says.put("a", whole());
        for (int i = 0; i < 200; i++) {
            dispatcher.send(order("/" + i, false, 0, 3, 2000), ends::add);
            loop.run(50);
        }
        assertTrue(sent.size() >= 90 && sent.size() <= 101, "10 a second for 10 s, not " + sent.size());
        assertTrue(ends.stream()
                .filter(e -> e.response().result() == OriginTransport.ExchangeResult.NOT_SENT)
                .allMatch(e -> e.retryAfterMs() >= 1000 && !e.mayHaveRun()));
    }
}
