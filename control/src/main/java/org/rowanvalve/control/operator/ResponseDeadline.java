package org.rowanvalve.control.operator;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.control.view.ViewSynchronizer;

/**
 * Gives one response, the first that is ready. Callers try another node after a second without an answer, so a node
 * that has heard from no majority since the request responds before that second is over.
 */
final class ResponseDeadline {
    /** Without contact with a majority there is a response after this time. */
    static final long CONTACT_TIMEOUT_MILLIS = 780;

    private ResponseDeadline() {}

    static <T> Consumer<T> once(final Consumer<T> back) {
        final boolean[] given = {false};
        return answer -> {
            if (!given[0]) {
                given[0] = true;
                back.accept(answer);
            }
        };
    }

    /** {@code late} is given where no majority has confirmed this node's view for a moment after now. */
    static <T> Consumer<T> inContact(
            final EventLoop loop, final ViewSynchronizer view, final Supplier<T> late, final Consumer<T> back) {
        final long asked = loop.now();
        final Consumer<T> first = once(back);
        loop.schedule(CONTACT_TIMEOUT_MILLIS, () -> {
            if (view.confirmedAt() < asked) {
                first.accept(late.get());
            }
        });
        return first;
    }
}
