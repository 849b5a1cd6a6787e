package org.rowanvalve.data.edge;

import org.rowanvalve.common.message.ForwardResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.NodeId;

/** One shield that was asked, and the attempts that are reserved for it. */
final class Forward {
    private final EdgeRequest request;
    private final RequestAttempts attempts;
    private final NodeId shield;
    private int reserved;

    Forward(final EdgeRequest request, final RequestAttempts attempts, final NodeId shield) {
        this.request = request;
        this.attempts = attempts;
        this.shield = shield;
        this.reserved = attempts.reserve();
    }

    int reserved() {
        return reserved;
    }

    /** Whether somebody still waits for the shield's response. */
    boolean isWanted() {
        return !request.finished() && !request.isAbandoned();
    }

    /** The shield wants to try one more origin. */
    int grantMore(final NodeId from) {
        if (request.finished() || !from.equals(shield)) {
            return 0;
        }
        final int added = attempts.reserve();
        reserved += added;
        return added;
    }

    /** Releases the attempts that surely were not made. */
    void settle(final Reply reply) {
        if (reply.failure() == Reply.Failure.NOT_SENT) {
            attempts.giveBack(reserved);
        } else {
            reply.as(ForwardResponse.class)
                    .ifPresent(filled -> attempts.giveBack(Math.min(reserved, filled.unusedAttempts())));
        }
    }
}
