package org.rowanvalve.common;

/** State on disk cannot be read or written. */
public final class DiskTrouble extends Exception {
    public DiskTrouble(final String text, final Throwable why) {
        super(text, why);
    }
}
