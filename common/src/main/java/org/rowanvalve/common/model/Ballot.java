package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/** A proposal number of one register: rounds rise, and the proposer's name breaks ties. */
public record Ballot(long round, @JsonProperty("node") String proposer) implements Comparable<Ballot> {
    public static final Ballot ZERO = new Ballot(0, "");

    @Override
    public int compareTo(final Ballot o) {
        final int c = Long.compare(round, o.round);
        return c != 0 ? c : proposer.compareTo(o.proposer);
    }

    public boolean isAbove(final Ballot o) {
        return compareTo(o) > 0;
    }
}
