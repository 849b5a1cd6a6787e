package org.rowanvalve.control.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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

/** Origins that beat. */
class OriginRegistryTest {
    private static final ItemId ID = new ItemId(ItemKind.ORIGIN, "i1");
    private final VoterFixture net = new VoterFixture();
    private final OriginRegistry registry =
            new OriginRegistry(net.loop, net.items, net.view, net.proposer, net.journal, net::tag);
    private final List<ApiResponse> said = new ArrayList<>();

    private static Origin at(final long beat, final boolean leaving, final int slots, final long cold) {
        return new Origin("s", "10.0.0.1", 80, "i1", ServiceKind.OPEN, 0, 0, leaving, beat, "r/z", slots, cold);
    }

    private int beat(final Origin origin) {
        said.clear();
        registry.onHeartbeat("i1", origin, said::add);
        net.loop.run(100);
        return said.get(0).status();
    }

    private int end(final String name) {
        said.clear();
        registry.onEnd(name, said::add);
        net.loop.run(100);
        return said.get(0).status();
    }

    private Origin stands() {
        return Json.read(net.items.get(ID).body(), Origin.class);
    }

    @Test
    void onlyAChangeIsWritten() {
        net.confirm();
        assertEquals(200, beat(at(1, false, 4, 3000)));
        final int writes = net.written.size();
        assertTrue(writes > 0);
        assertEquals(200, beat(at(2, false, 4, 1500)));
        assertEquals(200, beat(at(3, false, 4, 0)));
        assertEquals(writes, net.written.size(), "beats without news are not written");
        assertEquals(0, registry.agesMs().get(ID) - 100);
        assertEquals(200, beat(at(4, false, 8, 0)));
        assertEquals(8, stands().slots());
        assertTrue(net.written.size() > writes);
    }

    @Test
    void aLateBeatChangesNothingAndOneThatLeavesDoesNotComeBack() {
        net.confirm();
        beat(at(5, false, 4, 0));
        assertEquals(200, beat(at(4, true, 4, 0)), "sent before the one that stands");
        assertFalse(stands().draining());
        assertEquals(200, beat(at(6, true, 4, 0)));
        assertTrue(net.configuration.liveOrigins("s", net.loop.now()).isEmpty());
        assertEquals(200, beat(at(7, false, 4, 0)));
        assertTrue(stands().draining());
        final int writes = net.written.size();
        assertEquals(200, end("i1"));
        assertEquals(writes, net.written.size(), "leaving is for good already");
    }

    @Test
    void oneThatEndsIsGoneAndAnUnknownOneNeedsNothing() {
        net.confirm();
        beat(at(5, false, 4, 0));
        assertEquals(200, end("i1"));
        assertTrue(stands().draining());
        assertEquals(200, beat(at(9, false, 4, 0)), "a beat that was under way");
        assertTrue(net.configuration.liveOrigins("s", net.loop.now()).isEmpty());
        assertEquals(200, end("i2"));
        assertTrue(net.items.get(new ItemId(ItemKind.ORIGIN, "i2")).deleted());
    }

    @Test
    void nothingIsAcknowledgedWithoutAFrameOrAMajority() {
        assertEquals(503, beat(at(1, false, 4, 0)));
        assertEquals(503, end("i1"));
        net.confirm();
        net.deaf.addAll(List.of(NodeId.of("a"), NodeId.of("b")));
        said.clear();
        registry.onHeartbeat("i1", at(1, true, 4, 0), said::add);
        net.loop.run(2000);
        assertEquals(List.of(503), said.stream().map(ApiResponse::status).toList());
    }
}
