package org.rowanvalve.server.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.server.options.Options;
import org.rowanvalve.server.origin.DefaultOriginProtocol;

/** Tests that a warm-up completes inside the process or gives up in time. */
class InProcessWarmupTest {
    private static Options options() {
        final List<ValidationError> faults = new ArrayList<>();
        final Options options = Options.read(
                Role.EDGE,
                new String[] {
                    "--wire",
                    "127.0.0.1:1",
                    "--http",
                    "127.0.0.1:2",
                    "--door",
                    "127.0.0.1:3",
                    "--cell",
                    "a/b",
                    "--seeds",
                    "127.0.0.1:4",
                    "--stores",
                    "none"
                },
                faults);
        assertEquals(List.of(), faults);
        return options;
    }

    @Test
    void requestsOfEachKindGetAResponse() throws Exception {
        final InProcessWarmup warmup = new InProcessWarmup(options(), new DefaultOriginProtocol(), l -> null, 20_000);
        final List<Integer> statuses = new ArrayList<>();
        assertTrue(warmup.prepare(1));
        assertEquals(
                8,
                warmup.sendRequests(
                        8,
                        (request, onResponse) -> warmup.loop()
                                .execute(() -> warmup.edge().edge().handle(request, response -> {
                                    statuses.add(response.status());
                                    onResponse.run();
                                }))));
        warmup.stop();
        assertEquals(java.util.Collections.nCopies(8, 200), statuses);
    }

    /** On a machine whose real-time clock stops while it computes, a limit in real time would never end the wait. */
    @Test
    void oneThatNeverSettlesEndsByItsOwnClock() throws Exception {
        final InProcessWarmup warmup = new InProcessWarmup(options(), new DefaultOriginProtocol(), l -> null, 90_000);
        final long startNanos = System.nanoTime();
        assertFalse(warmup.prepare(1, "no configuration"));
        assertTrue(System.nanoTime() - startNanos < 60_000_000_000L, "the setup ends before its limit in real time");
        warmup.stop();
    }

    @Test
    void clockRunsInRealTimeOnceSetupIsComplete() throws Exception {
        final InProcessWarmup warmup = new InProcessWarmup(options(), new DefaultOriginProtocol(), l -> null, 20_000);
        final long startNanos = System.nanoTime();
        assertTrue(warmup.prepare(1));
        final long settledMs = warmup.loop().now();
        assertTrue(settledMs < 20_000 + (System.nanoTime() - startNanos) / 1_000_000);
        warmup.loop().execute(() -> {});
        assertTrue(warmup.loop().now() - settledMs <= (System.nanoTime() - startNanos) / 1_000_000);
        warmup.stop();
    }

    /** If the loop skipped idle time before the nodes have started, the whole limit would be used up at once. */
    @Test
    void idleTimeIsNotSkippedBeforeTheNodesHaveStarted() throws Exception {
        for (int round = 0; round < 100; round++) {
            final InProcessWarmup warmup =
                    new InProcessWarmup(options(), new DefaultOriginProtocol(), l -> null, 60_000);
            assertTrue(
                    warmup.prepare(1),
                    "warm-up " + round + " at " + warmup.loop().now() + " ms of its own clock");
            warmup.stop();
        }
    }

    @Test
    void noRequestIsSentAfterTheTimeLimit() throws Exception {
        final InProcessWarmup warmup = new InProcessWarmup(options(), new DefaultOriginProtocol(), l -> null, 0);
        assertEquals(0, warmup.sendRequests(8, (request, onResponse) -> onResponse.run()));
        warmup.stop();
    }
}
