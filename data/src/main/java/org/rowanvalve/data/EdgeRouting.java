package org.rowanvalve.data;

import java.util.List;
import java.util.function.Predicate;
import org.rowanvalve.common.NodeId;

/** Where an edge can send what it does not answer itself. */
public interface EdgeRouting {
    /** Shields that are heard of, the nearest first. */
    List<NodeId> near();

    boolean heard(NodeId id);

    /** For how long nothing has been heard of it, in ms. */
    long silent(NodeId id);

    /** How many places objects are filled for, and which of them this edge is in. */
    int places();

    int place();

    /** The way to origins for when no shield is heard of; null where there is none. */
    Sender direct();

    /** No majority of electors can be heard from here: nothing newer can be known, so what needs no right goes on. */
    boolean alone();

    static EdgeRouting of(final Predicate<NodeId> heard) {
        return new EdgeRouting() {
            @Override
            public List<NodeId> near() {
                return List.of();
            }

            @Override
            public boolean heard(final NodeId id) {
                return heard.test(id);
            }

            @Override
            public int places() {
                return 1;
            }

            @Override
            public int place() {
                return 0;
            }

            @Override
            public Sender direct() {
                return null;
            }

            @Override
            public long silent(final NodeId id) {
                return 0;
            }

            @Override
            public boolean alone() {
                return false;
            }
        };
    }
}
