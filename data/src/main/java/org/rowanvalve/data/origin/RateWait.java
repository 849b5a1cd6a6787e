package org.rowanvalve.data.origin;

import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.control.config.Service;

/** A wait for a reserved send time within the rate limit of a service or of an origin. */
final class RateWait extends AttemptWait {
    private final Service service;
    private final ItemId origin;
    private final long waitMs;
    private final long dueAt;

    RateWait(
            final OriginDispatcher dispatcher,
            final OriginRequest request,
            final Service service,
            final ItemId origin,
            final long waitMs) {
        super(dispatcher, request);
        this.service = service;
        this.origin = origin;
        this.waitMs = waitMs;
        this.dueAt = dispatcher.loop().now() + waitMs;
    }

    @Override
    void start() {
        dispatcher().adjustWaitingForRate(1);
        dispatcher().loop().schedule(waitMs, this::onDue);
    }

    @Override
    void release() {
        dispatcher().adjustWaitingForRate(-1);
        dispatcher().rateLimitShare().giveBack(service, origin, request().service(), dueAt);
    }

    private void onDue() {
        if (!hasEnded()) {
            dispatcher().adjustWaitingForRate(-1);
            end(End.TURN);
        }
    }
}
