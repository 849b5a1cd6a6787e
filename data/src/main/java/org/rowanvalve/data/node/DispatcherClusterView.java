package org.rowanvalve.data.node;

import java.util.List;
import java.util.function.Supplier;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.data.edge.MembershipRouting;
import org.rowanvalve.data.origin.OriginDispatcher;
import org.rowanvalve.data.settings.NodeSettings;

/** Connects an {@link OriginDispatcher} to the other components of its node. */
final class DispatcherClusterView {
    private DispatcherClusterView() {}

    /** {@code peers} supplies the other live shields on a shield, and an empty list on an edge. */
    static OriginDispatcher.ClusterView of(
            final NodeSettings settings, final CoreComponents core, final Supplier<List<NodeId>> peers) {
        return new OriginDispatcher.ClusterView(
                core.viewSynchronizer::isFresh,
                () -> MembershipRouting.lacksQuorum(settings, core.membership, core.votingConfiguration),
                peers,
                () -> Math.max(1, core.membership.knownCount(Role.EDGE)),
                () -> core.membership.knownCount(Role.SHIELD));
    }
}
