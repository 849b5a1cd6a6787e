package org.rowanvalve.data.origin;

import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.limit.AttemptAllowance;

/**
 * One request for an origin. {@code shard}: whose lease it needs, {@link #NO_SHARD} for one that needs none; {@code
 * atMostOnce}: bytes sent are never sent again; {@code deadline}: on this node's clock, in ms; {@code priority}: 0 is
 * rejected last; {@code attempts}: origins it may be sent to; {@code retry}: an origin may have got it before, from
 * here or from another node; {@code cancellation}: nothing is sent once it is requested; {@code whenCancelled}: what
 * becomes then of what was sent.
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

    /** What becomes of a send under way whose response nobody waits for. */
    public enum WhenCancelled {
        /** Its connection is closed, so that the origin can stop. */
        ABORT_SENT,
        /** It goes on: it must not be broken off, or its response is kept. */
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
