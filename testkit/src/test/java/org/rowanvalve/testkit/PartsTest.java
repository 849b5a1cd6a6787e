package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.FenceAckRequest;
import org.rowanvalve.common.message.ForwardResponse;
import org.rowanvalve.common.message.LeaseGrantRequest;
import org.rowanvalve.common.message.LeaseRevokeRequest;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.common.model.VersionVector;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.config.ConfigurationView;
import org.rowanvalve.control.config.ConfiguredRoute;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.placement.PlacementPlan;
import org.rowanvalve.control.store.ItemStore;
import org.rowanvalve.data.edge.Edge;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.data.request.ClientResponse;
import org.rowanvalve.testkit.log.RunLog;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.scenario.Scenario;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.VirtualTime;

/** Single parts whose rules no whole run shows by itself. */
class PartsTest {
    private final VirtualTime time = new VirtualTime(1);
    private final EventLoop loop = time.loop();
    private final EventJournal journal = new EventJournal(loop, 100);
    private final ItemStore items = new ItemStore(loop, journal);
    private final ConfigurationView configuration = new ConfigurationView(items);
    private long ver;

    private void hold(final ItemKind kind, final String name, final String body) {
        final ItemId id = new ItemId(kind, name);
        items.merge(new ChosenItem(new Ballot(++ver, "x"), items.get(id).successor(body, "t" + ver)));
    }

    private void stock(final long life) {
        hold(ItemKind.SERVICE, "s", "{\"kind\":\"content\",\"rate\":10,\"bodyLimit\":10,\"cutoffMs\":1000}");
        hold(
                ItemKind.ROUTE,
                "r",
                Json.write(RunLog.row(
                        "prefix", "/s/", "service", "s", "mode", "cached", "lifetimeMs", life, "purgeable", true)));
        hold(
                ItemKind.PLAN,
                "plan",
                Json.write(new PlacementPlan(1, 1, List.of(new PlacementPlan.Assignment("sh1", 2, 5)))));
    }

    private Edge edge(final Transport transport, final BooleanSupplier viewFresh) {
        return new Edge(loop, transport, configuration, viewFresh, 1, journal, 1 << 20, new OwnerOnlyRouting(), "boot");
    }

    /** What the edge asks of shields is answered through {@code asks}. */
    private Edge edge(final List<Consumer<Reply>> asks) {
        return edge((recipient, msg, wait, then) -> asks.add(then), () -> true);
    }

    private void ask(final Edge edge, final String path, final Consumer<ClientResponse> callback) {
        edge.handle(new ClientRequest("GET", path, null, null, ""), callback);
    }

    private VersionVector versions() {
        return configuration.versionsOf(configuration.routeNamed("r").orElseThrow(), "/s/1");
    }

    private ForwardResponse filled(final String token, final VersionVector mark, final long age) {
        return new ForwardResponse(
                RequestOutcome.DONE, "", 200, FencingToken.parse(token), Map.of(), "x".getBytes(), age, mark, 0);
    }

    @Test
    void anEdgeRejectsAnAnswerWithALowerToken() {
        stock(1000);
        final List<Consumer<Reply>> asks = new ArrayList<>();
        final Edge edge = edge(asks);
        final List<ClientResponse> got = new ArrayList<>();
        ask(edge, "/s/1", got::add);
        final VersionVector mark = versions();
        asks.get(0).accept(Reply.of(filled("2.4", mark, 0)));
        assertEquals(List.of(), got);
        time.run(500);
        asks.get(1).accept(Reply.of(filled("2.5", mark, 0)));
        assertEquals(200, got.get(0).status());
    }

    @Test
    void anAgedCopyIsNotKeptLongerAtTheEdge() {
        stock(1000);
        final List<Consumer<Reply>> asks = new ArrayList<>();
        final Edge edge = edge(asks);
        final List<ClientResponse> got = new ArrayList<>();
        ask(edge, "/s/1", got::add);
        asks.get(0).accept(Reply.of(filled("2.5", versions(), 900)));
        time.run(99);
        ask(edge, "/s/1", got::add);
        assertEquals(2, got.size());
        time.run(101);
        ask(edge, "/s/1", got::add);
        assertEquals(2, got.size());
        assertEquals(2, asks.size());
    }

