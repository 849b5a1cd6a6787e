package org.rowanvalve.data.origin;

import java.util.function.Consumer;

/** A committed attempt waits for something before it is sent. It ends once: its listener is told how. */
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

    /** Gives the turn back, so that another attempt gets it. */
    abstract void release();

    /** Nobody waits for the request any more. */
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
