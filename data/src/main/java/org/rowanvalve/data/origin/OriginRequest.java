package org.rowanvalve.data.origin;

import org.rowanvalve.data.limit.AttemptAllowance;

/**
 * One request for an origin. {@code shard}: whose lease it needs, {@link #NO_SHARD} for one that needs none; {@code
 * atMostOnce}: bytes sent are never sent again; {@code deadline}: on this node's clock, in ms; {@code priority}: 0 is
 * rejected last; {@code attempts}: origins it may be sent to; {@code retry}: an origin may have got it before, from
 * here or from another node.
 */
public record OriginRequest(
        int shard,
        OriginTransport.OutboundRequest request,
        boolean atMostOnce,
        long deadline,
        int priority,
        AttemptAllowance attempts,
        boolean retry) {
    public static final int NO_SHARD = -1;

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
        this(shard, request, atMostOnce, deadline, priority, AttemptAllowance.of(maxAttempts), retry);
    }

    public String service() {
        return request.service();
    }
}
