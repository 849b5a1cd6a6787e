package org.rowanvalve.control.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.control.config.Purge;
import org.rowanvalve.control.config.Service;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.store.CollectionFloor;
import org.rowanvalve.control.voting.VoterFixture;

/** Updates under versions that the operators choose, with three voters. */
class UpdateServiceTest {
    private static final String SET =
            "{\"set\":{\"services\":{\"s\":{\"kind\":\"open\",\"note\":\"%s\",\"version\":%d}}}}";
    private final VoterFixture fixture = new VoterFixture();
    private final UpdateService updateService = new UpdateService(
            fixture.loop,
            fixture,
            fixture.items,
            fixture.view,
            fixture.proposer,
            fixture.journal,
            fixture::tag,
            Optional::empty,
            UpdateLimits.DEFAULTS);
    private final List<ApiResponse> responses = new ArrayList<>();

    private int sendUpdate(final String text, final long ms) {
        responses.clear();
        updateService.apply(text.getBytes(StandardCharsets.UTF_8), responses::add);
        fixture.loop.run(ms);
        return responses.isEmpty() ? 0 : responses.get(0).status();
    }

    private int purge(final Purge purge) {
        return purge(purge, 100);
    }

    private int purge(final Purge purge, final long ms) {
        responses.clear();
        updateService.purge(purge, responses::add);
        fixture.loop.run(ms);
        return responses.isEmpty() ? 0 : responses.get(0).status();
    }

    private Item service() {
        return fixture.items.get(new ItemId(ItemKind.SERVICE, "s"));
    }

    @Test
    void nodeWithoutAConfirmedViewAcceptsNoUpdate() {
        assertEquals(503, sendUpdate(SET.formatted("one", 3), 100));
        assertEquals(503, purge(new Purge(null, "/x", null, "h", null)));
        assertEquals(List.of(), fixture.written);
    }

    @Test
    void invalidUpdateWritesNothing() {
        fixture.confirm();
        assertEquals(
                422,
                sendUpdate(
                        "{\"set\":{\"services\":{\"s\":{\"kind\":\"open\",\"version\":3},\"t\":{\"kind\":\"?\",\"version\":3}}}}",
                        100));
        assertEquals(List.of(), fixture.written);
        final Map<String, Object> refusal = fixture.journal.recent().stream()
                .filter(entry -> entry.event().code() == EventCode.UPDATE_REFUSED)
                .map(entry -> entry.event().facts())
                .findFirst()
                .orElseThrow();
        assertEquals("/set/services/t/kind", refusal.get("path"));
    }

    @Test
    void updateIsRejectedOnlyByAViewConfirmedSince() {
        fixture.confirm();
        final String route =
                "{\"set\":{\"routes\":{\"r\":{\"prefix\":\"/x/\",\"service\":\"s\",\"mode\":\"status\",\"version\":7}}}}";
        assertEquals(422, sendUpdate(route, 100));
        fixture.missingItems.add(new ChosenItem(
                Ballot.ZERO,
                new Item(
                        new ItemId(ItemKind.SERVICE, "s"),
                        new Version(1),
                        Json.write(new Service(ServiceKind.OPEN, 0, 1, 1000, 0, 0, "")),
                        false,
                        "")));
        assertEquals(200, sendUpdate(route, 100), "the service was set at another node a moment ago");
        fixture.unreachable.addAll(List.of(NodeId.of("a"), NodeId.of("b")));
        assertEquals(
                503,
                sendUpdate(route.replace("\"s\"", "\"t\""), 800),
                "without a majority a missing service cannot be established");
    }

    @Test
    void highestVersionTakesEffectWhateverArrivesLater() {
        fixture.confirm();
        assertEquals(200, sendUpdate(SET.formatted("one", 12), 100));
        assertEquals(200, sendUpdate(SET.formatted("one", 12), 100), "the same again");
        assertEquals(409, sendUpdate(SET.formatted("other", 12), 100), "two bodies under one version");
        assertEquals(12L, responses.get(0).body().get("version"));
        assertEquals(200, sendUpdate(SET.formatted("old", 5), 100), "a lower version changes nothing and is no error");
        assertEquals(409, sendUpdate(SET.formatted("another old one", 5), 100));
        assertEquals(12, service().version().number());
        assertTrue(service().body().contains("\"one\""));
        assertEquals(200, sendUpdate("{\"drop\":{\"services\":{\"s\":13}}}", 100));
        assertTrue(service().deleted());
        assertEquals(409, sendUpdate(SET.formatted("back", 13), 100), "the version was used for the deletion");
        assertTrue(service().deleted(), "a deleted item returns under a higher version only");
    }

