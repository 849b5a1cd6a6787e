package org.rowanvalve.data.edge;

import org.rowanvalve.data.limit.AttemptAllowance;

/**
 * Counts the attempts left for one client request, that is, to how many more origins all nodes together may send the
 * request. The edge that received the request keeps the count. An attempt is reserved before the request is forwarded to a
 * shield, and is released only if it was certainly not made.
 */
final class RequestAttempts {
    private final int allowed;
    private int remaining;

    RequestAttempts(final int allowed) {
        this.allowed = allowed;
        this.remaining = allowed;
    }

    /** Reserves one attempt and returns 1, or returns 0 if none is left. */
    int reserve() {
        if (remaining == 0) {
            return 0;
        }
        remaining--;
        return 1;
    }

    void release(final int unused) {
        remaining = Math.min(allowed, remaining + Math.max(0, unused));
    }

    boolean anyLeft() {
        return remaining > 0;
    }

    /** Whether an origin may have received the request. */
    boolean anyUsed() {
        return remaining < allowed;
    }

    /** An allowance for requests that this edge sends to origins itself; its attempts are taken from the same count. */
    AttemptAllowance localAllowance() {
        return AttemptAllowance.of(0, callback -> callback.accept(reserve()));
    }
}
