package org.rowanvalve.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Ballot;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Ver;

/** Orders under versions of the operator's own, before three electors. */
class OrdersTest {
    private static final String SET =
            "{\"set\":{\"services\":{\"s\":{\"kind\":\"open\",\"note\":\"%s\",\"version\":%d}}}}";
    private final Voters net = new Voters();
    private final Orders orders = new Orders(net.loop, net, net.held, net.sync, net.writer, net::tag, Optional::empty);
    private final List<ApiResult> said = new ArrayList<>();

    private int patch(final String text, final long ms) {
        said.clear();
        orders.patch(text.getBytes(StandardCharsets.UTF_8), said::add);
        net.loop.run(ms);
        return said.isEmpty() ? 0 : said.get(0).status();
    }

    private int purge(final Purge p) {
        said.clear();
        orders.purge(p, said::add);
        net.loop.run(100);
        return said.isEmpty() ? 0 : said.get(0).status();
    }

    private Item service() {
        return net.held.get(new ItemId(Kind.SERVICE, "s"));
    }

    @Test
    void anUnconfirmedFrameTakesNoOrder() {
        assertEquals(503, patch(SET.formatted("one", 3), 100));
        assertEquals(503, purge(new Purge(null, "/x", null, "h", null)));
        assertEquals(List.of(), net.written);
    }

    @Test
    void aFaultyCallWritesNothing() {
        net.confirm();
        assertEquals(
                422,
                patch(
                        "{\"set\":{\"services\":{\"s\":{\"kind\":\"open\",\"version\":3},\"t\":{\"kind\":\"?\",\"version\":3}}}}",
                        100));
        assertEquals(List.of(), net.written);
    }

    @Test
    void aCallIsRefusedOnlyByAFrameConfirmedSince() {
        net.confirm();
        final String route =
                "{\"set\":{\"routes\":{\"r\":{\"prefix\":\"/x/\",\"service\":\"s\",\"mode\":\"status\",\"version\":7}}}}";
        assertEquals(422, patch(route, 100));
        net.news.add(new Msg.Chosen(
                Ballot.ZERO,
                new Item(
                        new ItemId(Kind.SERVICE, "s"),
                        new Ver(1),
                        Json.text(new Service("open", 0, 1, 1000, 0, 0, "")),
                        false,
                        "")));
        assertEquals(200, patch(route, 100), "the service was stated at another node a moment ago");
        net.deaf.addAll(List.of(NodeId.of("a"), NodeId.of("b")));
        assertEquals(503, patch(route.replace("\"s\"", "\"t\""), 800), "nobody can say that there is none");
    }

    @Test
    void theHighestVersionHoldsWhateverComesLater() {
        net.confirm();
        assertEquals(200, patch(SET.formatted("one", 12), 100));
        assertEquals(200, patch(SET.formatted("one", 12), 100), "the same again");
        assertEquals(409, patch(SET.formatted("other", 12), 100), "one number, one body");
        assertEquals(12L, said.get(0).body().get("version"));
        assertEquals(200, patch(SET.formatted("old", 5), 100), "a lower one alters nothing and is no fault");
        assertEquals(409, patch(SET.formatted("another old one", 5), 100));
        assertEquals(12, service().ver().n());
        assertTrue(service().body().contains("\"one\""));
        assertEquals(200, patch("{\"drop\":{\"services\":{\"s\":13}}}", 100));
        assertTrue(service().gone());
        assertEquals(409, patch(SET.formatted("back", 13), 100), "its number was taken to drop it");
        assertTrue(service().gone(), "a dropped one comes back under a higher version only");
    }

    @Test
    void withoutAMajorityThereIsNoYes() {
        net.confirm();
        net.deaf.add(NodeId.of("a"));
        assertEquals(200, patch(SET.formatted("two of three", 2), 1000));
        net.deaf.add(NodeId.of("b"));
        assertEquals(0, patch(SET.formatted("one of three", 3), 500));
        net.loop.run(2500);
        assertEquals(503, said.get(0).status());
        assertEquals(1, said.size());
        assertEquals(2, service().ver().n());
    }

    /** What this node knows is not enough for a verdict, not even that a call was taken or not. */
    @Test
    void withoutVotesThereIsNoVerdictThoughTheFrameIsConfirmed() {
        net.confirm();
        assertEquals(200, patch(SET.formatted("one", 12), 100));
        net.mute.addAll(List.of(NodeId.of("a"), NodeId.of("b")));
        for (final String call : List.of(SET.formatted("one", 12), SET.formatted("other", 12))) {
            assertEquals(0, patch(call, 1000), "no verdict yet");
            net.loop.run(3000);
            assertEquals(503, said.get(0).status());
        }
        net.mute.clear();
        assertEquals(409, patch(SET.formatted("other", 12), 1000));
    }

    @Test
    void eachPurgeIsAVersionOfItsOwn() {
        net.confirm();
        assertEquals(200, purge(new Purge(null, "/x", null, "h", null)));
        final long first = (Long) said.get(0).body().get("version");
        assertEquals(200, purge(new Purge(null, "/x", null, "h", null)));
        assertTrue((Long) said.get(0).body().get("version") > first);
        assertEquals(200, purge(new Purge(null, null, null, null, "t1")));
        final long tag = net.view.tagged("t1").ver();
        assertTrue(tag > first);
        assertEquals(200, purge(new Purge(null, null, null, null, "t1")));
        assertTrue(net.view.tagged("t1").ver() > tag);
    }

    @Test
    void theWholeIsReadAsOfAfterTheQuestion() {
        net.confirm();
        patch(SET.formatted("one", 1), 100);
        final List<Optional<Map<Kind, Map<String, Item>>>> got = new ArrayList<>();
        orders.whole(900, got::add);
        assertEquals(List.of(), got, "what was confirmed before the question does not count");
        net.loop.run(50);
        assertEquals(
                List.of("s"),
                List.copyOf(got.get(0).orElseThrow().get(Kind.SERVICE).keySet()));
        net.deaf.addAll(List.of(NodeId.of("a"), NodeId.of("b")));
        orders.whole(900, got::add);
        net.loop.run(950);
        assertEquals(Optional.empty(), got.get(1));
    }
}
