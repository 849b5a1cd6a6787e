package rv.control;

import java.util.function.Consumer;
import java.util.function.Supplier;
import rv.base.Loop;

/** An answer that is given once: the first one that comes, or another where none has come in time. */
final class AnswerDeadline {
    private AnswerDeadline() {}

    static <T> Consumer<T> within(final Loop loop, final long ms, final Supplier<T> otherwise, final Consumer<T> back) {
        final boolean[] given = {false};
        final Consumer<T> first = answer -> {
            if (!given[0]) {
                given[0] = true;
                back.accept(answer);
            }
        };
        loop.after(ms, () -> first.accept(otherwise.get()));
        return first;
    }
}
