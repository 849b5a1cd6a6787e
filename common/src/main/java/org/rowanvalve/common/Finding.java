package org.rowanvalve.common;

/** One fault of an input, with the place in the input where it stands. */
public record Finding(String place, String text) {
    @Override
    public String toString() {
        return place + ": " + text;
    }
}
