package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** The version of one item. */
public record Version(@JsonValue long number) implements Comparable<Version> {
    public static final Version ZERO = new Version(0);

    @JsonCreator
    public Version {
        if (number < 0) {
            throw new IllegalArgumentException("version below zero");
        }
    }

    public Version next() {
        return new Version(number + 1);
    }

    public boolean isAbove(final Version other) {
        return number > other.number;
    }

    @Override
    public int compareTo(final Version other) {
        return Long.compare(number, other.number);
    }
}
