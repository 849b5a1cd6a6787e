package org.rowanvalve.data.cancel;

import java.util.ArrayList;
import java.util.List;
import org.rowanvalve.common.model.CancelCause;

/**
 * Tells the work on one request that nobody waits for its response any more. It is asked right before anything leaves for
 * another process, and it tells its listeners at once, so that work under way can end. A request that was cancelled stays
 * so.
 *
 * <p>After a pause of the process, what would cancel a request may not be read yet. Until its caller has said that it still
 * waits, the request is unconfirmed: it is not sent, and goes on once it is confirmed.
 *
 * <p>{@link #announce} and {@link #isRequested} may be called in any thread; all else in the event loop.
 */
public final class Cancellation {
    /** For requests that nobody cancels. */
    public static final Cancellation NEVER = new Cancellation();

    /** Whether a request may leave for another process. */
    public enum Standing {
        /** Its caller waits, as far as can be known here and now. */
        WANTED,
        /** Its caller has to be asked first. */
        UNCONFIRMED,
        /** Nobody waits for it. */
        CANCELLED
    }

    private final Runnable source;
    private final List<Runnable> listeners = new ArrayList<>();
    private final List<Runnable> settledListeners = new ArrayList<>();
    private volatile CancelCause cause;
    private boolean unconfirmed;

    /** One that only {@link #request} cancels. */
    public Cancellation() {
        this(() -> {});
    }

    /** {@code source}: looks whether the caller still waits, where this can be looked up, and cancels or suspends. */
    public Cancellation(final Runnable source) {
        this.source = source;
    }

    /** From now on the request counts as cancelled; the listeners hear of it by {@link #request} only. */
    public void announce(final CancelCause why) {
        requireCancellable();
        cause = cause == null ? why : cause;
    }

    private void requireCancellable() {
        if (this == NEVER) {
            throw new IllegalStateException("this request is never cancelled");
        }
    }

    /** Cancels the request and tells the listeners, each once. */
    public void request(final CancelCause why) {
        announce(why);
        runOnce(listeners);
        runOnce(settledListeners);
    }

    private static void runOnce(final List<Runnable> once) {
        final List<Runnable> all = List.copyOf(once);
        once.clear();
        all.forEach(Runnable::run);
    }

    public boolean isRequested() {
        return cause != null;
    }

    /** Looks up whether the request may leave now. To be asked right before it does. */
    public Standing poll() {
        source.run();
        if (isRequested()) {
            return Standing.CANCELLED;
        }
        return unconfirmed ? Standing.UNCONFIRMED : Standing.WANTED;
    }

    /** From now on the request is unconfirmed. */
    public void suspend() {
        requireCancellable();
        unconfirmed = true;
    }

    /** Its caller still waits. */
    public void confirm() {
        unconfirmed = false;
        runOnce(settledListeners);
    }

    /** {@code listener} is run once when the request, now unconfirmed, is confirmed or cancelled. */
    public void onSettled(final Runnable listener) {
        settledListeners.add(listener);
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
