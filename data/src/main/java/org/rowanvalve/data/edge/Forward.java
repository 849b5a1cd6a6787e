package org.rowanvalve.data.edge;

import org.rowanvalve.common.message.ForwardResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.NodeId;

/** A request forwarded to one shield, and the attempts that are reserved for that shield. */
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

    /** Whether a client still waits for the shield's response. */
    boolean isWanted() {
        return !request.finished() && !request.isAbandoned();
    }

    /** Reserves one more attempt for the shield. Returns 0 if none is left or the request is not from this shield. */
    int grantMore(final NodeId requester) {
        if (request.finished() || !requester.equals(shield)) {
            return 0;
        }
        final int added = attempts.reserve();
        reserved += added;
        return added;
    }

    /** Releases the reserved attempts that were certainly not made. */
    void settle(final Reply reply) {
        if (reply.failure() == Reply.Failure.NOT_SENT) {
            attempts.release(reserved);
        } else {
            reply.as(ForwardResponse.class)
                    .ifPresent(response -> attempts.release(Math.min(reserved, response.unusedAttempts())));
        }
    }
}
