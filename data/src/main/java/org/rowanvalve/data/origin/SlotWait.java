package org.rowanvalve.data.origin;

import java.util.function.BooleanSupplier;

/** A wait in the queue for a free slot at any origin of a service. */
final class SlotWait extends AttemptWait {
    private final long maxWaitMs;
    private final BooleanSupplier canLeave;
    private WaitQueue.Place place;

    SlotWait(
            final OriginDispatcher dispatcher,
            final OriginRequest request,
            final long maxWaitMs,
            final BooleanSupplier canLeave) {
        super(dispatcher, request);
        this.maxWaitMs = maxWaitMs;
        this.canLeave = canLeave;
    }

    @Override
    void start() {
        place = dispatcher().waitQueue().add(request().service(), request().priority(), canLeave, () -> end(End.TURN));
        dispatcher().loop().schedule(maxWaitMs, this::onTimeout);
    }

    @Override
    void release() {
        dispatcher().waitQueue().remove(request().service(), place);
    }

    private void onTimeout() {
        if (!hasEnded()) {
            release();
            end(End.TIMED_OUT);
        }
    }
}
