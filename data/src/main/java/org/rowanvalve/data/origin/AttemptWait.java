package org.rowanvalve.data.origin;

import java.util.function.BiConsumer;

/** A committed attempt waits for something that has turns. It ends once: its listener is told how. */
abstract class AttemptWait {
    private final BiConsumer<AttemptWait, End> listener;
    private boolean ended;

    enum End {
        TURN,
        TIMED_OUT,
        GIVEN_UP
    }

    AttemptWait(final BiConsumer<AttemptWait, End> listener) {
        this.listener = listener;
    }

    abstract void begin();

    /** Gives the turn back, so that another attempt gets it. */
    abstract void release();

    /** Nobody waits for the request any more. */
    final void giveUp() {
        if (!ended) {
            release();
            end(End.GIVEN_UP);
        }
    }

    final void end(final End end) {
        if (!ended) {
            ended = true;
            listener.accept(this, end);
        }
    }

    final boolean hasEnded() {
        return ended;
    }
}
