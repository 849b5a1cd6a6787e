package org.rowanvalve.data.limit;

import java.util.function.Consumer;
import java.util.function.IntConsumer;

/**
 * To how many origins one request may still be sent from this node. An attempt is committed before an origin is chosen
 * for it, so attempts that wait for a slot or for the rate limit count too; it is released only if surely no byte of it
 * was sent.
 */
public final class AttemptAllowance {
    private final Consumer<IntConsumer> source;
    private int granted;
    private int committed;

    private AttemptAllowance(final int granted, final Consumer<IntConsumer> source) {
        this.granted = granted;
        this.source = source;
    }

    /** A fixed number of attempts. */
    public static AttemptAllowance of(final int granted) {
        return new AttemptAllowance(granted, answer -> answer.accept(0));
    }

    /** {@code source} is asked for each further attempt and answers once, with how many it reserves for this node. */
    public static AttemptAllowance of(final int granted, final Consumer<IntConsumer> source) {
        return new AttemptAllowance(granted, source);
    }

    /** Commits an attempt, requesting one more where none is left; {@code callback} gets whether there is one. */
    public void commit(final Consumer<Boolean> callback) {
        if (committed < granted) {
            committed++;
            callback.accept(true);
            return;
        }
        source.accept(more -> {
            granted += Math.max(0, more);
            final boolean available = committed < granted;
            committed += available ? 1 : 0;
            callback.accept(available);
        });
    }

    /** Returns a committed attempt that surely was not made. */
    public void release() {
        committed--;
    }

    /** Whether an origin may have got the request from here. */
    public boolean used() {
        return committed > 0;
    }

    /** Attempts that were given and surely were not made. */
    public int unused() {
        return granted - committed;
    }
}
