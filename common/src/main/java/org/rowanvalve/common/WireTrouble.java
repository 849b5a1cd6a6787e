package org.rowanvalve.common;

/** Bytes that are not a message, or not one of a known type. */
public final class WireTrouble extends Exception {
    public WireTrouble(final String text, final Throwable why) {
        super(text, why);
    }
}
