package org.rowanvalve.data;

import java.util.function.Consumer;
import java.util.function.IntConsumer;

/**
 * To how many origins one request may still be sent from this node. An attempt is committed before an origin is chosen for
 * it, so attempts that wait for a slot or for their pace count too; it is released only if surely no byte of it left.
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
    static AttemptAllowance of(final int granted, final Consumer<IntConsumer> source) {
        return new AttemptAllowance(granted, source);
    }

    /** Commits an attempt, asking for one more where none is in hand; {@code then} hears whether there is one. */
    void commit(final Consumer<Boolean> then) {
        if (committed < granted) {
            committed++;
            then.accept(true);
            return;
        }
        source.accept(more -> {
            granted += Math.max(0, more);
            final boolean given = committed < granted;
            committed += given ? 1 : 0;
            then.accept(given);
        });
    }

    void release() {
        committed--;
    }

    /** Whether an origin may have got the request from here. */
    boolean used() {
        return committed > 0;
    }

    int unused() {
        return granted - committed;
    }
}
