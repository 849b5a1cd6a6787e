package org.rowanvalve.data.origin;

import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.limit.AttemptAllowance;

/**
 * One request for an origin.
 *
 * @param shard the shard whose lease the request needs, or {@link #NO_SHARD} if it needs none
 * @param atMostOnce whether the request must not be sent again once bytes of it may have been sent
 * @param deadline the time on this node's clock, in ms, after which the request is not sent
 * @param priority the priority; requests of priority 0 are rejected last
 * @param attempts the allowance for the number of origins to which the request may be sent
 * @param retry whether an origin may have received the request before, from this node or another one
 * @param cancellation the cancellation of the request; nothing is sent once it has been requested
 * @param whenCancelled how an exchange in progress is handled on cancellation
 */
public record OriginRequest(
        int shard,
        OriginTransport.OutboundRequest request,
        boolean atMostOnce,
        long deadline,
        int priority,
        AttemptAllowance attempts,
        boolean retry,
        Cancellation cancellation,
        WhenCancelled whenCancelled) {
    public static final int NO_SHARD = -1;

    /** How an exchange in progress is handled once nobody waits for its response. */
    public enum WhenCancelled {
        /** Closes the connection, so that the origin can stop its work. */
        ABORT_SENT,
        /** Lets the exchange finish, because it must not be interrupted or its response is stored. */
        FINISH_SENT
    }

    public OriginRequest(
            final int shard,
            final OriginTransport.OutboundRequest request,
            final boolean atMostOnce,
            final long deadline) {
        this(shard, request, atMostOnce, deadline, 0, 3, false);
    }

    public OriginRequest(
            final int shard,
            final OriginTransport.OutboundRequest request,
            final boolean atMostOnce,
            final long deadline,
            final int priority,
            final int maxAttempts,
            final boolean retry) {
        this(
                shard,
                request,
                atMostOnce,
                deadline,
                priority,
                AttemptAllowance.of(maxAttempts),
                retry,
                Cancellation.NEVER,
                WhenCancelled.FINISH_SENT);
    }

    public String service() {
        return request.service();
    }
}
