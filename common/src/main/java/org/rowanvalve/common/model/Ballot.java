package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/** A proposal number of one register: rounds rise, and the proposer's name breaks ties. */
public record Ballot(long round, @JsonProperty("node") String proposer) implements Comparable<Ballot> {
    public static final Ballot ZERO = new Ballot(0, "");

    @Override
    public int compareTo(final Ballot other) {
        final int c = Long.compare(round, other.round);
        return c != 0 ? c : proposer.compareTo(other.proposer);
    }

    public boolean isAbove(final Ballot other) {
        return compareTo(other) > 0;
    }
}
