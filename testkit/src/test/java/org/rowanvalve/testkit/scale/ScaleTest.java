package org.rowanvalve.testkit.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.NodeStatus;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.control.config.Purge;
import org.rowanvalve.control.json.Json;

/** A small step by counts of frames and their sizes, whatever the machine's speed. */
class ScaleTest {
    private static final int SIZE = 40;
    private static final long MOST = 60_000;

    private static MessageTally.Count count(final LightweightNode node, final String kind) {
        return node.tally().counts().getOrDefault(kind, new MessageTally.Count(0, 0));
    }

    private static Map<NodeId, MessageTally.Count> counts(final List<LightweightNode> all, final String kind) {
        final Map<NodeId, MessageTally.Count> map = new HashMap<>();
        all.forEach(node -> map.put(node.id(), count(node, kind)));
        return map;
    }

    @Test
    void aStepOfFortyByCounts(@TempDir final Path dir) throws Exception {
        try (LightweightNodes herd = new LightweightNodes(SIZE, 32, false, dir.resolve("run"), dir)) {
            assertTrue(LightweightNodes.until(herd.up(), MOST, herd::settled) >= 0, "all hear of all");
            final List<LightweightNode> edges = herd.up(h -> h.role() == Role.EDGE);
            assertTrue(
                    LightweightNodes.until(
                                    herd.up(), MOST, h -> h.see(node -> node.status() == NodeStatus.READY, false))
                            >= 0,
                    "all are ready");
            final Map<NodeId, MessageTally.Count> calm = counts(edges, "in HeartbeatResponse");
            assertTrue(LightweightNodes.until(
                            edges,
                            MOST,
                            h -> count(h, "in HeartbeatResponse").frames()
                                    >= calm.get(h.id()).frames() + 12)
                    >= 0);
            final Map<NodeId, MessageTally.Count> from = counts(edges, "in HeartbeatResponse");
            assertTrue(LightweightNodes.until(
                            edges,
                            MOST,
                            h -> count(h, "in HeartbeatResponse").frames()
                                    >= from.get(h.id()).frames() + 24)
                    >= 0);
            final MessageTally.Count beaten = edges.stream()
                    .map(h -> count(h, "in HeartbeatResponse").less(from.get(h.id())))
                    .reduce(new MessageTally.Count(0, 0), MessageTally.Count::plus);
            assertTrue(
                    beaten.bytes() / beaten.frames() < 250,
                    "bytes of an answer to a beat: " + beaten.bytes() / beaten.frames());
            push(herd, edges);
        }
        assertFalse(Files.exists(dir.resolve("run")));
    }

    /** One purge, one push to each node, none of them answered. */
    private void push(final LightweightNodes herd, final List<LightweightNode> edges) throws InterruptedException {
        final Purge purge = new Purge(null, "/page", null, "shop.example", null);
        final String key = Json.write(purge);
        final LightweightNode door = edges.get(0);
        final MessageTally.Count out = count(door, "out LearnNotification");
        herd.waves().begin(key, herd.up().stream().map(LightweightNode::id).toList());
        door.loop().execute(() -> door.node().updateService().purge(purge, said -> {}));
        assertTrue(
                LightweightNodes.until(List.of(door), MOST, node -> herd.waves().done() == 1) >= 0,
                "a purge everywhere");
        assertTrue(LightweightNodes.until(
                        List.of(door),
                        MOST,
                        node -> count(node, "out LearnNotification").frames() - out.frames() == SIZE - 1)
                >= 0);
        assertEquals(0, count(door, "in AckResponse").frames());
    }

    @Test
    void aScaleThatDoesNotFitIsRefusedWithTheFigure() {
        final MachineCapacity room = new MachineCapacity(32_000, 4096, 20_000, 100_000, 16);
        assertEquals(List.of(), room.lacks(430));
        assertEquals(
                List.of("900 nodes need 41600 open files, there are 20000, allowed to this process"),
                room.lacks(900).stream().filter(l -> l.contains("files")).toList());
        assertTrue(room.lacks(100_000).size() >= 4);
        assertEquals(List.of(), ScaleRun.sizes("50,x"));
        assertEquals(List.of(), ScaleRun.sizes("11"));
        assertEquals(List.of(50, 430), ScaleRun.sizes("50,430"));
    }

    @Test
    void slopesAreLinesOfLeastSquares() {
        final Map<String, Double> a = new LinkedHashMap<>(Map.of("nodes", 50.0, "bytes", 300.0));
        final Map<String, Double> b = new LinkedHashMap<>(Map.of("nodes", 150.0, "bytes", 500.0));
        final double[] line = ScaleRun.slopes(List.of(a, b)).get("bytes");
        assertEquals(200, line[0], 1e-9);
        assertEquals(2, line[1], 1e-9);
    }
}
