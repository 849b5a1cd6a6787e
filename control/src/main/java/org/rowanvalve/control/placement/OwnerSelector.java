package org.rowanvalve.control.placement;

import java.util.ArrayList;
import java.util.List;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.control.membership.Membership;

/**
 * Selects the shield that owns a shard. Shards are assigned to regions round-robin. The owner of a shard is a shield of
 * the shard's region if that region has one, otherwise a shield of any region.
 */
public final class OwnerSelector {
    private final Regions regions;
    private final Membership membership;

    public OwnerSelector(final Regions regions, final Membership membership) {
        this.regions = regions;
        this.membership = membership;
    }

    /**
     * Selects the owner by rendezvous hashing among the {@code settled} shields: those of the {@code candidates} that
     * have been known for some time. A current owner that returned recently is eligible too, because it already holds
     * the shard.
     */
    public NodeId select(
            final int shard, final NodeId current, final List<NodeId> candidates, final List<NodeId> settled) {
        if (current == null || !candidates.contains(current) || settled.contains(current)) {
            return PlacementPlan.rendezvousOwner(shard, localCandidates(shard, settled));
        }
        final List<NodeId> eligible = new ArrayList<>(settled);
        eligible.add(current);
        return PlacementPlan.rendezvousOwner(shard, localCandidates(shard, eligible));
    }

    private List<NodeId> localCandidates(final int shard, final List<NodeId> settled) {
        final List<NodeId> localShields = regions.count() < 2
                ? settled
                : settled.stream()
                        .filter(node -> regions.indexOf(membership.get(node).location()) == shard % regions.count())
                        .toList();
        return localShields.isEmpty() ? settled : localShields;
    }
}
