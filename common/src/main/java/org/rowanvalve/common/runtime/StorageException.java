package org.rowanvalve.common.runtime;

/** State on disk cannot be read or written. */
public final class StorageException extends Exception {
    public StorageException(final String text, final Throwable why) {
        super(text, why);
    }
}
