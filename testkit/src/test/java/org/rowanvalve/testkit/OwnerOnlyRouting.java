package org.rowanvalve.testkit;

import java.util.List;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.data.edge.EdgeRouting;
import org.rowanvalve.data.origin.OriginDispatcher;

/** An edge's routing that knows no shield but the owners that the plan names, all of which are heard from. */
final class OwnerOnlyRouting implements EdgeRouting {
    @Override
    public List<NodeId> nearestShields() {
        return List.of();
    }

    @Override
    public boolean isHeard(final NodeId id) {
        return true;
    }

    @Override
    public long silenceMs(final NodeId id) {
        return 0;
    }

    @Override
    public int regionCount() {
        return 1;
    }

    @Override
    public int region() {
        return 0;
    }

    @Override
    public OriginDispatcher directDispatcher() {
        return null;
    }

    @Override
    public boolean isWithoutQuorum() {
        return false;
    }

    @Override
    public boolean supportsCancel(final NodeId id) {
        return true;
    }
}
