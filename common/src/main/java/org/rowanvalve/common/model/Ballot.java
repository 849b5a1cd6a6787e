package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The ballot of a proposal for one register. Ballots are ordered by round; the proposer's name breaks ties. */
public record Ballot(long round, @JsonProperty("node") String proposer) implements Comparable<Ballot> {
    public static final Ballot ZERO = new Ballot(0, "");

    @Override
    public int compareTo(final Ballot other) {
        final int byRound = Long.compare(round, other.round);
        return byRound != 0 ? byRound : proposer.compareTo(other.proposer);
    }

    public boolean isAbove(final Ballot other) {
        return compareTo(other) > 0;
    }
}
