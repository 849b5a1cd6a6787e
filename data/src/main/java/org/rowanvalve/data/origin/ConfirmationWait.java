package org.rowanvalve.data.origin;

/**
 * A wait after a pause of the process, until the request's caller has stated whether it still waits, or until the
 * request's deadline. The listener checks the deadline itself.
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
