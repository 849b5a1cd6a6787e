package org.rowanvalve.data.edge;

import java.util.List;
import java.util.function.Predicate;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.data.origin.OriginDispatcher;

/** Where an edge can send what it does not answer itself. */
public interface EdgeRouting {
    /** Shields that are heard of, the nearest first. */
    List<NodeId> nearestShields();

    boolean isHeard(NodeId id);

    /** For how long nothing has been heard of it, in ms. */
    long silenceMs(NodeId id);

    /** How many places objects are filled for, and which of them this edge is in. */
    int regionCount();

    int region();

    /** The way to origins for when no shield is heard of; null where there is none. */
    OriginDispatcher directDispatcher();

    /** No majority of electors can be heard from here: nothing newer can be known, so what needs no right goes on. */
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
