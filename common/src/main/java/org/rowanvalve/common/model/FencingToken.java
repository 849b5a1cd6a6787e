package org.rowanvalve.common.model;

/**
 * A fencing token: the term of the leader that granted it, and a count within the placement plan. A request with a
 * token below one already seen for the shard is rejected.
 */
public record FencingToken(long term, long count) implements Comparable<FencingToken> {
    public static final FencingToken ZERO = new FencingToken(0, 0);

    /** The next token in term {@code now}: above this one, whatever that term is. */
    public FencingToken next(final long now) {
        return new FencingToken(Math.max(term, now), count + 1);
    }

    public boolean isBelow(final FencingToken other) {
        return compareTo(other) < 0;
    }

    @Override
    public int compareTo(final FencingToken other) {
        final int c = Long.compare(term, other.term);
        return c != 0 ? c : Long.compare(count, other.count);
    }

    @Override
    public String toString() {
        return term + "." + count;
    }

    /** Reads {@code TERM.COUNT}. */
    public static FencingToken parse(final String text) {
        final int dot = text.indexOf('.');
        return new FencingToken(Long.parseLong(text.substring(0, dot)), Long.parseLong(text.substring(dot + 1)));
    }
}
