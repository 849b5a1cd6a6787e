package org.rowanvalve.control.operator;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.control.view.ViewSynchronizer;

/**
 * Delivers the first response that is ready and ignores later ones. Clients try another node after one second without a
 * response, so a node that has had no contact with a majority since the request responds before that second has passed.
 */
final class ResponseDeadline {
    /** Time after which a node responds that has had no contact with a majority since the request. */
    static final long RESPONSE_TIMEOUT_MILLIS = 780;

    private ResponseDeadline() {}

    static <T> Consumer<T> once(final Consumer<T> callback) {
        final boolean[] delivered = {false};
        return response -> {
            if (!delivered[0]) {
                delivered[0] = true;
                callback.accept(response);
            }
        };
    }

    /**
     * {@code timeoutResponse} supplies the response if no majority has confirmed this node's view as of the time of the
     * call or later.
     */
    static <T> Consumer<T> withDeadline(
            final EventLoop loop,
            final ViewSynchronizer view,
            final Supplier<T> timeoutResponse,
            final Consumer<T> callback) {
        final long requestedAt = loop.now();
        final Consumer<T> singleResponse = once(callback);
        loop.schedule(RESPONSE_TIMEOUT_MILLIS, () -> {
            if (view.confirmedAt() < requestedAt) {
                singleResponse.accept(timeoutResponse.get());
            }
        });
        return singleResponse;
    }
}