    @Test
    void aPurgeHeardOfDuringAPassKeepsItsAnswerOut() {
        stock(1000);
        final List<Consumer<Reply>> asks = new ArrayList<>();
        final Edge edge = edge(asks);
        final List<ClientResponse> got = new ArrayList<>();
        ask(edge, "/s/1", got::add);
        final VersionVector before = versions();
        hold(ItemKind.PURGE, "p", "{\"route\":\"r\",\"path\":\"/s/1\"}");
        asks.get(0).accept(Reply.of(filled("2.5", before, 0)));
        assertEquals(List.of(), got, "the overtaken answer reaches nobody");
        time.run(200);
        assertEquals(2, asks.size(), "it is asked for again");
        asks.get(1).accept(Reply.of(filled("2.5", before, 0)));
        time.run(500);
        asks.get(2).accept(Reply.of(filled("2.5", before, 0)));
        assertEquals(503, got.get(0).status());
        ask(edge, "/s/1", got::add);
        assertEquals(4, asks.size(), "nothing was kept");
        asks.get(3).accept(Reply.of(filled("2.5", versions(), 0)));
        assertEquals(200, got.get(1).status());
    }

    /** Many ask for one object while purge after purge comes: one pass under way for each mark, whoever waits. */
    @Test
    void manyMarksOfAHotObjectMakeOnePassEach() {
        stock(1000);
        final List<Consumer<Reply>> asks = new ArrayList<>();
        final Edge edge = edge(asks);
        final List<ClientResponse> got = new ArrayList<>();
        final List<VersionVector> marks = new ArrayList<>();
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < 40; i++) {
                ask(edge, "/s/1", got::add);
            }
            marks.add(versions());
            hold(ItemKind.PURGE, "p" + round, "{\"route\":\"r\",\"path\":\"/s/1\"}");
        }
        assertEquals(3, asks.size());
        for (int i = 0; i < 40; i++) {
            ask(edge, "/s/1", got::add);
        }
        marks.add(versions());
        for (int i = 0; i < 4; i++) {
            asks.get(i).accept(Reply.of(filled("2.5", marks.get(i), 0)));
        }
        time.run(2000);
        assertEquals(4, asks.size(), "nobody asked anew");
        assertEquals(
                160, got.stream().filter(response -> response.status() == 200).count());
        assertEquals(0, edge.openRequests());
    }

    @Test
    void aRoutesConditionIsJudgedAtTheEdge() {
        stock(1000);
        hold(
                ItemKind.ROUTE,
                "r",
                Json.write(RunLog.row(
                        "prefix",
                        "/s/",
                        "service",
                        "s",
                        "mode",
                        "cached",
                        "lifetimeMs",
                        1000,
                        "purgeable",
                        true,
                        "when",
                        "int(query) < 3 && path.startsWith('/s/a')")));
        final int[] asks = {0};
        final Edge edge = edge((recipient, msg, wait, then) -> asks[0]++, () -> true);
        final List<Integer> got = new ArrayList<>();
        for (final String path : List.of("/s/a?2", "/s/b?2", "/s/a?5", "/s/a?many")) {
            ask(edge, path, response -> got.add(response.status()));
        }
        assertEquals(List.of(403, 403, 400), got);
        assertEquals(1, asks[0], "the first is on its way");
        for (final String bad :
                List.of("path +", "size", "nobody == 1", "[1,2].all(x, x > 0)", "path == '" + "x".repeat(400) + "'")) {
            assertTrue(org.rowanvalve.control.config.RouteCondition.error(bad).isPresent(), bad);
        }
    }

    /** A route whose service is gone takes its paths and serves none of them, and its state says so. */
    @Test
    void aRouteWithoutItsServiceIsUnfitAndServesNothing() {
        stock(1000);
        hold(
                ItemKind.ROUTE,
                "wide",
                "{\"prefix\":\"/\",\"service\":\"s\",\"mode\":\"status\",\"lifetimeMs\":0,\"purgeable\":true}");
        items.merge(new ChosenItem(
                new Ballot(98, "x"),
                Item.none(new ItemId(ItemKind.ROUTE, "late"))
                        .successor(
                                "{\"prefix\":\"/s/late/\",\"service\":\"gone\",\"mode\":\"cached\",\"lifetimeMs\":9,\"purgeable\":true}",
                                "t")));
        final int[] asks = {0};
        final Edge edge = edge((recipient, msg, wait, then) -> asks[0]++, () -> true);
        final List<ClientResponse> got = new ArrayList<>();
        ask(edge, "/s/late/1", got::add);
        assertEquals("503 refused", got.get(0).status() + " " + got.get(0).fate());
        assertEquals(0, asks[0], "not even the wider route gets it");
        final org.rowanvalve.control.operator.ConfigurationService clerk =
                new org.rowanvalve.control.operator.ConfigurationService(loop, items, null, null, journal, () -> "t");
        assertTrue(
                clerk.referenceErrors().stream().anyMatch(error -> error.path().equals("/routes/late/service")),
                clerk.referenceErrors().toString());
        assertTrue(clerk.getItem(new ItemId(ItemKind.ROUTE, "late")).body().containsKey("findings"));
        assertTrue(configuration.routeNamed("late").isEmpty(), "no shield fills for it");
    }

    @Test
    void anAnswerMustProveStampRequestAndLength() {
        final org.rowanvalve.control.config.Origin origin =
                new org.rowanvalve.control.config.Origin("s", "h", 1, "b", ServiceKind.CONTENT, 0, 1, false, 1);
        final org.rowanvalve.data.origin.OriginTransport.OutboundRequest sent =
                new org.rowanvalve.data.origin.OriginTransport.OutboundRequest(
                        "s", "GET", "/s/1", "r1", null, null, null, 1);
        final byte[] body = "abc".getBytes();
        final Map<String, String> good = new TreeMap<>(Map.of(
                org.rowanvalve.data.origin.OriginResponseValidator.INSTANCE_HEADER,
                "b",
                org.rowanvalve.data.origin.OriginResponseValidator.REQUEST_HEADER,
                "r1",
                "content-length",
                "3",
                org.rowanvalve.data.origin.OriginResponseValidator.DIGEST_HEADER,
                org.rowanvalve.common.model.Hash.sha256Hex(body)));
        assertEquals("", org.rowanvalve.data.origin.OriginResponseValidator.error(origin, sent, good, body));
        good.forEach((k, v) -> {
            final Map<String, String> bad = new TreeMap<>(good);
            bad.put(k, v + "0");
            assertFalse(
                    org.rowanvalve.data.origin.OriginResponseValidator.error(origin, sent, bad, body)
                            .isEmpty(),
                    k);
            bad.remove(k);
            assertFalse(
                    org.rowanvalve.data.origin.OriginResponseValidator.error(origin, sent, bad, body)
                            .isEmpty(),
                    k);
        });
    }

    @Test
    void versionsNeverFall() {
        final ItemId id = new ItemId(ItemKind.SERVICE, "s");
        final Item one = Item.none(id).successor("{\"kind\":\"booking\"}", "a");
        final Item two = one.successor("{\"kind\":\"booking\"}", "b");
        assertTrue(items.merge(new ChosenItem(new Ballot(2, "x"), two)));
        assertFalse(items.merge(new ChosenItem(new Ballot(9, "x"), one)));
        assertEquals(2, items.get(id).version().number());
    }

    @Test
    void aCopyEndsWithAPurge() {
        stock(60_000);
        final List<Consumer<Reply>> asks = new ArrayList<>();
        final Edge edge = edge(asks);
        final List<ClientResponse> got = new ArrayList<>();
        for (final String purge :
                List.of("{\"route\":\"r\",\"path\":\"/s/1\"}", "{\"route\":\"r\",\"prefix\":\"/s/\"}")) {
            ask(edge, "/s/1", got::add);
            asks.get(asks.size() - 1)
                    .accept(Reply.of(filled(
                            "2.5",
                            configuration.versionsOf(
                                    configuration.routeNamed("r").orElseThrow(), "/s/1"),
                            0)));
            ask(edge, "/s/1", got::add);
            hold(ItemKind.PURGE, "p" + purge.length(), purge);
        }
        ask(edge, "/s/1", got::add);
        assertEquals(
                List.of("miss", "hit", "miss", "hit"),
                got.stream().map(response -> response.headers().get("Rv-Cache")).toList());
        assertEquals(3, asks.size(), "the last one is on its way");
    }

    @Test
    void aDeletedPurgeStillHoldsForOlderCopies() {
        stock(1000);
        final ConfiguredRoute row = configuration.routeNamed("r").orElseThrow();
        final VersionVector before = configuration.versionsOf(row, "/s/1");
        hold(ItemKind.PURGE, "p", "{\"route\":\"r\",\"path\":\"/s/1\"}");
        final Item p = items.get(new ItemId(ItemKind.PURGE, "p"));
        items.merge(new ChosenItem(new Ballot(99, "x"), p.tombstone("d")));
        assertFalse(before.covers(configuration.versionsOf(row, "/s/1")));
        assertTrue(before.covers(configuration.versionsOf(row, "/s/2")));
    }

    @Test
    void usualStatusesAtAnEdge() {
        stock(1000);
        hold(ItemKind.SERVICE, "b", "{\"kind\":\"booking\",\"rate\":0,\"bodyLimit\":10,\"cutoffMs\":1000}");
        hold(
                ItemKind.ROUTE,
                "o",
                "{\"prefix\":\"/o/\",\"service\":\"b\",\"mode\":\"once\",\"lifetimeMs\":0,\"purgeable\":true}");
        final boolean[] fresh = {true};
        final Edge edge = edge(
                (recipient, msg, wait, then) -> then.accept(Reply.failed(Reply.Failure.NO_RESPONSE)), () -> fresh[0]);
        final List<String> got = new ArrayList<>();
        final Consumer<ClientResponse> note = response -> got.add(response.status() + " " + response.fate());
        ask(edge, "/none", note);
        edge.handle(new ClientRequest("POST", "/s/1", null, null, ""), note);
        edge.handle(new ClientRequest("POST", "/o/1", "k", new byte[11], ""), note);
        edge.handle(new ClientRequest("POST", "/o/1", "", new byte[1], ""), note);
        edge.handle(new ClientRequest("POST", "/o/1", "k", new byte[1], ""), note);
        fresh[0] = false;
        ask(edge, "/s/1", note);
        edge.close();
        ask(edge, "/s/1", note);
        assertEquals(
                List.of(
                        "404 refused",
                        "405 refused",
                        "413 refused",
                        "400 refused",
                        "504 unknown",
                        "503 refused",
                        "503 refused"),
                got);
        assertEquals(0, edge.openRequests());
    }

    private static long worst(final double pace, final long heldFrom, final long heldTo) {
        final org.rowanvalve.control.membership.HeartbeatClockMonitor p =
                new org.rowanvalve.control.membership.HeartbeatClockMonitor(
                        org.rowanvalve.common.model.LeaseTimings.DEFAULT);
        final NodeId peer = NodeId.of("sh1");
        final java.util.PriorityQueue<long[]> beats = new java.util.PriorityQueue<>(
                (a, b) -> a[0] != b[0] ? Long.compare(a[0], b[0]) : Long.compare(a[1], b[1]));
        for (long t = 0; t < 40_000; t += 500) {
            beats.add(new long[] {t >= heldFrom && t < heldTo ? heldTo : t + t % 7, (long) (5000 + t * pace)});
        }
        long most = 0;
        for (long[] b = beats.poll(); b != null; b = beats.poll()) {
            p.addSample(peer, b[0], b[1]);
            most = Math.max(most, p.provenSkewMs(peer));
        }
        return most;
    }

    @Test
    void beatsThatACutHeldUpAreNoDriftAndARealDriftIs() {
        for (long from = 0; from < 20_000; from += 1500) {
            assertEquals(0, worst(1, from, from + 6000), "held from " + from);
        }
        assertTrue(worst(0.8, 0, 0) >= 500);
        assertTrue(worst(1.25, 0, 0) >= 500);
    }

    /** On reconnect: revokes, then fence acknowledgements, then the whole placement. */
    @Test
    void aReturningHolderHearsRevokesThenAcksThenItsPlacement() {
        final SimCluster cluster = new SimCluster(Deployment.kilimanjaro(), 8).open();
        final List<String> heard = new ArrayList<>();
        cluster.net().tap((recipient, msg) -> {
            if (recipient.text().equals("sh3")
                    && (msg instanceof LeaseRevokeRequest
                            || msg instanceof FenceAckRequest
                            || msg instanceof LeaseGrantRequest)) {
                heard.add(msg.getClass().getSimpleName());
            }
        });
        cluster.cut(List.of("sh3"), 9000);
        cluster.run(9000);
        heard.clear();
        cluster.run(4000);
        assertEquals(
                List.of("LeaseRevokeRequest", "FenceAckRequest", "LeaseGrantRequest"),
                heard.subList(0, 3),
                heard.toString());
        assertTrue(cluster.node("sh3").node().leaseHolder().heldCount() > 0, "and it holds shards again");
        assertEquals(NodeId.of("sh3"), cluster.node("sh3").id());
    }

    @Test
    void aScriptsFaultsAreToldWithTheirPlace() {
        final List<org.rowanvalve.common.model.ValidationError> faults = new ArrayList<>();
        Scenario.read("""
            {"name":"x","place":"coastline","seconds":10,"steps":[{"at":1,"trouble":"rain","ms":1,"who":"st1"},
             {"at":99999,"trouble":"kill","ms":1,"who":"st9"},{"at":1,"trouble":"lose-disk","ms":5,"who":"ed1"},
             {"at":1,"trouble":"origin-crash","ms":5,"who":"st1"},{"at":-1,"trouble":"kill","ms":5}]}""".getBytes(), faults);
        assertEquals(
                List.of(
                        "/steps/0/trouble",
                        "/steps/1/at",
                        "/steps/1/who",
                        "/steps/2/who",
                        "/steps/3/who",
                        "/steps/4/at",
                        "/steps/4/who"),
                faults.stream()
                        .map(org.rowanvalve.common.model.ValidationError::path)
                        .toList());
    }
}
