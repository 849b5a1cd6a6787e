package org.rowanvalve.data.edge;

import java.util.List;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.data.origin.OriginDispatcher;

/** Where an edge can forward what it does not answer itself. */
public interface EdgeRouting {
    /** Shields that are heard from, the nearest first. */
    List<NodeId> nearestShields();

    /** Whether this shield was heard from of late. */
    boolean isHeard(NodeId id);

    /** How long nothing has been heard from this shield, in ms. */
    long silenceMs(NodeId id);

    /** Whether this shield takes requests back. */
    boolean takesCancels(NodeId id);

    /** How many regions objects are filled for, and which of them this edge is in. */
    int regionCount();

    int region();

    /** Dispatches to origins when no shield is heard from; null where there is no such way. */
    OriginDispatcher directDispatcher();

    /**
     * No majority of voters is heard from: nothing newer can be known, so requests that need no lease are forwarded.
     */
    boolean isWithoutQuorum();
}
