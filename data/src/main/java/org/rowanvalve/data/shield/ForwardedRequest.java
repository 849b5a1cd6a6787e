package org.rowanvalve.data.shield;

import org.rowanvalve.common.message.ForwardRequest;
import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.limit.AttemptAllowance;

/**
 * A request forwarded by an edge, with its allowance of attempts at this node and its cancellation.
 *
 * @param receivedAt the monotonic time of this node, in ms, at which the request arrived
 */
record ForwardedRequest(
        ForwardRequest forward, AttemptAllowance attempts, Cancellation cancellation, long receivedAt) {}
