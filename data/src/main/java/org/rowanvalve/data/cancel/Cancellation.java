package org.rowanvalve.data.cancel;

import java.util.ArrayList;
import java.util.List;
import org.rowanvalve.common.model.CancelCause;

/**
 * Tells the work on one request that nobody waits for its response any more. It is asked right before anything leaves for
 * another process, and it tells its listeners at once, so that work under way can end. A request that was cancelled stays
 * so.
 *
 * <p>{@link #announce} and {@link #isRequested} may be called in any thread; all else in the event loop.
 */
public final class Cancellation {
    /** For requests that nobody cancels. */
    public static final Cancellation NEVER = new Cancellation();

    private final List<Runnable> listeners = new ArrayList<>();
    private volatile CancelCause cause;

    /** From now on the request counts as cancelled; the listeners hear of it by {@link #request} only. */
    public void announce(final CancelCause why) {
        if (this == NEVER) {
            throw new IllegalStateException("this request is never cancelled");
        }
        cause = cause == null ? why : cause;
    }

    /** Cancels the request and tells the listeners, each once. */
    public void request(final CancelCause why) {
        announce(why);
        final List<Runnable> all = List.copyOf(listeners);
        listeners.clear();
        all.forEach(Runnable::run);
    }

    public boolean isRequested() {
        return cause != null;
    }

    /** Why it was cancelled; null where it was not. */
    public CancelCause cause() {
        return cause;
    }

    /** {@code listener} is run when the request is cancelled. */
    public void onRequest(final Runnable listener) {
        if (this != NEVER) {
            listeners.add(listener);
        }
    }
}
