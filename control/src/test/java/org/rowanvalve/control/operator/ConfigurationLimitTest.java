package org.rowanvalve.control.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.control.config.Purge;
import org.rowanvalve.control.json.Json;

/** All that operators define is bounded at the door, since no voter could leave a state that its memory cannot hold. */
class ConfigurationLimitTest {
    private static final String NOTE = "n".repeat(430);
    private static final int PER_CALL = 400;
    private static final int LIMIT_BYTES = 1 << 20;
    private static final int MAX_PARTS = 8;
    private static final NodeId FIRST = UpdateCluster.IDS.get(0);
    private final UpdateCluster net = new UpdateCluster(11, new UpdateLimits(LIMIT_BYTES, LIMIT_BYTES));

    private static String call(final int from, final int to) {
        final Map<String, Object> services = new TreeMap<>();
        for (int i = from; i < to; i++) {
            services.put("s" + i, Map.of("kind", "open", "note", NOTE, "version", 1));
        }
        return Json.write(Map.of("set", Map.of("services", services)));
    }

    private static String part(final int number) {
        return call(PER_CALL * number, PER_CALL * number + PER_CALL);
    }

    private static String drop(final int from, final int to) {
        final Map<String, Object> versions = new TreeMap<>();
        for (int i = from; i < to; i++) {
            versions.put("s" + i, 2);
        }
        return Json.write(Map.of("drop", Map.of("services", versions)));
    }

    private int send(final NodeId at, final String call) {
        final List<Integer> statuses = new ArrayList<>();
        net.patch(at, call, statuses::add);
        net.loop.run(6000);
        return statuses.isEmpty() ? 0 : statuses.get(0);
    }

    private boolean stands(final NodeId at, final int number) {
        return net.item(at, UpdateCluster.service("s" + number)).exists();
    }

    /** Fills the configuration up; the number of the part that was refused. */
    private int fill() {
        int part = 0;
        int status = send(FIRST, part(part));
        while (status == 200 && part < MAX_PARTS) {
            part++;
            status = send(FIRST, part(part));
        }
        assertEquals(413, status);
        return part;
    }

    /** Guards against a configuration that grows until no process can hold it, not even after a restart. */
    @Test
    void aCallBeyondTheLimitIsRefusedWholeAtEachNode() {
        final int refused = fill();
        assertTrue(refused >= 3, "parts taken: " + refused);
        for (final NodeId id : UpdateCluster.IDS) {
            assertEquals(413, send(id, part(refused)), "at " + id);
            assertEquals(200, send(id, part(refused - 1)), "what was taken, again at " + id);
            assertFalse(stands(id, PER_CALL * refused));
            assertTrue(stands(id, PER_CALL * refused - 1));
        }
    }

    /** Guards against a full configuration that nothing can be removed from, or changed in. */
    @Test
    void aFullConfigurationCanBeMadeSmallerAndChanged() {
        final int refused = fill();
        final String changed =
                call(0, 10).replace("\"version\":1", "\"version\":5").replace("nnnn", "mmmm");
        assertEquals(200, send(FIRST, changed), "a change of the same size");
        assertEquals(200, send(FIRST, drop(100, 100 + PER_CALL)));
        assertEquals(200, send(UpdateCluster.IDS.get(2), part(refused)));
        UpdateCluster.IDS.forEach(id -> assertTrue(stands(id, PER_CALL * refused), "at " + id));
    }

    /** Guards against a bound that was lowered, or a larger configuration of an earlier release, that nobody can leave. */
    @Test
    void aConfigurationAboveTheLimitCanBeMadeSmallerAndChanged() {
        final int refused = fill();
        net.restart(new UpdateLimits(LIMIT_BYTES, LIMIT_BYTES / 2));
        assertEquals(413, send(FIRST, part(refused)));
        final String changed =
                call(0, 10).replace("\"version\":1", "\"version\":5").replace("nnnn", "mmmm");
        assertEquals(200, send(FIRST, changed), "a change of the same size");
        assertEquals(200, send(UpdateCluster.IDS.get(3), drop(100, 200)));
        UpdateCluster.IDS.forEach(id -> assertFalse(stands(id, 150), "at " + id));
        assertEquals(413, send(FIRST, call(100, 200).replace("\"version\":1", "\"version\":9")));
    }

    /** Guards against purges, of which a long life has any number, that take up the room of the configuration. */
    @Test
    void purgesTakeUpNoRoomOfTheConfiguration() {
        for (int i = 0; i < 600; i++) {
            final String path = "/" + i + "p".repeat(2048);
            net.orders(FIRST).purge(new Purge(null, path, null, "h.example", null), response -> {});
            net.loop.run(20);
        }
        net.loop.run(5000);
        assertEquals(200, send(FIRST, part(0)));
        assertEquals(200, send(UpdateCluster.IDS.get(1), part(1)));
    }

    /** Guards against calls at once that fit alone and not together. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void callsAtOnceDoNotPassTheLimitTogether(final long seed) {
        final UpdateCluster many = new UpdateCluster(seed, new UpdateLimits(LIMIT_BYTES, LIMIT_BYTES));
        final List<UpdateCluster.Caller> callers = new ArrayList<>();
        for (int number = 0; number < 8; number++) {
            final UpdateCluster.Caller caller = many.new Caller(part(number), 0.2);
            callers.add(caller);
            caller.send(UpdateCluster.IDS.get(number % UpdateCluster.IDS.size()));
        }
        many.loop.run(60_000);
        for (int number = 0; number < 8; number++) {
            final int status = callers.get(number).status;
            assertTrue(status == 200 || status == 413, "part " + number + ": " + status);
            for (final NodeId id : UpdateCluster.IDS) {
                final boolean stands = many.item(id, UpdateCluster.service("s" + PER_CALL * number))
                        .exists();
                assertEquals(status == 200, stands, "part " + number + " at " + id);
            }
        }
        assertTrue(callers.stream().anyMatch(caller -> caller.status == 413));
        assertTrue(callers.stream().filter(caller -> caller.status == 200).count() >= 3);
    }

    /** Guards against questions that name every item while a few change: they delay all else on a slow link. */
    @Test
    void whatANodeAsksForGrowsWithTheChangesAndNotWithTheItems() {
        final UpdateCluster large = new UpdateCluster(3);
        final List<Integer> largest = new ArrayList<>();
        for (int part = 0; part < 6; part++) {
            final List<Integer> statuses = new ArrayList<>();
            large.patch(FIRST, call(1000 * part, 1000 * part + 1000), statuses::add);
            large.loop.run(10_000);
            assertEquals(List.of(200), statuses);
            large.takeLargestQuestionBytes();
            large.patch(FIRST, call(20_000 + 200 * part, 20_200 + 200 * part), statuses::add);
            large.loop.run(5000);
            assertEquals(List.of(200, 200), statuses);
            largest.add(large.takeLargestQuestionBytes());
        }
        assertTrue(largest.get(0) > 0);
        assertTrue(largest.get(5) < 2 * largest.get(0), "bytes of a question: " + largest);
    }
}
