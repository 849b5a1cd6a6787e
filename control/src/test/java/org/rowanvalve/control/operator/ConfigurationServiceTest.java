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

/** The API for single items with hosts, tags and services of the open kind. */
class ConfigurationServiceTest {
    private final VoterFixture fixture = new VoterFixture();
    private final ConfigurationService service = new ConfigurationService(
            fixture.loop, fixture.items, fixture.view, fixture.proposer, fixture.journal, fixture::tag);
    private final List<ApiResponse> responses = new ArrayList<>();

    private ApiResponse put(final ItemKind kind, final String name, final String body, final long version) {
        responses.clear();
        service.putItem(new ItemId(kind, name), body.getBytes(StandardCharsets.UTF_8), version, null, responses::add);
        fixture.loop.run(100);
        return responses.get(0);
    }

    private ApiResponse announce(final ServiceKind kind) {
        responses.clear();
        service.announceOrigin(
                "o1",
                ("{\"service\":\"s\",\"kind\":\"" + kind + "\",\"host\":\"10.0.0.1\",\"port\":80,\"stamp\":\"x\"}")
                        .getBytes(StandardCharsets.UTF_8),
                responses::add);
        fixture.loop.run(100);
        return responses.get(0);
    }

    @Test
    void tagsAndHostPathsArePurgedByName() {
        fixture.confirm();
        assertEquals(
                200, put(ItemKind.PURGE, "perfume", "{\"tag\":\"perfume\"}", 0).status());
        final long first = fixture.configuration.tagPurge("perfume").version();
        assertTrue(first > 0);
        assertEquals(
                200,
                put(ItemKind.PURGE, "perfume", "{\"tag\":\"perfume\"}", first).status());
        assertTrue(fixture.configuration.tagPurge("perfume").version() > first);
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
                fixture.configuration
                        .versionsOf(fixture.configuration.route("h", "/x").orElseThrow(), "/x")
                        .versions()
                        .size());
        assertEquals(422, put(ItemKind.PURGE, "two", "{\"host\":\"h\"}", 0).status());
        assertEquals(
                422,
                put(ItemKind.PURGE, "two", "{\"tag\":\"t\",\"path\":\"/x\"}", 0).status());
    }

    @Test
    void originsOfEveryServiceKindCanBeAnnounced() {
        fixture.confirm();
        for (final ServiceKind kind : List.of(ServiceKind.OPEN, ServiceKind.BOOKING)) {
            put(
                    ItemKind.SERVICE,
                    "s",
                    "{\"kind\":\"" + kind + "\"}",
                    fixture.items
                            .get(new ItemId(ItemKind.SERVICE, "s"))
                            .version()
                            .number());
            assertEquals(200, announce(kind).status(), kind.code());
            assertEquals(
                    1,
                    fixture.configuration.liveOrigins("s", fixture.loop.now()).size());
        }
        assertEquals(422, announce(ServiceKind.OPEN).status(), "the service is of another kind now");
    }
}
