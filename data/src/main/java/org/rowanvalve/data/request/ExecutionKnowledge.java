package org.rowanvalve.data.request;

/**
 * What one node knows about the execution of one request by origins. The knowledge only rises: once a send may have reached
 * an origin, nothing makes the request unsent again.
 *
 * <p>Safety: a send is counted before its first byte may leave, and until its result is known it counts as executed.
 * {@link RequestFailure#toResponse} is the only way to a response without an origin's own, so no response can promise that
 * a request was not executed while a send of it is open or has ended without a clear result.
 */
public final class ExecutionKnowledge {
    /** How much is known, in rising order. */
    public enum Level {
        /** No send has reached an origin that executes the request. */
        NOT_SENT,
        /** A send may have reached an origin, and its result is unknown. */
        MAY_HAVE_RUN,
        /** An origin has executed the request. */
        DONE
    }

    private Level settled = Level.NOT_SENT;
    private int openSends;

    /** A send begins: bytes of the request may leave from now on. */
    public void beginSend() {
        openSends++;
    }

    /** A send has ended with this knowledge about the execution. */
    public void endSend(final Level result) {
        if (openSends == 0) {
            throw new IllegalStateException("no send is open");
        }
        openSends--;
        raise(result);
    }

    /** Adds what is known from elsewhere. */
    public void raise(final Level level) {
        settled = level.compareTo(settled) > 0 ? level : settled;
    }

    public Level level() {
        return openSends > 0 && settled == Level.NOT_SENT ? Level.MAY_HAVE_RUN : settled;
    }

    public boolean mayHaveRun() {
        return level() != Level.NOT_SENT;
    }
}
