package org.rowanvalve.common;

import java.util.Optional;

/** The answer to a request between processes, or the reason why there is none. */
public record Reply(Msg msg, Trouble trouble) {
    /** Why there is no answer: {@code NOT_SENT} is a promise that no byte of the request has left. */
    public enum Trouble {
        NONE,
        NOT_SENT,
        NO_ANSWER
    }

    public static Reply of(final Msg msg) {
        return new Reply(msg, Trouble.NONE);
    }

    public static Reply lost(final Trouble why) {
        return new Reply(null, why);
    }

    public <T extends Msg> Optional<T> as(final Class<T> type) {
        return type.isInstance(msg) ? Optional.of(type.cast(msg)) : Optional.empty();
    }
}
