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

/** A rehearsal runs whole, stays inside the process, and gives up in time. */
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
    void requestsOfEachKindAreAnswered() throws Exception {
        final InProcessWarmup play = new InProcessWarmup(options(), new DefaultOriginProtocol(), l -> null, 20_000);
        final List<Integer> got = new ArrayList<>();
        assertTrue(play.prepare(1));
        assertEquals(
                8,
                play.play(
                        8,
                        (request, then) -> play.loop()
                                .execute(() -> play.edge().edge().handle(request, response -> {
                                    got.add(response.status());
                                    then.run();
                                }))));
        play.stop();
        assertEquals(java.util.Collections.nCopies(8, 200), got);
    }

    /** On a machine whose clock stands still while it computes, real time would never end the wait. */
    @Test
    void oneThatNeverSettlesEndsByItsOwnClock() throws Exception {
        final InProcessWarmup play = new InProcessWarmup(options(), new DefaultOriginProtocol(), l -> null, 90_000);
        final long from = System.nanoTime();
        assertFalse(play.prepare(1, "no configuration"));
        assertTrue(System.nanoTime() - from < 60_000_000_000L, "before its real time is over");
        play.stop();
    }

    @Test
    void theClockNoLongerLeapsOnceItIsSettled() throws Exception {
        final InProcessWarmup play = new InProcessWarmup(options(), new DefaultOriginProtocol(), l -> null, 20_000);
        final long from = System.nanoTime();
        assertTrue(play.prepare(1));
        final long settled = play.loop().now();
        assertTrue(settled < 20_000 + (System.nanoTime() - from) / 1_000_000);
        play.loop().execute(() -> {});
        assertTrue(play.loop().now() - settled <= (System.nanoTime() - from) / 1_000_000);
        play.stop();
    }

    /** The loop may not skip its idle time before the nodes have started: then all of it would be spent at once. */
    @Test
    void timeIsNotSkippedBeforeTheNodesHaveStarted() throws Exception {
        for (int round = 0; round < 100; round++) {
            final InProcessWarmup play = new InProcessWarmup(options(), new DefaultOriginProtocol(), l -> null, 60_000);
            assertTrue(
                    play.prepare(1), "warm-up " + round + " at " + play.loop().now() + " ms of its own clock");
            play.stop();
        }
    }

    @Test
    void withoutTimeItIsGivenUp() throws Exception {
        final InProcessWarmup play = new InProcessWarmup(options(), new DefaultOriginProtocol(), l -> null, 0);
        assertEquals(0, play.play(8, (request, then) -> then.run()));
        play.stop();
    }
}
