package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Ballot;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Mark;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;
import org.rowanvalve.common.Token;
import org.rowanvalve.control.ConfigView;
import org.rowanvalve.control.ConfiguredRoute;
import org.rowanvalve.control.ItemStore;
import org.rowanvalve.control.Json;
import org.rowanvalve.control.Plan;
import org.rowanvalve.data.Answer;
import org.rowanvalve.data.ClientRequest;
import org.rowanvalve.data.Edge;
import org.rowanvalve.testkit.sim.SimCluster;
import org.rowanvalve.testkit.sim.World;

/** Single parts whose rules no whole run shows by itself. */
class PartsTest {
    private final World world = new World(1);
    private final Loop loop = world.loop();
    private final Journal journal = new Journal(loop, 100);
    private final ItemStore held = new ItemStore(loop, journal);
    private final ConfigView view = new ConfigView(held);
    private long ver;

    private void hold(final Kind kind, final String name, final String body) {
        final ItemId id = new ItemId(kind, name);
        held.merge(new Msg.Chosen(new Ballot(++ver, "x"), held.get(id).next(body, "t" + ver)));
    }

    private void stock(final long life) {
        hold(Kind.SERVICE, "s", "{\"kind\":\"content\",\"rate\":10,\"bodyLimit\":10,\"cutoffMs\":1000}");
        hold(
                Kind.ROUTE,
                "r",
                Json.text(Log.row(
                        "prefix", "/s/", "service", "s", "mode", "cached", "lifetimeMs", life, "purgeable", true)));
        hold(Kind.PLAN, "plan", Json.text(new Plan(1, 1, List.of(new Plan.Part("sh1", 2, 5)))));
    }

    private Msg.Filled filled(final String token, final Mark mark, final long age) {
        return new Msg.Filled("done", "", 200, Token.parse(token), Map.of(), "x".getBytes(), age, mark, 0);
    }

    @Test
    void anEdgeRejectsAnAnswerWithALowerToken() {
        stock(1000);
        final List<Consumer<Reply>> asks = new ArrayList<>();
        final Edge edge = new Edge(
                loop, (to, msg, wait, then) -> asks.add(then), view, () -> true, 1, journal, 1 << 20, n -> true);
        final List<Answer> got = new ArrayList<>();
        edge.take(new ClientRequest("GET", "/s/1", null, null, ""), got::add);
        final Mark mark = view.mark(view.named("r").orElseThrow(), "/s/1");
        asks.get(0).accept(Reply.of(filled("2.4", mark, 0)));
        assertEquals(List.of(), got);
        world.run(500);
        asks.get(1).accept(Reply.of(filled("2.5", mark, 0)));
        assertEquals(200, got.get(0).status());
    }

    @Test
    void anAgedCopyIsNotKeptLongerAtTheEdge() {
        stock(1000);
        final List<Consumer<Reply>> asks = new ArrayList<>();
        final Edge edge = new Edge(
                loop, (to, msg, wait, then) -> asks.add(then), view, () -> true, 1, journal, 1 << 20, n -> true);
        final List<Answer> got = new ArrayList<>();
        edge.take(new ClientRequest("GET", "/s/1", null, null, ""), got::add);
        asks.get(0).accept(Reply.of(filled("2.5", view.mark(view.named("r").orElseThrow(), "/s/1"), 900)));
        world.run(99);
        edge.take(new ClientRequest("GET", "/s/1", null, null, ""), got::add);
        assertEquals(2, got.size());
        world.run(101);
        edge.take(new ClientRequest("GET", "/s/1", null, null, ""), got::add);
        assertEquals(2, got.size());
        assertEquals(2, asks.size());
    }

