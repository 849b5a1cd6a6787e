package org.rowanvalve.data.shield;

import org.rowanvalve.common.message.ForwardRequest;
import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.limit.AttemptAllowance;

/** A request as an edge sent it, with the attempts that this node may make for it. */
record ForwardedRequest(ForwardRequest forward, AttemptAllowance attempts, Cancellation cancellation) {}
