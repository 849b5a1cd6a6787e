package org.rowanvalve.common.message;

/** Bytes that are not a message, or not one of a known type. */
public final class MessageFormatException extends Exception {
    public MessageFormatException(final String text, final Throwable why) {
        super(text, why);
    }
}
