package org.rowanvalve.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.NodeId;

/** Lowered and confirmed by every holder before anything is raised. */
class ShareStepTest {
    private static final NodeId A = NodeId.of("sh1");
    private static final NodeId B = NodeId.of("sh2");
    private final Shares shares = new Shares();

    private void say(final NodeId who, final long serial, final int shard, final int n) {
        shares.hear(who, new Msg.Renew(1, List.of(), serial, List.of(new Msg.Wish("s", shard, n))));
    }

    @Test
    void partsAreLoweredAndConfirmedBeforeOthersAreRaised() {
        final Plan even = new Plan(1, 1, List.of(new Plan.Part("sh1", 1, 1), new Plan.Part("sh2", 1, 1)));
        shares.clear(0);
        say(A, 0, 0, 90);
        say(B, 0, 1, 10);
        final Plan low = shares.next(even, 2, 5000).orElseThrow();
        assertEquals(5000, low.weight("s", 0), "the hot one is not raised yet");
        assertTrue(low.weight("s", 1) < 2500);
        say(A, low.serial(), 0, 90);
        assertEquals(Optional.empty(), shares.next(low, 2, 9000), "the other has not said that it goes by it");
        say(B, low.serial(), 1, 10);
        assertEquals(Optional.empty(), shares.next(low, 2, 10_000), "and what it had begun has time to end");
        final Plan high = shares.next(low, 2, 11_000).orElseThrow();
        assertTrue(high.weight("s", 0) > 7000);
        assertTrue(high.weight("s", 0) + high.weight("s", 1) <= Plan.WHOLE);
    }

    /** A service whose parts were never set to its demand is looked at soon, others at leisure. */
    @Test
    void aServicesFirstDemandIsFollowedSoon() {
        final Plan even = new Plan(1, 1, List.of(new Plan.Part("sh1", 1, 1), new Plan.Part("sh2", 1, 1)));
        shares.clear(0);
        say(A, 0, 0, 90);
        say(B, 0, 1, 10);
        final Plan low = shares.next(even, 2, 1000).orElseThrow();
        say(A, low.serial(), 0, 90);
        say(B, low.serial(), 1, 10);
        assertEquals(Optional.empty(), shares.next(low, 2, 1100));
        final Plan high = shares.next(low, 2, 2100).orElseThrow();
        assertTrue(high.weight("s", 0) > 7000);
        say(A, high.serial(), 0, 10);
        say(B, high.serial(), 1, 900);
        assertEquals(Optional.empty(), shares.next(high, 2, 4000), "its parts have followed its demand before");
        assertTrue(shares.next(high, 2, 5100).isPresent());
    }

    /** Only what moves from one holder to another is held back meanwhile, not what moves among one holder's own shards. */
    @Test
    void aHolderKeepsItsPartWhileItsShardsTradePlaces() {
        final Plan even = new Plan(
                1,
                1,
                List.of(
                        new Plan.Part("sh1", 1, 1),
                        new Plan.Part("sh1", 1, 1),
                        new Plan.Part("sh2", 1, 1),
                        new Plan.Part("sh2", 1, 1)));
        shares.clear(0);
        say(A, 0, 0, 60);
        say(A, 0, 1, 10);
        say(B, 0, 2, 30);
        say(B, 0, 3, 0);
        final Plan low = shares.next(even, 4, 5000).orElseThrow();
        final int first = low.weight("s", 0) + low.weight("s", 1);
        final int second = low.weight("s", 2) + low.weight("s", 3);
        assertEquals(5000, first, 2, "the one that gains keeps what it had");
        assertEquals(Plan.WHOLE * (0.25 * 0.5 + 0.75 * 0.3), second, 2, "the other goes down to its new part at once");
        say(A, low.serial(), 0, 1);
        say(B, low.serial(), 2, 1);
        shares.next(low, 4, 6000);
        final Plan high = shares.next(low, 4, 7000).orElseThrow();
        final int sum = IntStream.range(0, 4).map(s -> high.weight("s", s)).sum();
        assertTrue(sum <= Plan.WHOLE && sum > 0.99 * Plan.WHOLE, "in the end all of it: " + sum);
    }
}