    @Test
    void nothingIsAcknowledgedWithoutAMajority() {
        fixture.confirm();
        fixture.unreachable.add(NodeId.of("a"));
        assertEquals(200, sendUpdate(SET.formatted("two of three", 2), 1000));
        fixture.unreachable.add(NodeId.of("b"));
        assertEquals(0, sendUpdate(SET.formatted("one of three", 3), 500));
        fixture.loop.run(2500);
        assertEquals(503, responses.get(0).status());
        assertEquals(1, responses.size());
        assertEquals(2, service().version().number());
    }

    /** The items that this node knows are not enough for a verdict, not even on whether an update was recorded. */
    @Test
    void noVerdictWithoutVotesThoughTheViewIsConfirmed() {
        fixture.confirm();
        assertEquals(200, sendUpdate(SET.formatted("one", 12), 100));
        fixture.nonVoting.addAll(List.of(NodeId.of("a"), NodeId.of("b")));
        for (final String update : List.of(SET.formatted("one", 12), SET.formatted("other", 12))) {
            assertEquals(0, sendUpdate(update, 1000), "no verdict yet");
            fixture.loop.run(3000);
            assertEquals(503, responses.get(0).status());
        }
        fixture.nonVoting.clear();
        assertEquals(409, sendUpdate(SET.formatted("other", 12), 1000));
    }

    @Test
    void eachPurgeCreatesANewVersion() {
        fixture.confirm();
        assertEquals(200, purge(new Purge(null, "/x", null, "h", null)));
        final long first = (Long) responses.get(0).body().get("version");
        assertEquals(200, purge(new Purge(null, "/x", null, "h", null)));
        assertTrue((Long) responses.get(0).body().get("version") > first);
        assertEquals(200, purge(new Purge(null, null, null, null, "t1")));
        final long tag = fixture.configuration.tagPurge("t1").version();
        assertTrue(tag > first);
        assertEquals(200, purge(new Purge(null, null, null, null, "t1")));
        assertTrue(fixture.configuration.tagPurge("t1").version() > tag);
    }

    @Test
    void configurationIsReadAsOfATimeAfterTheRequest() {
        fixture.confirm();
        sendUpdate(SET.formatted("one", 1), 100);
        final List<Optional<Map<ItemKind, Map<String, Item>>>> results = new ArrayList<>();
        updateService.readAll(900, results::add);
        assertEquals(List.of(), results, "a confirmation before the request does not count");
        fixture.loop.run(50);
        assertEquals(
                List.of("s"),
                List.copyOf(results.get(0).orElseThrow().get(ItemKind.SERVICE).keySet()));
        fixture.unreachable.addAll(List.of(NodeId.of("a"), NodeId.of("b")));
        updateService.readAll(900, results::add);
        fixture.loop.run(950);
        assertEquals(Optional.empty(), results.get(1));
    }

    /**
     * Guards against a purge that is acknowledged and never in force (STALE): a node that was held up wrote it under a version
     * that counts as garbage collected by now.
     */
    @Test
    void aPurgeUnderACollectedVersionIsNotAcknowledged() {
        fixture.confirm();
        fixture.responseDelayMs = 100;
        updateService.purge(new Purge(null, "/x", null, "h", null), responses::add);
        fixture.loop.run(150);
        fixture.put(CollectionFloor.ID, 1, new CollectionFloor(50, 0));
        fixture.loop.run(1000);
        assertEquals(503, responses.get(0).status());
        assertEquals(200, purge(new Purge(null, "/x", null, "h", null), 1000));
        assertEquals(51L, responses.get(0).body().get("version"));
    }
}
