package org.rowanvalve.common;

/** A fencing token: the term of the authority that gave it, and a count within the plan. */
public record Token(long term, long count) implements Comparable<Token> {
    public static final Token ZERO = new Token(0, 0);

    public Token rise(final long now) {
        return new Token(Math.max(term, now), count + 1);
    }

    public boolean below(final Token o) {
        return compareTo(o) < 0;
    }

    @Override
    public int compareTo(final Token o) {
        final int c = Long.compare(term, o.term);
        return c != 0 ? c : Long.compare(count, o.count);
    }

    @Override
    public String toString() {
        return term + "." + count;
    }

    public static Token parse(final String text) {
        final int dot = text.indexOf('.');
        return new Token(Long.parseLong(text.substring(0, dot)), Long.parseLong(text.substring(dot + 1)));
    }
}
