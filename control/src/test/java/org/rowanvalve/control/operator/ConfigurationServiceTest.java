package org.rowanvalve.control.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.control.voting.VoterFixture;

/** The product's own interface, for what came with hosts, tags and services of the open kind. */
class ConfigurationServiceTest {
    private final VoterFixture net = new VoterFixture();
    private final ConfigurationService clerk =
            new ConfigurationService(net.loop, net.items, net.view, net.proposer, net.journal, net::tag);
    private final List<ApiResponse> said = new ArrayList<>();

    private ApiResponse put(final ItemKind kind, final String name, final String body, final long version) {
        said.clear();
        clerk.putItem(new ItemId(kind, name), body.getBytes(StandardCharsets.UTF_8), version, null, said::add);
        net.loop.run(100);
        return said.get(0);
    }

    private ApiResponse announce(final ServiceKind kind) {
        said.clear();
        clerk.announceOrigin(
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
        assertEquals(
                200, put(ItemKind.PURGE, "perfume", "{\"tag\":\"perfume\"}", 0).status());
        final long first = net.configuration.tagPurge("perfume").version();
        assertTrue(first > 0);
        assertEquals(
                200,
                put(ItemKind.PURGE, "perfume", "{\"tag\":\"perfume\"}", first).status());
        assertTrue(net.configuration.tagPurge("perfume").version() > first);
        put(ItemKind.SERVICE, "s", "{\"kind\":\"open\"}", 0);
        assertEquals(
                200,
                put(
                                ItemKind.ROUTE,
                                "r",
                                "{\"prefix\":\"/\",\"host\":\"h\",\"service\":\"s\",\"mode\":\"cached\",\"lifetimeMs\":9000}",
                                0)
                        .status());
        assertEquals(
                200,
                put(ItemKind.PURGE, "one", "{\"host\":\"h\",\"path\":\"/x\"}", 0)
                        .status());
        assertEquals(
                1,
                net.configuration
                        .versionsOf(net.configuration.route("h", "/x").orElseThrow(), "/x")
                        .versions()
                        .size());
        assertEquals(422, put(ItemKind.PURGE, "two", "{\"host\":\"h\"}", 0).status());
        assertEquals(
                422,
                put(ItemKind.PURGE, "two", "{\"tag\":\"t\",\"path\":\"/x\"}", 0).status());
    }

    @Test
    void originsOfEveryKindOfServiceAreAnnounced() {
        net.confirm();
        for (final ServiceKind kind : List.of(ServiceKind.OPEN, ServiceKind.BOOKING)) {
            put(
                    ItemKind.SERVICE,
                    "s",
                    "{\"kind\":\"" + kind + "\"}",
                    net.items.get(new ItemId(ItemKind.SERVICE, "s")).version().number());
            assertEquals(200, announce(kind).status(), kind.code());
            assertEquals(1, net.configuration.liveOrigins("s", net.loop.now()).size());
        }
        assertEquals(422, announce(ServiceKind.OPEN).status(), "the service is of another kind now");
    }
}
