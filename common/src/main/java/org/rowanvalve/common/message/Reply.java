package org.rowanvalve.common.message;

import java.util.Optional;

/** The answer to a request between processes, or the reason why there is none. */
public record Reply(Message message, Failure failure) {
    /** Why there is no response: {@code NOT_SENT} promises that no byte of the request was sent. */
    public enum Failure {
        NONE,
        NOT_SENT,
        NO_RESPONSE
    }

    public static Reply of(final Message msg) {
        return new Reply(msg, Failure.NONE);
    }

    public static Reply failed(final Failure why) {
        return new Reply(null, why);
    }

    /** The response where there is one of this type; empty for another type or a failure. */
    public <T extends Message> Optional<T> as(final Class<T> type) {
        return type.isInstance(message) ? Optional.of(type.cast(message)) : Optional.empty();
    }
}
