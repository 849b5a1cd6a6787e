package org.rowanvalve.data.cancel;

import java.util.ArrayList;
import java.util.List;
import org.rowanvalve.common.model.CancelCause;

/**
 * The cancellation state of one request, whose caller may stop waiting for the response. The state is polled right
 * before anything is sent to another process for the request. Listeners are notified at once when the request is
 * cancelled, so that work in progress can stop. A cancelled request stays cancelled.
 *
 * <p>After a pause of the process, the message that cancels a request may not have been read yet. The request is
 * therefore unconfirmed and is not sent until its caller has confirmed that it still waits.
 *
 * <p>{@link #announce} and {@link #isRequested} may be called from any thread, all other methods only from the event
 * loop.
 */
public final class Cancellation {
    /** The cancellation of requests that cannot be cancelled. */
    public static final Cancellation NEVER = new Cancellation();

    /** Whether anything may be sent to another process for a request. */
    public enum State {
        /** The caller still waits, as far as this process knows. */
        WANTED,
        /** The caller must first confirm that it still waits. */
        UNCONFIRMED,
        /** No caller waits for the response. */
        CANCELLED
    }

    private final Runnable source;
    private final List<Runnable> listeners = new ArrayList<>();
    private final List<Runnable> settledListeners = new ArrayList<>();
    private volatile CancelCause cause;
    private boolean unconfirmed;

    /** Creates a cancellation without a source. */
    public Cancellation() {
        this(() -> {});
    }

    /**
     * {@code source}: run by each {@link #poll}; checks whether the caller still waits, and cancels or suspends the
     * request if it does not or if that is uncertain.
     */
    public Cancellation(final Runnable source) {
        this.source = source;
    }

    /** Marks the request as cancelled without notifying the listeners, which only {@link #request} does. */
    public void announce(final CancelCause newCause) {
        requireCancellable();
        cause = cause == null ? newCause : cause;
    }

    private void requireCancellable() {
        if (this == NEVER) {
            throw new IllegalStateException("this request is never cancelled");
        }
    }

    /** Cancels the request and notifies each listener once. */
    public void request(final CancelCause newCause) {
        announce(newCause);
        runOnce(listeners);
        runOnce(settledListeners);
    }

    private static void runOnce(final List<Runnable> pendingListeners) {
        final List<Runnable> pending = List.copyOf(pendingListeners);
        pendingListeners.clear();
        pending.forEach(Runnable::run);
    }

    public boolean isRequested() {
        return cause != null;
    }

    /** Returns whether the request may be sent now. Call this right before each send. */
    public State poll() {
        source.run();
        if (isRequested()) {
            return State.CANCELLED;
        }
        return unconfirmed ? State.UNCONFIRMED : State.WANTED;
    }

    /** Marks the request as unconfirmed. */
    public void suspend() {
        requireCancellable();
        unconfirmed = true;
    }

    /** Marks the request as confirmed: its caller still waits. */
    public void confirm() {
        unconfirmed = false;
        runOnce(settledListeners);
    }

    /** Runs {@code listener} once, when the unconfirmed request is confirmed or cancelled. */
    public void onSettled(final Runnable listener) {
        settledListeners.add(listener);
    }

    /** The cause of the cancellation, or null if the request is not cancelled. */
    public CancelCause cause() {
        return cause;
    }

    /** Runs {@code listener} once, when the request is cancelled. */
    public void onRequest(final Runnable listener) {
        if (this != NEVER) {
            listeners.add(listener);
        }
    }
}
