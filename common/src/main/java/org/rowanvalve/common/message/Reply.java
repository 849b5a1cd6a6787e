package org.rowanvalve.common.message;

import java.util.Optional;

/** The response to a request between processes, or the reason why there is none. */
public record Reply(Message message, Failure failure) {
    /** Why there is no response. {@code NOT_SENT} guarantees that no byte of the request was sent. */
    public enum Failure {
        NONE,
        NOT_SENT,
        NO_RESPONSE
    }

    public static Reply of(final Message message) {
        return new Reply(message, Failure.NONE);
    }

    public static Reply failed(final Failure failure) {
        return new Reply(null, failure);
    }

    /** Returns the response if it has this type; empty for another type or a failure. */
    public <T extends Message> Optional<T> as(final Class<T> type) {
        return type.isInstance(message) ? Optional.of(type.cast(message)) : Optional.empty();
    }
}