    @Test
    void aPurgeHeardOfDuringAPassKeepsItsAnswerOut() {
        stock(1000);
        final List<Consumer<Reply>> asks = new ArrayList<>();
        final Edge edge = new Edge(
                loop, (to, msg, wait, then) -> asks.add(then), view, () -> true, 1, journal, 1 << 20, n -> true);
        final List<Answer> got = new ArrayList<>();
        edge.take(new ClientRequest("GET", "/s/1", null, null, ""), got::add);
        final Mark before = view.mark(view.named("r").orElseThrow(), "/s/1");
        hold(Kind.PURGE, "p", "{\"route\":\"r\",\"path\":\"/s/1\"}");
        asks.get(0).accept(Reply.of(filled("2.5", before, 0)));
        assertEquals(List.of(), got, "the overtaken answer reaches nobody");
        world.run(200);
        assertEquals(2, asks.size(), "it is asked for again");
        asks.get(1).accept(Reply.of(filled("2.5", before, 0)));
        world.run(500);
        asks.get(2).accept(Reply.of(filled("2.5", before, 0)));
        assertEquals(503, got.get(0).status());
        edge.take(new ClientRequest("GET", "/s/1", null, null, ""), got::add);
        assertEquals(4, asks.size(), "nothing was kept");
        asks.get(3).accept(Reply.of(filled("2.5", view.mark(view.named("r").orElseThrow(), "/s/1"), 0)));
        assertEquals(200, got.get(1).status());
    }

