package org.rowanvalve.control.placement;

import java.util.ArrayList;
import java.util.List;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.control.membership.Membership;

/**
 * Selects the shield that owns a shard. Shards belong to regions in turn; a region's shields own its shards while there
 * are any.
 */
public final class OwnerSelector {
    private final Regions regions;
    private final Membership membership;

    public OwnerSelector(final Regions regions, final Membership membership) {
        this.regions = regions;
        this.membership = membership;
    }

    /**
     * {@code settled}: those of the {@code candidates} shields that have been heard of for a while. An owner that is back counts,
     * though it has not been heard of for long: it holds the shard already.
     */
    public NodeId select(
            final int shard, final NodeId current, final List<NodeId> candidates, final List<NodeId> settled) {
        if (current == null || !candidates.contains(current) || settled.contains(current)) {
            return PlacementPlan.rendezvousOwner(shard, localCandidates(shard, settled));
        }
        final List<NodeId> list = new ArrayList<>(settled);
        list.add(current);
        return PlacementPlan.rendezvousOwner(shard, localCandidates(shard, list));
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
