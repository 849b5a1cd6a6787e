package org.rowanvalve.data.edge;

import java.util.List;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.data.origin.OriginDispatcher;

/** The shields and origins to which an edge can forward requests that it does not answer itself. */
public interface EdgeRouting {
    /** The reachable shields, nearest first. */
    List<NodeId> nearestShields();

    /** Whether a message from this shield arrived recently. */
    boolean isHeard(NodeId id);

    /** The time since the last message from this shield, in ms. */
    long silenceMs(NodeId id);

    /** Whether this shield supports the cancellation of forwarded requests. */
    boolean supportsCancel(NodeId id);

    /** The number of regions for which objects are filled separately. */
    int regionCount();

    /** The index of the region of this edge. */
    int region();

    /** Dispatches requests to origins if no shield is reachable; null if this edge must not send to origins. */
    OriginDispatcher directDispatcher();

    /**
     * Whether messages arrive from less than a majority of the voters. The edge then cannot learn of a newer configuration,
     * and forwards requests that need no lease under the configuration it knows.
     */
    boolean isWithoutQuorum();
}
