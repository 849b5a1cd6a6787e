package org.rowanvalve.control;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.rowanvalve.common.Loop;

/**
 * Gives one answer, the first that comes. Callers go on to another node after a second of silence, so a node that has
 * heard from no majority since the question says so before that second is over.
 */
final class AnswerDeadline {
    /** Without contact there is an answer after so long. */
    static final long CONTACT = 780;

    private AnswerDeadline() {}

    static <T> Consumer<T> once(final Consumer<T> back) {
        final boolean[] given = {false};
        return answer -> {
            if (!given[0]) {
                given[0] = true;
                back.accept(answer);
            }
        };
    }

    /** {@code late} is given where no majority has confirmed this node's frame for a moment after now. */
    static <T> Consumer<T> inContact(
            final Loop loop, final FrameSync sync, final Supplier<T> late, final Consumer<T> back) {
        final long asked = loop.now();
        final Consumer<T> first = once(back);
        loop.after(CONTACT, () -> {
            if (sync.sure() < asked) {
                first.accept(late.get());
            }
        });
        return first;
    }
}
