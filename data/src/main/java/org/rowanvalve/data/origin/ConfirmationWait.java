package org.rowanvalve.data.origin;

/**
 * After a pause of the process: a wait until the request's caller has said whether it still waits, or until the request's
 * deadline, which whoever waits checks.
 */
final class ConfirmationWait extends AttemptWait {
    ConfirmationWait(final OriginDispatcher dispatcher, final OriginRequest request) {
        super(dispatcher, request);
    }

    @Override
    void start() {
        request().cancellation().onSettled(() -> end(End.TURN));
        dispatcher().loop().schedule(request().deadline() - dispatcher().loop().now(), () -> end(End.TURN));
    }

    @Override
    void release() {}
}