    /** Many ask for one object while purge after purge comes: one pass under way for each mark, whoever waits. */
    @Test
    void manyMarksOfAHotObjectMakeOnePassEach() {
        stock(1000);
        final List<Consumer<Reply>> asks = new ArrayList<>();
        final Edge edge = new Edge(
                loop, (to, msg, wait, then) -> asks.add(then), view, () -> true, 1, journal, 1 << 20, n -> true);
        final List<Answer> got = new ArrayList<>();
        final List<Mark> marks = new ArrayList<>();
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < 40; i++) {
                edge.take(new ClientRequest("GET", "/s/1", null, null, ""), got::add);
            }
            marks.add(view.mark(view.named("r").orElseThrow(), "/s/1"));
            hold(Kind.PURGE, "p" + round, "{\"route\":\"r\",\"path\":\"/s/1\"}");
        }
        assertEquals(3, asks.size());
        for (int i = 0; i < 40; i++) {
            edge.take(new ClientRequest("GET", "/s/1", null, null, ""), got::add);
        }
        marks.add(view.mark(view.named("r").orElseThrow(), "/s/1"));
        for (int i = 0; i < 4; i++) {
            asks.get(i).accept(Reply.of(filled("2.5", marks.get(i), 0)));
        }
        world.run(2000);
        assertEquals(4, asks.size(), "nobody asked anew");
        assertEquals(160, got.stream().filter(a -> a.status() == 200).count());
        assertEquals(0, edge.busy());
    }

    @Test
    void aRoutesConditionIsJudgedAtTheEdge() {
        stock(1000);
        hold(
                Kind.ROUTE,
                "r",
                Json.text(Log.row(
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
        final Edge edge =
                new Edge(loop, (to, msg, wait, then) -> asks[0]++, view, () -> true, 1, journal, 1 << 20, n -> true);
        final List<Integer> got = new ArrayList<>();
        for (final String path : List.of("/s/a?2", "/s/b?2", "/s/a?5", "/s/a?many")) {
            edge.take(new ClientRequest("GET", path, null, null, ""), a -> got.add(a.status()));
        }
        assertEquals(List.of(403, 403, 400), got);
        assertEquals(1, asks[0], "the first is on its way");
        for (final String bad :
                List.of("path +", "size", "nobody == 1", "[1,2].all(x, x > 0)", "path == '" + "x".repeat(400) + "'")) {
            assertTrue(org.rowanvalve.control.Rule.fault(bad).isPresent(), bad);
        }
    }

    /** A route whose service is gone takes its paths and serves none of them, and its state says so. */
    @Test
    void aRouteWithoutItsServiceIsUnfitAndServesNothing() {
        stock(1000);
        hold(
                Kind.ROUTE,
                "wide",
                "{\"prefix\":\"/\",\"service\":\"s\",\"mode\":\"status\",\"lifetimeMs\":0,\"purgeable\":true}");
        held.merge(new Msg.Chosen(
                new Ballot(98, "x"),
                Item.none(new ItemId(Kind.ROUTE, "late"))
                        .next(
                                "{\"prefix\":\"/s/late/\",\"service\":\"gone\",\"mode\":\"cached\",\"lifetimeMs\":9,\"purgeable\":true}",
                                "t")));
        final int[] asks = {0};
        final Edge edge =
                new Edge(loop, (to, msg, wait, then) -> asks[0]++, view, () -> true, 1, journal, 1 << 20, n -> true);
        final List<Answer> got = new ArrayList<>();
        edge.take(new ClientRequest("GET", "/s/late/1", null, null, ""), got::add);
        assertEquals("503 refused", got.get(0).status() + " " + got.get(0).fate());
        assertEquals(0, asks[0], "not even the wider route gets it");
        final org.rowanvalve.control.ItemService clerk =
                new org.rowanvalve.control.ItemService(loop, held, null, null, journal, () -> "t");
        assertTrue(
                clerk.unfit().stream().anyMatch(f -> f.place().equals("/routes/late/service")),
                clerk.unfit().toString());
        assertTrue(clerk.get(new ItemId(Kind.ROUTE, "late")).body().containsKey("findings"));
        assertTrue(view.named("late").isEmpty(), "no shield fills for it");
    }

    @Test
    void anAnswerMustProveStampRequestAndLength() {
        final org.rowanvalve.control.Origin to =
                new org.rowanvalve.control.Origin("s", "h", 1, "b", "content", 0, 1, false, 1);
        final org.rowanvalve.data.Port.Send sent =
                new org.rowanvalve.data.Port.Send("s", "GET", "/s/1", "r1", null, null, null, 1);
        final byte[] body = "abc".getBytes();
        final Map<String, String> good = new TreeMap<>(Map.of(
                org.rowanvalve.data.AnswerCheck.STAMP,
                "b",
                org.rowanvalve.data.AnswerCheck.REQUEST,
                "r1",
                "content-length",
                "3",
                org.rowanvalve.data.AnswerCheck.DIGEST,
                org.rowanvalve.common.Hash.digest(body)));
        assertEquals("", org.rowanvalve.data.AnswerCheck.fault(to, sent, good, body));
        good.forEach((k, v) -> {
            final Map<String, String> bad = new TreeMap<>(good);
            bad.put(k, v + "0");
            assertFalse(
                    org.rowanvalve.data.AnswerCheck.fault(to, sent, bad, body).isEmpty(), k);
            bad.remove(k);
            assertFalse(
                    org.rowanvalve.data.AnswerCheck.fault(to, sent, bad, body).isEmpty(), k);
        });
    }

    @Test
    void versionsNeverFall() {
        final ItemId id = new ItemId(Kind.SERVICE, "s");
        final Item one = Item.none(id).next("{\"kind\":\"booking\"}", "a");
        final Item two = one.next("{\"kind\":\"booking\"}", "b");
        assertTrue(held.merge(new Msg.Chosen(new Ballot(2, "x"), two)));
        assertFalse(held.merge(new Msg.Chosen(new Ballot(9, "x"), one)));
        assertEquals(2, held.get(id).ver().n());
    }

    @Test
    void aCopyEndsWithAPurge() {
        stock(60_000);
        final List<Consumer<Reply>> asks = new ArrayList<>();
        final Edge edge = new Edge(
                loop, (to, msg, wait, then) -> asks.add(then), view, () -> true, 1, journal, 1 << 20, n -> true);
        final List<Answer> got = new ArrayList<>();
        for (final String purge :
                List.of("{\"route\":\"r\",\"path\":\"/s/1\"}", "{\"route\":\"r\",\"prefix\":\"/s/\"}")) {
            edge.take(new ClientRequest("GET", "/s/1", null, null, ""), got::add);
            asks.get(asks.size() - 1)
                    .accept(Reply.of(filled("2.5", view.mark(view.named("r").orElseThrow(), "/s/1"), 0)));
            edge.take(new ClientRequest("GET", "/s/1", null, null, ""), got::add);
            hold(Kind.PURGE, "p" + purge.length(), purge);
        }
        edge.take(new ClientRequest("GET", "/s/1", null, null, ""), got::add);
        assertEquals(
                List.of("miss", "hit", "miss", "hit"),
                got.stream().map(a -> a.heads().get("Rv-Cache")).toList());
        assertEquals(3, asks.size(), "the last one is on its way");
    }

    @Test
    void aDeletedPurgeStillHoldsForOlderCopies() {
        stock(1000);
        final ConfiguredRoute row = view.named("r").orElseThrow();
        final Mark before = view.mark(row, "/s/1");
        hold(Kind.PURGE, "p", "{\"route\":\"r\",\"path\":\"/s/1\"}");
        final Item p = held.get(new ItemId(Kind.PURGE, "p"));
        held.merge(new Msg.Chosen(new Ballot(99, "x"), p.grave("d")));
        assertFalse(before.covers(view.mark(row, "/s/1")));
        assertTrue(before.covers(view.mark(row, "/s/2")));
    }

    @Test
    void usualStatusesAtAnEdge() {
        stock(1000);
        hold(Kind.SERVICE, "b", "{\"kind\":\"booking\",\"rate\":0,\"bodyLimit\":10,\"cutoffMs\":1000}");
        hold(
                Kind.ROUTE,
                "o",
                "{\"prefix\":\"/o/\",\"service\":\"b\",\"mode\":\"once\",\"lifetimeMs\":0,\"purgeable\":true}");
        final boolean[] fresh = {true};
        final Edge edge = new Edge(
                loop,
                (to, msg, wait, then) -> then.accept(Reply.lost(Reply.Trouble.NO_ANSWER)),
                view,
                () -> fresh[0],
                1,
                journal,
                1 << 20,
                n -> true);
        final List<String> got = new ArrayList<>();
        final Consumer<Answer> note = a -> got.add(a.status() + " " + a.fate());
        edge.take(new ClientRequest("GET", "/none", null, null, ""), note);
        edge.take(new ClientRequest("POST", "/s/1", null, null, ""), note);
        edge.take(new ClientRequest("POST", "/o/1", "k", new byte[11], ""), note);
        edge.take(new ClientRequest("POST", "/o/1", "", new byte[1], ""), note);
        edge.take(new ClientRequest("POST", "/o/1", "k", new byte[1], ""), note);
        fresh[0] = false;
        edge.take(new ClientRequest("GET", "/s/1", null, null, ""), note);
        edge.shut();
        edge.take(new ClientRequest("GET", "/s/1", null, null, ""), note);
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
        assertEquals(0, edge.busy());
    }

    private static long worst(final double pace, final long heldFrom, final long heldTo) {
        final org.rowanvalve.control.Pace p = new org.rowanvalve.control.Pace(org.rowanvalve.common.Timing.DEFAULT);
        final NodeId peer = NodeId.of("sh1");
        final java.util.PriorityQueue<long[]> beats = new java.util.PriorityQueue<>(
                (a, b) -> a[0] != b[0] ? Long.compare(a[0], b[0]) : Long.compare(a[1], b[1]));
        for (long t = 0; t < 40_000; t += 500) {
            beats.add(new long[] {t >= heldFrom && t < heldTo ? heldTo : t + t % 7, (long) (5000 + t * pace)});
        }
        long most = 0;
        for (long[] b = beats.poll(); b != null; b = beats.poll()) {
            p.hear(peer, b[0], b[1]);
            most = Math.max(most, p.proved(peer));
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
        final SimCluster town = new SimCluster(Place.kilimanjaro(), 8).open();
        final List<String> heard = new ArrayList<>();
        town.net().tap((to, msg) -> {
            if (to.text().equals("sh3")
                    && (msg instanceof Msg.Revoke || msg instanceof Msg.FenceAck || msg instanceof Msg.Place)) {
                heard.add(msg.getClass().getSimpleName());
            }
        });
        town.cut(List.of("sh3"), 9000);
        town.run(9000);
        heard.clear();
        town.run(4000);
        assertEquals(List.of("Revoke", "FenceAck", "Place"), heard.subList(0, 3), heard.toString());
        assertTrue(town.node("sh3").node().holder().count() > 0, "and it holds shards again");
        assertEquals(NodeId.of("sh3"), town.node("sh3").id());
    }

    @Test
    void aScriptsFaultsAreToldWithTheirPlace() {
        final List<org.rowanvalve.common.Finding> faults = new ArrayList<>();
        Script.read("""
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
                faults.stream().map(org.rowanvalve.common.Finding::place).toList());
    }
}
