package org.rowanvalve.data.limit;

import java.util.function.Consumer;
import java.util.function.IntConsumer;

/**
 * The number of origins to which one request may still be sent from this node. An attempt is committed before its
 * origin is chosen, so that attempts which wait for a slot or for the rate limit count too. A committed attempt is
 * released only if it is certain that no byte of it was sent.
 */
public final class AttemptAllowance {
    private final Consumer<IntConsumer> grants;
    private int granted;
    private int committed;

    private AttemptAllowance(final int granted, final Consumer<IntConsumer> grants) {
        this.granted = granted;
        this.grants = grants;
    }

    /** A fixed number of attempts. */
    public static AttemptAllowance of(final int granted) {
        return new AttemptAllowance(granted, answer -> answer.accept(0));
    }

    /**
     * Starts with {@code granted} attempts. {@code grants} is called for each further attempt and passes the number of
     * attempts reserved for this node to its consumer, once.
     */
    public static AttemptAllowance of(final int granted, final Consumer<IntConsumer> grants) {
        return new AttemptAllowance(granted, grants);
    }

    /**
     * Commits an attempt, requesting a further one if none is left. {@code callback} gets whether an attempt was
     * committed.
     */
    public void commit(final Consumer<Boolean> callback) {
        if (committed < granted) {
            committed++;
            callback.accept(true);
            return;
        }
        grants.accept(reserved -> {
            granted += Math.max(0, reserved);
            final boolean available = committed < granted;
            committed += available ? 1 : 0;
            callback.accept(available);
        });
    }

    /** Returns a committed attempt of which certainly no byte was sent. */
    public void release() {
        committed--;
    }

    /** Whether an origin may have received the request from this node. */
    public boolean used() {
        return committed > 0;
    }

    /** The number of granted attempts that were certainly not made. */
    public int unused() {
        return granted - committed;
    }
}
