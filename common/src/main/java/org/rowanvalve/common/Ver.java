package org.rowanvalve.common;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** The version of one item. */
public record Ver(@JsonValue long n) implements Comparable<Ver> {
    public static final Ver ZERO = new Ver(0);

    @JsonCreator
    public Ver {
        if (n < 0) {
            throw new IllegalArgumentException("version below zero");
        }
    }

    public Ver next() {
        return new Ver(n + 1);
    }

    public boolean above(final Ver o) {
        return n > o.n;
    }

    @Override
    public int compareTo(final Ver o) {
        return Long.compare(n, o.n);
    }
}
