package org.rowanvalve.data.edge;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.data.origin.OriginDispatcher;

/** Edge routing for tests with given reachable shields and silences, in a single region and with a quorum. */
class FixedRouting implements EdgeRouting {
    private final Collection<NodeId> shields;
    private final Map<NodeId, Long> silenceMs;

    /** Both collections are read at each call, so that tests can change them. */
    FixedRouting(final Collection<NodeId> shields, final Map<NodeId, Long> silenceMs) {
        this.shields = shields;
        this.silenceMs = silenceMs;
    }

    @Override
    public List<NodeId> nearestShields() {
        return List.copyOf(shields);
    }

    @Override
    public boolean isHeard(final NodeId id) {
        return shields.contains(id);
    }

    @Override
    public long silenceMs(final NodeId id) {
        return silenceMs.getOrDefault(id, 0L);
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
