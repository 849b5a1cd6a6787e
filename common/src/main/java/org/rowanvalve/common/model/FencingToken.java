package org.rowanvalve.common.model;

/**
 * A fencing token: the term of the leader that granted it, and a count that the placement plan
 * increases with each move of the shard. A request with a token below one already seen for the shard is rejected.
 */
public record FencingToken(long term, long count) implements Comparable<FencingToken> {
    public static final FencingToken ZERO = new FencingToken(0, 0);

    /**
     * Returns the next token in the given term. It is above this token even if the given term is below this token's.
     */
    public FencingToken next(final long currentTerm) {
        return new FencingToken(Math.max(term, currentTerm), count + 1);
    }

    public boolean isBelow(final FencingToken other) {
        return compareTo(other) < 0;
    }

    @Override
    public int compareTo(final FencingToken other) {
        final int byTerm = Long.compare(term, other.term);
        return byTerm != 0 ? byTerm : Long.compare(count, other.count);
    }

    @Override
    public String toString() {
        return term + "." + count;
    }

    /** Parses {@code TERM.COUNT}. */
    public static FencingToken parse(final String text) {
        final int dot = text.indexOf('.');
        return new FencingToken(Long.parseLong(text.substring(0, dot)), Long.parseLong(text.substring(dot + 1)));
    }
}
