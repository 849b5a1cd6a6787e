package org.rowanvalve.control.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.message.LeaseRenewRequest;
import org.rowanvalve.common.message.ShardDemand;
import org.rowanvalve.common.model.NodeId;

/** Lowered and confirmed by every holder before anything is raised. */
class RateShareBalancerTest {
    private static final NodeId A = NodeId.of("sh1");
    private static final NodeId B = NodeId.of("sh2");
    private final RateShareBalancer shares = new RateShareBalancer();

    private void say(final NodeId who, final long serial, final int shard, final int n) {
        shares.onRenewal(who, new LeaseRenewRequest(1, List.of(), serial, List.of(new ShardDemand("s", shard, n))));
    }

    @Test
    void partsAreLoweredAndConfirmedBeforeOthersAreRaised() {
        final PlacementPlan even = new PlacementPlan(
                1, 1, List.of(new PlacementPlan.Assignment("sh1", 1, 1), new PlacementPlan.Assignment("sh2", 1, 1)));
        shares.clear(0);
        say(A, 0, 0, 90);
        say(B, 0, 1, 10);
        final PlacementPlan low = shares.nextPlan(even, 2, 5000).orElseThrow();
        assertEquals(5000, low.weight("s", 0), "the hot one is not raised yet");
        assertTrue(low.weight("s", 1) < 2500);
        say(A, low.weightsSerial(), 0, 90);
        assertEquals(Optional.empty(), shares.nextPlan(low, 2, 9000), "the other has not said that it goes by it");
        say(B, low.weightsSerial(), 1, 10);
        assertEquals(Optional.empty(), shares.nextPlan(low, 2, 10_000), "and what it had begun has time to end");
        final PlacementPlan high = shares.nextPlan(low, 2, 11_000).orElseThrow();
        assertTrue(high.weight("s", 0) > 7000);
        assertTrue(high.weight("s", 0) + high.weight("s", 1) <= PlacementPlan.WEIGHT_SCALE);
    }

    /** A service whose parts were never set to its demand is looked at soon, others at leisure. */
    @Test
    void aServicesFirstDemandIsFollowedSoon() {
        final PlacementPlan even = new PlacementPlan(
                1, 1, List.of(new PlacementPlan.Assignment("sh1", 1, 1), new PlacementPlan.Assignment("sh2", 1, 1)));
        shares.clear(0);
        say(A, 0, 0, 90);
        say(B, 0, 1, 10);
        final PlacementPlan low = shares.nextPlan(even, 2, 1000).orElseThrow();
        say(A, low.weightsSerial(), 0, 90);
        say(B, low.weightsSerial(), 1, 10);
        assertEquals(Optional.empty(), shares.nextPlan(low, 2, 1100));
        final PlacementPlan high = shares.nextPlan(low, 2, 2100).orElseThrow();
        assertTrue(high.weight("s", 0) > 7000);
        say(A, high.weightsSerial(), 0, 10);
        say(B, high.weightsSerial(), 1, 900);
        assertEquals(Optional.empty(), shares.nextPlan(high, 2, 4000), "its parts have followed its demand before");
        assertTrue(shares.nextPlan(high, 2, 5100).isPresent());
    }

    /** Only what moves from one holder to another is held back meanwhile, not what moves among one holder's own shards. */
    @Test
    void aHolderKeepsItsPartWhileItsShardsTradePlaces() {
        final PlacementPlan even = new PlacementPlan(
                1,
                1,
                List.of(
                        new PlacementPlan.Assignment("sh1", 1, 1),
                        new PlacementPlan.Assignment("sh1", 1, 1),
                        new PlacementPlan.Assignment("sh2", 1, 1),
                        new PlacementPlan.Assignment("sh2", 1, 1)));
        shares.clear(0);
        say(A, 0, 0, 60);
        say(A, 0, 1, 10);
        say(B, 0, 2, 30);
        say(B, 0, 3, 0);
        final PlacementPlan low = shares.nextPlan(even, 4, 5000).orElseThrow();
        final int first = low.weight("s", 0) + low.weight("s", 1);
        final int second = low.weight("s", 2) + low.weight("s", 3);
        assertEquals(5000, first, 2, "the one that gains keeps what it had");
        assertEquals(
                PlacementPlan.WEIGHT_SCALE * (0.25 * 0.5 + 0.75 * 0.3),
                second,
                2,
                "the other goes down to its new part at once");
        say(A, low.weightsSerial(), 0, 1);
        say(B, low.weightsSerial(), 2, 1);
        shares.nextPlan(low, 4, 6000);
        final PlacementPlan high = shares.nextPlan(low, 4, 7000).orElseThrow();
        final int sum = IntStream.range(0, 4).map(s -> high.weight("s", s)).sum();
        assertTrue(
                sum <= PlacementPlan.WEIGHT_SCALE && sum > 0.99 * PlacementPlan.WEIGHT_SCALE,
                "in the end all of it: " + sum);
    }
}
