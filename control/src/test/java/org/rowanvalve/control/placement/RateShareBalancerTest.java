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

/** Shares of a rate limit are lowered, and confirmed by every holder, before others are raised. */
class RateShareBalancerTest {
    private static final NodeId A = NodeId.of("sh1");
    private static final NodeId B = NodeId.of("sh2");
    private final RateShareBalancer balancer = new RateShareBalancer();

    private void renew(final NodeId holder, final long serial, final int shard, final int requests) {
        balancer.onRenewal(
                holder, new LeaseRenewRequest(1, List.of(), serial, List.of(new ShardDemand("s", shard, requests))));
    }

    @Test
    void sharesAreLoweredAndConfirmedBeforeOthersAreRaised() {
        final PlacementPlan even = new PlacementPlan(
                1, 1, List.of(new PlacementPlan.Assignment("sh1", 1, 1), new PlacementPlan.Assignment("sh2", 1, 1)));
        balancer.clear(0);
        renew(A, 0, 0, 90);
        renew(B, 0, 1, 10);
        final PlacementPlan lowered = balancer.nextPlan(even, 2, 5000).orElseThrow();
        assertEquals(5000, lowered.weight("s", 0), "the share of the shard with more demand is not raised yet");
        assertTrue(lowered.weight("s", 1) < 2500);
        renew(A, lowered.weightsSerial(), 0, 90);
        assertEquals(
                Optional.empty(),
                balancer.nextPlan(lowered, 2, 9000),
                "the other holder has not confirmed the lowered shares");
        renew(B, lowered.weightsSerial(), 1, 10);
        assertEquals(Optional.empty(), balancer.nextPlan(lowered, 2, 10_000), "requests under way get time to end");
        final PlacementPlan raised = balancer.nextPlan(lowered, 2, 11_000).orElseThrow();
        assertTrue(raised.weight("s", 0) > 7000);
        assertTrue(raised.weight("s", 0) + raised.weight("s", 1) <= PlacementPlan.WEIGHT_SCALE);
    }

    /** The first round for a service whose shares never followed its demand comes sooner than later rounds. */
    @Test
    void sharesFollowTheFirstDemandForAServiceSooner() {
        final PlacementPlan even = new PlacementPlan(
                1, 1, List.of(new PlacementPlan.Assignment("sh1", 1, 1), new PlacementPlan.Assignment("sh2", 1, 1)));
        balancer.clear(0);
        renew(A, 0, 0, 90);
        renew(B, 0, 1, 10);
        final PlacementPlan lowered = balancer.nextPlan(even, 2, 1000).orElseThrow();
        renew(A, lowered.weightsSerial(), 0, 90);
        renew(B, lowered.weightsSerial(), 1, 10);
        assertEquals(Optional.empty(), balancer.nextPlan(lowered, 2, 1100));
        final PlacementPlan raised = balancer.nextPlan(lowered, 2, 2100).orElseThrow();
        assertTrue(raised.weight("s", 0) > 7000);
        renew(A, raised.weightsSerial(), 0, 10);
        renew(B, raised.weightsSerial(), 1, 900);
        assertEquals(
                Optional.empty(),
                balancer.nextPlan(raised, 2, 4000),
                "the shares have followed the demand before, so the longer interval applies");
        assertTrue(balancer.nextPlan(raised, 2, 5100).isPresent());
    }

    /**
     * Only shares that move between holders wait for confirmation, not shares that move between shards of one holder.
     */
    @Test
    void aHolderKeepsItsTotalShareWhileItMovesBetweenItsShards() {
        final PlacementPlan even = new PlacementPlan(
                1,
                1,
                List.of(
                        new PlacementPlan.Assignment("sh1", 1, 1),
                        new PlacementPlan.Assignment("sh1", 1, 1),
                        new PlacementPlan.Assignment("sh2", 1, 1),
                        new PlacementPlan.Assignment("sh2", 1, 1)));
        balancer.clear(0);
        renew(A, 0, 0, 60);
        renew(A, 0, 1, 10);
        renew(B, 0, 2, 30);
        renew(B, 0, 3, 0);
        final PlacementPlan lowered = balancer.nextPlan(even, 4, 5000).orElseThrow();
        final int first = lowered.weight("s", 0) + lowered.weight("s", 1);
        final int second = lowered.weight("s", 2) + lowered.weight("s", 3);
        assertEquals(5000, first, 2, "the holder that gains keeps its previous share");
        assertEquals(
                PlacementPlan.WEIGHT_SCALE * (0.25 * 0.5 + 0.75 * 0.3),
                second,
                2,
                "the other holder gets its lower share immediately");
        renew(A, lowered.weightsSerial(), 0, 1);
        renew(B, lowered.weightsSerial(), 2, 1);
        balancer.nextPlan(lowered, 4, 6000);
        final PlacementPlan raised = balancer.nextPlan(lowered, 4, 7000).orElseThrow();
        final int sum = IntStream.range(0, 4).map(s -> raised.weight("s", s)).sum();
        assertTrue(
                sum <= PlacementPlan.WEIGHT_SCALE && sum > 0.99 * PlacementPlan.WEIGHT_SCALE,
                "the shares add up to the whole rate: " + sum);
    }
}
