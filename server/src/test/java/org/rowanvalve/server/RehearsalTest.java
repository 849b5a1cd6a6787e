package org.rowanvalve.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Finding;
import org.rowanvalve.common.Role;

/** A rehearsal runs whole, stays inside the process, and gives up in time. */
class RehearsalTest {
    private static Options options() {
        final List<Finding> faults = new ArrayList<>();
        final Options o = Options.read(
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
        return o;
    }

    @Test
    void requestsOfEachKindAreAnswered() throws Exception {
        final Rehearsal play = new Rehearsal(options(), new OwnDialect(), l -> null, 20_000);
        final List<Integer> got = new ArrayList<>();
        assertTrue(play.prepare(1));
        assertEquals(
                8,
                play.play(
                        8,
                        (ask, then) -> play.loop()
                                .post(() -> play.edge().edge().take(ask, a -> {
                                    got.add(a.status());
                                    then.run();
                                }))));
        play.end();
        assertEquals(java.util.Collections.nCopies(8, 200), got);
    }

    /** On a machine whose clock stands still while it computes, real time would never end the wait. */
    @Test
    void oneThatNeverSettlesEndsByItsOwnClock() throws Exception {
        final Rehearsal play = new Rehearsal(options(), new OwnDialect(), l -> null, 90_000);
        final long from = System.nanoTime();
        assertFalse(play.prepare(1, "no configuration"));
        assertTrue(System.nanoTime() - from < 60_000_000_000L, "before its real time is over");
        play.end();
    }

    @Test
    void theClockNoLongerLeapsOnceItIsSettled() throws Exception {
        final Rehearsal play = new Rehearsal(options(), new OwnDialect(), l -> null, 20_000);
        final long from = System.nanoTime();
        assertTrue(play.prepare(1));
        final long settled = play.loop().now();
        assertTrue(settled < 20_000 + (System.nanoTime() - from) / 1_000_000);
        play.loop().post(() -> {});
        assertTrue(play.loop().now() - settled <= (System.nanoTime() - from) / 1_000_000);
        play.end();
    }

    @Test
    void withoutTimeItIsGivenUp() throws Exception {
        final Rehearsal play = new Rehearsal(options(), new OwnDialect(), l -> null, 0);
        assertEquals(0, play.play(8, (ask, then) -> then.run()));
        play.end();
    }
}
