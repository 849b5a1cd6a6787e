package org.rowanvalve.control.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.voting.VoterFixture;

/** Registration of origins that send heartbeats. */
class OriginRegistryTest {
    private static final ItemId ID = new ItemId(ItemKind.ORIGIN, "i1");
    private final VoterFixture fixture = new VoterFixture();
    private final OriginRegistry registry = new OriginRegistry(
            fixture.loop, fixture.items, fixture.view, fixture.proposer, fixture.journal, fixture::tag);
    private final List<ApiResponse> responses = new ArrayList<>();

    private static Origin origin(final long sequence, final boolean draining, final int slots, final long warmUpMs) {
        return new Origin(
                "s", "10.0.0.1", 80, "i1", ServiceKind.OPEN, 0, 0, draining, sequence, "r/z", slots, warmUpMs);
    }

    private int sendHeartbeat(final Origin origin) {
        responses.clear();
        registry.onHeartbeat("i1", origin, responses::add);
        fixture.loop.run(100);
        return responses.get(0).status();
    }

    private int sendEnd(final String name) {
        responses.clear();
        registry.onEnd(name, responses::add);
        fixture.loop.run(100);
        return responses.get(0).status();
    }

    private Origin registered() {
        return Json.read(fixture.items.get(ID).body(), Origin.class);
    }

    @Test
    void onlyChangesAreWritten() {
        fixture.confirm();
        assertEquals(200, sendHeartbeat(origin(1, false, 4, 3000)));
        final int writes = fixture.written.size();
        assertTrue(writes > 0);
        assertEquals(200, sendHeartbeat(origin(2, false, 4, 1500)));
        assertEquals(200, sendHeartbeat(origin(3, false, 4, 0)));
        assertEquals(writes, fixture.written.size(), "heartbeats without a change are not written");
        assertEquals(0, registry.agesMs().get(ID) - 100);
        assertEquals(200, sendHeartbeat(origin(4, false, 8, 0)));
        assertEquals(8, registered().slots());
        assertTrue(fixture.written.size() > writes);
    }

    @Test
    void lateHeartbeatChangesNothingAndOriginThatLeftCannotReturn() {
        fixture.confirm();
        sendHeartbeat(origin(5, false, 4, 0));
        assertEquals(200, sendHeartbeat(origin(4, false, 8, 0)), "sent before the registered one");
        assertEquals(4, registered().slots());
        assertEquals(200, sendHeartbeat(origin(6, true, 4, 0)));
        assertTrue(fixture.configuration.liveOrigins("s", fixture.loop.now()).isEmpty());
        assertEquals(200, sendHeartbeat(origin(7, false, 4, 0)));
        assertTrue(registered().draining());
        final int writes = fixture.written.size();
        assertEquals(200, sendEnd("i1"));
        assertEquals(writes, fixture.written.size(), "the leave was permanent already");
    }

    /** What was acknowledged as draining gets no requests, whatever sequence number the heartbeat had. */
    @Test
    void acknowledgedLeaveHoldsAlsoIfItArrivesAfterALaterHeartbeat() {
        fixture.confirm();
        sendHeartbeat(origin(5, false, 4, 0));
        assertEquals(200, sendHeartbeat(origin(4, true, 4, 0)));
        assertTrue(registered().draining());
        assertTrue(fixture.configuration.liveOrigins("s", fixture.loop.now()).isEmpty());
    }

    @Test
    void endedOriginIsNotLiveAndDoesNotReturn() {
        fixture.confirm();
        sendHeartbeat(origin(5, false, 4, 0));
        assertEquals(200, sendEnd("i1"));
        assertTrue(registered().draining());
        assertEquals(200, sendHeartbeat(origin(9, false, 4, 0)), "a heartbeat that was in flight");
        assertTrue(fixture.configuration.liveOrigins("s", fixture.loop.now()).isEmpty());
    }

    /** Guards against an origin whose first heartbeat comes after its acknowledged end, and is then used again. */
    @Test
    void originThatEndedBeforeItsFirstHeartbeatDoesNotReturn() {
        fixture.confirm();
        assertEquals(200, sendEnd("i1"));
        assertTrue(registered().isEndedUnseen());
        final int writes = fixture.written.size();
        assertEquals(200, sendEnd("i1"));
        assertEquals(200, sendHeartbeat(origin(1, false, 4, 0)), "the first heartbeat, seconds late");
        assertEquals(200, sendHeartbeat(origin(2, true, 4, 0)));
        assertEquals(writes, fixture.written.size());
        assertTrue(fixture.configuration.liveOrigins("s", fixture.loop.now()).isEmpty());
    }

    @Test
    void endsWithoutAHeartbeatAreKeptUpToABound() {
        fixture.confirm();
        for (int i = 0; i < OriginRegistry.MAX_ENDED_UNSEEN; i++) {
            assertEquals(200, sendEnd("unseen-" + i));
        }
        assertEquals(503, sendEnd("one-too-many"));
        assertEquals(200, sendEnd("unseen-0"), "a repeat takes no place");
        sendHeartbeat(origin(1, false, 4, 0));
        assertEquals(200, sendEnd("i1"), "an origin that is known takes no place");
    }

    @Test
    void nothingIsAcknowledgedWithoutAConfirmedViewOrAMajority() {
        assertEquals(503, sendHeartbeat(origin(1, false, 4, 0)));
        assertEquals(503, sendEnd("i1"));
        fixture.confirm();
        fixture.unreachable.addAll(List.of(NodeId.of("a"), NodeId.of("b")));
        responses.clear();
        registry.onHeartbeat("i1", origin(1, true, 4, 0), responses::add);
        fixture.loop.run(2000);
        assertEquals(List.of(503), responses.stream().map(ApiResponse::status).toList());
    }
}
