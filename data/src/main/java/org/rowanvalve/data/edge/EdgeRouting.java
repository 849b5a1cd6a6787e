package org.rowanvalve.data.edge;

import java.util.List;
import java.util.function.Predicate;
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

    /** How many regions objects are filled for, and which of them this edge is in. */
    int regionCount();

    int region();

    /** Dispatches to origins when no shield is heard from; null where there is no such way. */
    OriginDispatcher directDispatcher();

    /**
     * No majority of voters is heard from: nothing newer can be known, so requests that need no lease are forwarded.
     */
    boolean isWithoutQuorum();

    static EdgeRouting withoutShields(final Predicate<NodeId> heard) {
        return new EdgeRouting() {
            @Override
            public List<NodeId> nearestShields() {
                return List.of();
            }

            @Override
            public boolean isHeard(final NodeId id) {
                return heard.test(id);
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
            public long silenceMs(final NodeId id) {
                return 0;
            }

            @Override
            public boolean isWithoutQuorum() {
                return false;
            }
        };
    }
}
