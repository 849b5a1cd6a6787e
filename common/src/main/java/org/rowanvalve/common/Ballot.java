package org.rowanvalve.common;

/** A proposal number of one register: rounds rise, and the proposer's name breaks ties. */
public record Ballot(long round, String node) implements Comparable<Ballot> {
    public static final Ballot ZERO = new Ballot(0, "");

    @Override
    public int compareTo(final Ballot o) {
        final int c = Long.compare(round, o.round);
        return c != 0 ? c : node.compareTo(o.node);
    }

    public boolean above(final Ballot o) {
        return compareTo(o) > 0;
    }
}
