package org.rowanvalve.common.runtime;

/** Thrown if state on disk cannot be read or written. */
public final class StorageException extends Exception {
    public StorageException(final String message, final Throwable cause) {
        super(message, cause);
    }
}
