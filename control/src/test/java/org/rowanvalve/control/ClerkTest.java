package org.rowanvalve.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;

/** The product's own interface, for what came with hosts, tags and services of the open kind. */
class ClerkTest {
    private final Voters net = new Voters();
    private final ItemService clerk = new ItemService(net.loop, net.held, net.sync, net.writer, net.journal, net::tag);
    private final List<ApiResult> said = new ArrayList<>();

    private ApiResult put(final Kind kind, final String name, final String body, final long version) {
        said.clear();
        clerk.put(new ItemId(kind, name), body.getBytes(StandardCharsets.UTF_8), version, null, said::add);
        net.loop.run(100);
        return said.get(0);
    }

    private ApiResult announce(final String kind) {
        said.clear();
        clerk.announce(
                "o1",
                ("{\"service\":\"s\",\"kind\":\"" + kind + "\",\"host\":\"10.0.0.1\",\"port\":80,\"stamp\":\"x\"}")
                        .getBytes(StandardCharsets.UTF_8),
                said::add);
        net.loop.run(100);
        return said.get(0);
    }

    @Test
    void aTagAndAHostsPathArePurgedByName() {
        net.confirm();
        assertEquals(200, put(Kind.PURGE, "perfume", "{\"tag\":\"perfume\"}", 0).status());
        final long first = net.view.tagged("perfume").ver();
        assertTrue(first > 0);
        assertEquals(
                200, put(Kind.PURGE, "perfume", "{\"tag\":\"perfume\"}", first).status());
        assertTrue(net.view.tagged("perfume").ver() > first);
        put(Kind.SERVICE, "s", "{\"kind\":\"open\"}", 0);
        assertEquals(
                200,
                put(
                                Kind.ROUTE,
                                "r",
                                "{\"prefix\":\"/\",\"host\":\"h\",\"service\":\"s\",\"mode\":\"cached\",\"lifetimeMs\":9000}",
                                0)
                        .status());
        assertEquals(
                200,
                put(Kind.PURGE, "one", "{\"host\":\"h\",\"path\":\"/x\"}", 0).status());
        assertEquals(
                1,
                net.view
                        .mark(net.view.route("h", "/x").orElseThrow(), "/x")
                        .vers()
                        .size());
        assertEquals(422, put(Kind.PURGE, "two", "{\"host\":\"h\"}", 0).status());
        assertEquals(
                422,
                put(Kind.PURGE, "two", "{\"tag\":\"t\",\"path\":\"/x\"}", 0).status());
    }

    @Test
    void originsOfEveryKindOfServiceAreAnnounced() {
        net.confirm();
        for (final String kind : List.of(Service.OPEN, Service.BOOKING)) {
            put(
                    Kind.SERVICE,
                    "s",
                    "{\"kind\":\"" + kind + "\"}",
                    net.held.get(new ItemId(Kind.SERVICE, "s")).ver().n());
            assertEquals(200, announce(kind).status(), kind);
            assertEquals(1, net.view.live("s", net.loop.now()).size());
        }
        assertEquals(422, announce(Service.OPEN).status(), "the service is of another kind now");
    }
}
