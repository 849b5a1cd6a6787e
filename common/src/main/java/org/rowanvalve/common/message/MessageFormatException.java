package org.rowanvalve.common.message;

/** Thrown if bytes cannot be decoded to a message of a known type. */
public final class MessageFormatException extends Exception {
    public MessageFormatException(final String text, final Throwable cause) {
        super(text, cause);
    }
}
