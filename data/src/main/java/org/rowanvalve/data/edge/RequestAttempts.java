package org.rowanvalve.data.edge;

import org.rowanvalve.data.limit.AttemptAllowance;

/**
 * The origins that one client request may still be sent to, over all nodes. The edge that received the request keeps
 * the count: an attempt is reserved before a shield gets the request, and is released only if it surely was not made.
 */
final class RequestAttempts {
    private final int allowed;
    private int left;

    RequestAttempts(final int allowed) {
        this.allowed = allowed;
        this.left = allowed;
    }

    /** Reserves one attempt; 0 where none is left. */
    int reserve() {
        if (left == 0) {
            return 0;
        }
        left--;
        return 1;
    }

    void giveBack(final int unused) {
        left = Math.min(allowed, left + Math.max(0, unused));
    }

    boolean anyLeft() {
        return left > 0;
    }

    /** Whether an origin may have got the request. */
    boolean anyUsed() {
        return left < allowed;
    }

    /** For requests that this node sends itself: each attempt is taken from the same count. */
    AttemptAllowance localAllowance() {
        return AttemptAllowance.of(0, answer -> answer.accept(reserve()));
    }
}
