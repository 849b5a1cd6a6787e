package org.rowanvalve.data.origin;

import java.util.function.Consumer;

/** A wait of a committed attempt before it is sent. The wait ends exactly once, and its listener is told how. */
abstract class AttemptWait {
    private final OriginDispatcher dispatcher;
    private final OriginRequest request;
    private Consumer<End> listener;
    private boolean ended;

    enum End {
        TURN,
        TIMED_OUT,
        GIVEN_UP
    }

    AttemptWait(final OriginDispatcher dispatcher, final OriginRequest request) {
        this.dispatcher = dispatcher;
        this.request = request;
    }

    final OriginDispatcher dispatcher() {
        return dispatcher;
    }

    final OriginRequest request() {
        return request;
    }

    final void begin(final Consumer<End> onEnd) {
        listener = onEnd;
        start();
    }

    abstract void start();

    /** Releases the reserved turn, so that another attempt can use it. */
    abstract void release();

    /** Ends the wait because nobody waits for the request any more. */
    final void giveUp() {
        release();
        end(End.GIVEN_UP);
    }

    final void end(final End end) {
        if (!ended) {
            ended = true;
            listener.accept(end);
        }
    }

    final boolean hasEnded() {
        return ended;
    }
}
